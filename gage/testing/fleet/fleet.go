// Package fleet runs the membership cores of many nodes on one made-up clock,
// with messages that are lost, repeated and late, for tests.
package fleet

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/gossip"
	"github.com/greengagewind/greengagewind/gage/state/member"
)

// Step is how much time one Step lets pass.
const Step = 100 * time.Millisecond

// maxFrozenInbox bounds what waits for a frozen VM.
const maxFrozenInbox = 1024

// flight is a message under way.
type flight struct {
	At   time.Time
	From string
	Send gossip.Envelope
}

// VM is one node of a fleet.
type VM struct {
	Core   *gossip.Core
	Member gage.Member
	// Down VMs neither run nor hear.
	Down bool
	// Frozen VMs hear on thawing what waited for them.
	Frozen bool
	inbox  []gossip.Message
}

// Fleet is a set of VMs that exchange messages.
type Fleet struct {
	Now time.Time
	VMs map[string]*VM
	// Names are the VMs in the order in which they first started.
	Names []string
	Rand  *rand.Rand
	// Loss and Repeat are shares of messages, from 0 to 1.
	Loss   float64
	Repeat float64
	// MaxDelay bounds how late a message is.
	MaxDelay time.Duration
	// Cut tells which pairs of VMs cannot talk; nil cuts none.
	Cut func(a, b gage.Member) bool
	// Observe sees each message that is sent; nil sees none.
	Observe func(from *VM, s gossip.Envelope)
	flights []flight
	started int64
}

// New returns a fleet without VMs.
func New(seed uint64) *Fleet {
	return &Fleet{
		Now:      time.UnixMilli(1_800_000_000_000),
		VMs:      make(map[string]*VM),
		Rand:     rand.New(rand.NewPCG(seed, 1)),
		MaxDelay: 20 * time.Millisecond,
	}
}

// Name returns the name of a numbered VM.
func Name(i int) string { return fmt.Sprintf("vm%04d", i) }

// Start starts or restarts a VM's process.
func (f *Fleet) Start(m gage.Member, seeds ...string) *VM {
	f.started++
	m.PeerAddress = m.VM
	m.StartedAt = f.Now.UnixMilli() + f.started
	random := rand.New(rand.NewPCG(f.Rand.Uint64(), 2))
	v := &VM{Core: gossip.NewCore(f.Now, m, seeds, gossip.Timing{}, random), Member: m}
	if _, known := f.VMs[m.VM]; !known {
		f.Names = append(f.Names, m.VM)
	}
	f.VMs[m.VM] = v
	return v
}

// Post puts messages of a VM under way, or loses them.
func (f *Fleet) Post(from *VM, sends []gossip.Envelope) {
	for _, s := range sends {
		if f.Observe != nil {
			f.Observe(from, s)
		}
		copies := 1
		if f.Rand.Float64() < f.Repeat {
			copies = 2
		}
		for range copies {
			if f.Rand.Float64() < f.Loss {
				continue
			}
			delay := time.Duration(f.Rand.Int64N(int64(f.MaxDelay) + 1))
			f.flights = append(f.flights, flight{At: f.Now.Add(delay), From: from.Member.VM, Send: s})
		}
	}
}

// Step lets time pass: messages arrive, then each VM has a tick.
func (f *Fleet) Step() {
	f.Now = f.Now.Add(Step)
	for due := f.due(); len(due) > 0; due = f.due() {
		for _, fl := range due {
			f.hand(fl)
		}
	}
	for _, name := range f.Names {
		v := f.VMs[name]
		if !v.Down && !v.Frozen {
			f.Post(v, v.Core.Tick(f.Now))
		}
	}
}

func (f *Fleet) due() []flight {
	var due, later []flight
	for _, fl := range f.flights {
		if fl.At.After(f.Now) {
			later = append(later, fl)
		} else {
			due = append(due, fl)
		}
	}
	f.flights = later
	sort.SliceStable(due, func(i, j int) bool { return due[i].At.Before(due[j].At) })
	return due
}

func (f *Fleet) hand(fl flight) {
	to, ok := f.VMs[fl.Send.Address]
	if !ok || to.Down || f.Cut != nil && f.Cut(f.VMs[fl.From].Member, to.Member) {
		return
	}
	if to.Frozen {
		if len(to.inbox) < maxFrozenInbox {
			to.inbox = append(to.inbox, fl.Send.Message)
		}
		return
	}
	f.Post(to, to.Core.Receive(f.Now, fl.Send.Message))
}

// Thaw lets a frozen VM go on: it first hears what waited.
func (f *Fleet) Thaw(v *VM) {
	v.Frozen = false
	inbox := v.inbox
	v.inbox = nil
	for _, m := range inbox {
		f.Post(v, v.Core.Receive(f.Now, m))
	}
}

// Run lets d pass.
func (f *Fleet) Run(d time.Duration) {
	for end := f.Now.Add(d); f.Now.Before(end); {
		f.Step()
	}
}

// Until steps until ok, for at most d, and returns the time it took.
func (f *Fleet) Until(d time.Duration, ok func() bool) (time.Duration, bool) {
	start := f.Now
	for f.Now.Sub(start) < d {
		if ok() {
			return f.Now.Sub(start), true
		}
		f.Step()
	}
	return f.Now.Sub(start), ok()
}

// Grow starts n VMs over 15 zones of four regions, which join through the
// first one.
func (f *Fleet) Grow(n int) {
	for i := range n {
		f.Start(Place(i), Name(0))
	}
}

// Place returns the record of a numbered VM in its zone and region.
func Place(i int) gage.Member {
	zone := i % 15
	return gage.Member{VM: Name(i), Zone: fmt.Sprintf("zone%02d", zone), Region: fmt.Sprintf("region%d", zone%4)}
}

// Introduce makes every VM know every other at once.
func (f *Fleet) Introduce() {
	for _, v := range f.VMs {
		for _, name := range f.Names {
			v.Core.Table.Merge(f.Now, member.Record{Member: f.VMs[name].Core.Table.Self()})
		}
	}
}
