// Package fleet simulates a fleet for tests. It runs the gossip cores of many
// nodes with a simulated clock and a network that loses, duplicates and delays
// messages.
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

// StepDuration is the simulated time of one Step.
const StepDuration = 100 * time.Millisecond

// maxFrozenInbox is the maximum number of messages that are kept for a frozen
// VM. Further messages are dropped.
const maxFrozenInbox = 1024

// delivery is a message that arrives at time At.
type delivery struct {
	At       time.Time
	From     string
	Envelope gossip.Envelope
}

// VM is one node of a fleet.
type VM struct {
	Core   *gossip.Core
	Member gage.Member
	// Down means that the VM's process does not run and that messages to it
	// are dropped.
	Down bool
	// Frozen means that the VM's process is suspended. Messages to it are kept
	// in inbox, and Resume delivers them.
	Frozen bool
	inbox  []gossip.Message
}

// Fleet is a set of VMs that exchange messages.
type Fleet struct {
	Now time.Time
	VMs map[string]*VM
	// Names holds the VM names in the order of their first start.
	Names []string
	Rand  *rand.Rand
	// LossRate and DuplicateRate are the fractions of messages that are lost
	// and that are sent twice, from 0 to 1.
	LossRate      float64
	DuplicateRate float64
	// MaxDelay is the maximum delay of a message. Delays are uniformly
	// distributed.
	MaxDelay time.Duration
	// Partitioned reports whether two VMs cannot communicate. If it is nil, all
	// VMs can communicate.
	Partitioned func(a, b gage.Member) bool
	// OnSend is called for each message that is sent, unless it is nil.
	OnSend   func(from *VM, e gossip.Envelope)
	inFlight []delivery
	// starts counts the calls to Start, so that each process gets its own
	// StartedAt.
	starts int64
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

// VMName returns the name of the VM with number i.
func VMName(i int) string { return fmt.Sprintf("vm%04d", i) }

// Start starts or restarts the process of a VM. It sets PeerAddress to the VM's
// name and derives StartedAt from the simulated time and the number of starts.
func (f *Fleet) Start(m gage.Member, seeds ...string) *VM {
	f.starts++
	m.PeerAddress = m.VM
	m.StartedAt = f.Now.UnixMilli() + f.starts
	random := rand.New(rand.NewPCG(f.Rand.Uint64(), 2))
	v := &VM{Core: gossip.NewCore(f.Now, m, seeds, gossip.Timing{}, random), Member: m}
	if _, known := f.VMs[m.VM]; !known {
		f.Names = append(f.Names, m.VM)
	}
	f.VMs[m.VM] = v
	return v
}

// Send sends messages of a VM over the simulated network.
func (f *Fleet) Send(from *VM, envelopes []gossip.Envelope) {
	for _, e := range envelopes {
		if f.OnSend != nil {
			f.OnSend(from, e)
		}
		copies := 1
		if f.Rand.Float64() < f.DuplicateRate {
			copies = 2
		}
		for range copies {
			if f.Rand.Float64() < f.LossRate {
				continue
			}
			delay := time.Duration(f.Rand.Int64N(int64(f.MaxDelay) + 1))
			f.inFlight = append(f.inFlight, delivery{At: f.Now.Add(delay), From: from.Member.VM, Envelope: e})
		}
	}
}

// Step advances the clock by StepDuration, delivers the messages that are due,
// and then calls Tick on each running VM.
func (f *Fleet) Step() {
	f.Now = f.Now.Add(StepDuration)
	for due := f.takeDue(); len(due) > 0; due = f.takeDue() {
		for _, d := range due {
			f.deliver(d)
		}
	}
	for _, name := range f.Names {
		v := f.VMs[name]
		if !v.Down && !v.Frozen {
			f.Send(v, v.Core.Tick(f.Now))
		}
	}
}

// takeDue returns the deliveries that are due, ordered by time, and removes them
// from those in flight.
func (f *Fleet) takeDue() []delivery {
	var due, later []delivery
	for _, d := range f.inFlight {
		if d.At.After(f.Now) {
			later = append(later, d)
		} else {
			due = append(due, d)
		}
	}
	f.inFlight = later
	sort.SliceStable(due, func(i, j int) bool { return due[i].At.Before(due[j].At) })
	return due
}

// deliver passes a message to its receiver, unless the receiver is unknown, down
// or partitioned from the sender.
func (f *Fleet) deliver(d delivery) {
	to, ok := f.VMs[d.Envelope.Address]
	if !ok || to.Down || f.Partitioned != nil && f.Partitioned(f.VMs[d.From].Member, to.Member) {
		return
	}
	if to.Frozen {
		if len(to.inbox) < maxFrozenInbox {
			to.inbox = append(to.inbox, d.Envelope.Message)
		}
		return
	}
	f.Send(to, to.Core.Receive(f.Now, d.Envelope.Message))
}

// Resume resumes a frozen VM and delivers the messages that arrived while it was
// frozen.
func (f *Fleet) Resume(v *VM) {
	v.Frozen = false
	inbox := v.inbox
	v.inbox = nil
	for _, m := range inbox {
		f.Send(v, v.Core.Receive(f.Now, m))
	}
}

// Run runs steps until at least d has passed.
func (f *Fleet) Run(d time.Duration) {
	for end := f.Now.Add(d); f.Now.Before(end); {
		f.Step()
	}
}

// RunUntil runs steps until condition returns true or d has passed. It returns
// the time that passed and the last result of condition.
func (f *Fleet) RunUntil(d time.Duration, condition func() bool) (time.Duration, bool) {
	start := f.Now
	for f.Now.Sub(start) < d {
		if condition() {
			return f.Now.Sub(start), true
		}
		f.Step()
	}
	return f.Now.Sub(start), condition()
}

// StartVMs starts n VMs, distributed over 15 zones in four regions, which join
// through the first one.
func (f *Fleet) StartVMs(n int) {
	for i := range n {
		f.Start(NumberedMember(i), VMName(0))
	}
}

// NumberedMember returns the record of the VM with number i, with its zone and
// region.
func NumberedMember(i int) gage.Member {
	zone := i % 15
	return gage.Member{VM: VMName(i), Zone: fmt.Sprintf("zone%02d", zone), Region: fmt.Sprintf("region%d", zone%4)}
}

// MergeAll merges the records of all VMs into the table of each VM.
func (f *Fleet) MergeAll() {
	for _, v := range f.VMs {
		for _, name := range f.Names {
			v.Core.Table.Merge(f.Now, member.Record{Member: f.VMs[name].Core.Table.Self()})
		}
	}
}
