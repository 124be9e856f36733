// Package roster keeps what the nodes have told of themselves and picks the
// target for a request.
package roster

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

const (
	// silence is how long a node may stay unheard before its target gets no
	// new work.
	silence = 900 * time.Millisecond
	// forgotten is how long a node may stay unheard before it is dropped.
	forgotten = 2 * time.Minute
)

// Peer is one node as last heard.
type Peer struct {
	gage.NodeState
	// Heard is when the state arrived, the zero time when never.
	Heard time.Time
	// since is how many requests of this node were begun at the target after
	// the state was heard.
	since int
	// failing is the moving share of failures, in [0, 1], as of failedAt.
	failing  float64
	failedAt time.Time
	avoid    time.Time
}

// Roster holds the nodes. It is safe for concurrent use.
type Roster struct {
	mu    sync.Mutex
	self  string
	zone  string
	peers map[string]*Peer
	// ordered holds the same peers by VM.
	ordered []*Peer
	random  *rand.Rand
	// closed are the zones taken out of service.
	closed map[string]bool
	// zones is what the nodes of the other zones ask for, as of its Heard.
	zones map[string]zoneDemand
	// calling holds the services whose targets make calls.
	calling map[string]bool
	// met holds the services of which a target was heard.
	met map[string]bool
}

type zoneDemand struct {
	gage.ZoneDemand
	Heard time.Time
}

// New returns the roster of a node that stands in zone; random draws among
// targets that are alike.
func New(self, zone string, random *rand.Rand) *Roster {
	return &Roster{self: self, zone: zone, random: random, peers: make(map[string]*Peer), closed: make(map[string]bool), zones: make(map[string]zoneDemand), met: make(map[string]bool)}
}

// Introduce adds a node of which only the address is known.
func (r *Roster) Introduce(now time.Time, vm, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if vm == r.self {
		return
	}
	if p := r.peers[vm]; p != nil {
		if p.Address != address && now.Sub(p.Heard) > silence {
			p.Address = address
		}
		return
	}
	r.enter(&Peer{NodeState: gage.NodeState{VM: vm, Address: address, ConfirmedAge: -1}, avoid: now})
}

// enter adds a peer that is not known.
func (r *Roster) enter(p *Peer) {
	r.peers[p.VM] = p
	at, _ := slices.BinarySearchFunc(r.ordered, p.VM, func(p *Peer, vm string) int { return strings.Compare(p.VM, vm) })
	r.ordered = slices.Insert(r.ordered, at, p)
}

// forget drops a peer.
func (r *Roster) forget(p *Peer) {
	delete(r.peers, p.VM)
	r.ordered = slices.DeleteFunc(r.ordered, func(other *Peer) bool { return other == p })
}

// Hear takes in what a node told of itself. It reports whether the node had
// not been heard lately, and false for news that is older than what is known.
func (r *Roster) Hear(now time.Time, s gage.NodeState) (fresh, returned bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now = now.Add(-s.Age)
	p := r.peers[s.VM]
	if p == nil {
		p = &Peer{NodeState: gage.NodeState{VM: s.VM}}
		r.enter(p)
	}
	if s.Started < p.Started || (s.Started == p.Started && s.Sequence <= p.Sequence) {
		return false, false
	}
	returned = p.Heard.IsZero() || now.Sub(p.Heard) > silence || s.Started != p.Started
	if s.Target.ID != p.Target.ID {
		p.failing = 0
	}
	p.NodeState = s
	if s.Target.ID != "" {
		r.met[s.Target.Service] = true
	}
	p.Heard = now
	p.since = 0
	p.avoid = time.Time{}
	return true, returned
}

// SetClosed replaces the zones that are out of service.
func (r *Roster) SetClosed(zones []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = make(map[string]bool, len(zones))
	for _, zone := range zones {
		r.closed[zone] = true
	}
}

// Demand sums what the other nodes that are heard ask for, and reports how
// many nodes there are and whether this node hears too few of them.
func (r *Roster) Demand(now time.Time) (others map[string]float64, nodes int, isolated bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	others = make(map[string]float64)
	heard, known := 0, 0
	for _, p := range r.peers {
		if p.VM == r.self || p.Heard.IsZero() {
			continue
		}
		known++
		if now.Sub(p.Heard) >= 2*silence {
			continue
		}
		heard++
		if p.Zone == r.zone {
			add(others, p.Demand)
		}
	}
	for _, z := range r.zones {
		if now.Sub(z.Heard) < 2*silence {
			add(others, z.Demand)
		}
	}
	return others, heard + 1, known > 0 && 2*heard < known
}

// Fleet returns the largest number of nodes that another node has listed.
func (r *Roster) Fleet() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	fleet := 0
	for _, p := range r.peers {
		fleet = max(fleet, p.FleetSize)
	}
	return fleet
}

// Known returns how many nodes there may be, this one included: those that
// were heard, and those of which only the address is known.
func (r *Roster) Known() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := len(r.peers)
	if r.peers[r.self] == nil {
		known++
	}
	return known
}

func add(to, from map[string]float64) {
	for workspace, demand := range from {
		to[workspace] += demand
	}
}

// HearZone takes in what the nodes of another zone ask for.
func (r *Roster) HearZone(now time.Time, z gage.ZoneDemand) {
	r.mu.Lock()
	defer r.mu.Unlock()
	heard := now.Add(-z.Age)
	if z.Zone != r.zone && heard.After(r.zones[z.Zone].Heard) {
		r.zones[z.Zone] = zoneDemand{ZoneDemand: z, Heard: heard}
	}
}

func merge(to, from map[string][]string) {
	for route, services := range from {
		for _, service := range services {
			if !contains(to[route], service) {
				to[route] = append(to[route], service)
			}
		}
	}
}

// Pressure returns what the live nodes have learnt of the routes, and the mean
// pressure on the targets of each service. A service without a target that
// takes work is under full pressure.
func (r *Roster) Pressure(now time.Time) (leads map[string][]string, pressure map[string]float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	leads, pressure = make(map[string][]string), make(map[string]float64)
	targets := make(map[string]float64)
	r.calling = make(map[string]bool)
	for _, p := range r.peers {
		if p.VM != r.self && !p.Alive(now) {
			continue
		}
		merge(leads, p.Downstream)
		r.calling[p.Target.Service] = r.calling[p.Target.Service] || p.Target.MakesCalls
		if r.takes(now, p) {
			targets[p.Target.Service]++
			pressure[p.Target.Service] += p.Target.Pressure
		}
	}
	for _, z := range r.zones {
		if now.Sub(z.Heard) < 2*silence {
			merge(leads, z.Downstream)
		}
	}
	for service, n := range targets {
		pressure[service] /= n
	}
	for _, services := range leads {
		for _, service := range services {
			if targets[service] == 0 {
				pressure[service] = 1
			}
		}
	}
	return leads, pressure
}

// Last reports whether the targets of a service make no calls of their own, as
// far as Pressure last saw.
func (r *Roster) Last(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	calls, known := r.calling[service]
	return known && !calls
}

// Met reports whether a target of a service was ever heard. A node that has
// just started has met none, which says nothing about the service.
func (r *Roster) Met(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.met[service]
}

// Peers returns the known nodes but for this one, dropping those that were
// not heard for long.
func (r *Roster) Peers(now time.Time) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Peer, 0, len(r.peers))
	for vm, p := range r.peers {
		if vm == r.self {
			continue
		}
		last := p.Heard
		if last.IsZero() {
			last = p.avoid
		}
		if now.Sub(last) > forgotten {
			r.forget(p)
			continue
		}
		all = append(all, *p)
	}
	return all
}

// Alive reports whether a node was heard lately.
func (p Peer) Alive(now time.Time) bool {
	return now.Sub(p.Heard) < silence && !p.Heard.IsZero()
}

func contains(list []string, s string) bool {
	for _, other := range list {
		if other == s {
			return true
		}
	}
	return false
}
