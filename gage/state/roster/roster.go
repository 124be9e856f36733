// Package roster keeps the state that each node last reported and picks the
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
	// A node counts as unresponsive, and its target gets no new requests, once its
	// last reported state is older than unresponsiveAfter.
	unresponsiveAfter = 900 * time.Millisecond
	// A node is removed once its last reported state is older than removeAfter.
	removeAfter = 2 * time.Minute
)

// Peer is one node with its last reported state.
type Peer struct {
	gage.NodeState
	// UpdatedAt is when the node sent the state, zero if it never has.
	UpdatedAt time.Time
	// startedSinceUpdate counts the requests that this node has sent to the target
	// since it last received the target's load.
	startedSinceUpdate int
	// failureShare is the moving share of requests that failed, in [0, 1], as
	// of failureShareAt.
	failureShare   float64
	failureShareAt time.Time
	// avoidUntil is the time until which other targets are preferred, because the
	// node could not be reached. If only the address of the node is known,
	// avoidUntil is the time at which the node was added.
	avoidUntil time.Time
}

// Roster holds the known nodes. It is safe for concurrent use.
type Roster struct {
	mu    sync.Mutex
	self  string
	zone  string
	peers map[string]*Peer
	// ordered holds the same peers, sorted by VM.
	ordered []*Peer
	random  *rand.Rand
	// closedZones are the zones taken out of service.
	closedZones map[string]bool
	// zoneDemands holds the last reported demand of each other zone.
	zoneDemands map[string]zoneDemand
	// callsOthers holds, for each service, whether its targets make calls to other
	// services. It is set by Pressure.
	callsOthers map[string]bool
	// seenServices is the set of services for which any node has ever reported a
	// target.
	seenServices map[string]bool
}

type zoneDemand struct {
	gage.ZoneDemand
	UpdatedAt time.Time
}

// New returns the roster of the node self in zone. Random draws the candidates
// for a request.
func New(self, zone string, random *rand.Rand) *Roster {
	return &Roster{self: self, zone: zone, random: random, peers: make(map[string]*Peer), closedZones: make(map[string]bool), zoneDemands: make(map[string]zoneDemand), seenServices: make(map[string]bool)}
}

// AddAddress adds a node of which only the address is known. The address of a
// known node changes only while the node is unresponsive.
func (r *Roster) AddAddress(now time.Time, vm, address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if vm == r.self {
		return
	}
	if p := r.peers[vm]; p != nil {
		if p.Address != address && now.Sub(p.UpdatedAt) > unresponsiveAfter {
			p.Address = address
		}
		return
	}
	r.insert(&Peer{NodeState: gage.NodeState{VM: vm, Address: address, ConfirmedAge: -1}, avoidUntil: now})
}

// insert adds a peer that is not known yet.
func (r *Roster) insert(p *Peer) {
	r.peers[p.VM] = p
	at, _ := slices.BinarySearchFunc(r.ordered, p.VM, func(p *Peer, vm string) int { return strings.Compare(p.VM, vm) })
	r.ordered = slices.Insert(r.ordered, at, p)
}

// remove drops a peer.
func (r *Roster) remove(p *Peer) {
	delete(r.peers, p.VM)
	r.ordered = slices.DeleteFunc(r.ordered, func(other *Peer) bool { return other == p })
}

// Update records the state that a node reported. If the state is not newer than the
// known one, Update ignores it and isNew is false. reconnected is true if the node
// was unresponsive before or has restarted.
func (r *Roster) Update(now time.Time, s gage.NodeState) (isNew, reconnected bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now = now.Add(-s.Age)
	p := r.peers[s.VM]
	if p == nil {
		p = &Peer{NodeState: gage.NodeState{VM: s.VM}}
		r.insert(p)
	}
	if s.StartedAt < p.StartedAt || (s.StartedAt == p.StartedAt && s.Sequence <= p.Sequence) {
		return false, false
	}
	reconnected = p.UpdatedAt.IsZero() || now.Sub(p.UpdatedAt) > unresponsiveAfter || s.StartedAt != p.StartedAt
	if s.Target.ID != p.Target.ID {
		p.failureShare = 0
	}
	p.NodeState = s
	if s.Target.ID != "" {
		r.seenServices[s.Target.Service] = true
	}
	p.UpdatedAt = now
	p.startedSinceUpdate = 0
	p.avoidUntil = time.Time{}
	return true, reconnected
}

// SetClosedZones replaces the set of zones that are out of service.
func (r *Roster) SetClosedZones(zones []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closedZones = make(map[string]bool, len(zones))
	for _, zone := range zones {
		r.closedZones[zone] = true
	}
}

// Demand returns the total demand on the other nodes by workspace, and the number of
// nodes including this one. Reports of an age of 2*unresponsiveAfter or more do not
// count. isolated is true if less than half of the known reports of other nodes are
// more recent than that.
func (r *Roster) Demand(now time.Time) (others map[string]float64, nodes int, isolated bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	others = make(map[string]float64)
	responsive, known := 0, 0
	for _, p := range r.peers {
		if p.VM == r.self || p.UpdatedAt.IsZero() {
			continue
		}
		known++
		if now.Sub(p.UpdatedAt) >= 2*unresponsiveAfter {
			continue
		}
		responsive++
		if p.Zone == r.zone {
			addDemand(others, p.Demand)
		}
	}
	for _, z := range r.zoneDemands {
		if now.Sub(z.UpdatedAt) < 2*unresponsiveAfter {
			addDemand(others, z.Demand)
		}
	}
	return others, responsive + 1, known > 0 && 2*responsive < known
}

// LargestFleet returns the largest number of nodes that any node reports to have
// found in the store.
func (r *Roster) LargestFleet() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	fleet := 0
	for _, p := range r.peers {
		fleet = max(fleet, p.FleetSize)
	}
	return fleet
}

// KnownNodes returns the number of known nodes, this one included: those that
// have reported their state and those of which only the address is known.
func (r *Roster) KnownNodes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := len(r.peers)
	if r.peers[r.self] == nil {
		known++
	}
	return known
}

func addDemand(to, from map[string]float64) {
	for workspace, demand := range from {
		to[workspace] += demand
	}
}

// UpdateZone records the total demand of the nodes of another zone, unless it
// is older than the known one.
func (r *Roster) UpdateZone(now time.Time, z gage.ZoneDemand) {
	r.mu.Lock()
	defer r.mu.Unlock()
	updatedAt := now.Add(-z.Age)
	if z.Zone != r.zone && updatedAt.After(r.zoneDemands[z.Zone].UpdatedAt) {
		r.zoneDemands[z.Zone] = zoneDemand{ZoneDemand: z, UpdatedAt: updatedAt}
	}
}

func mergeDependencies(to, from map[string][]string) {
	for route, services := range from {
		for _, service := range services {
			if !contains(to[route], service) {
				to[route] = append(to[route], service)
			}
		}
	}
}

// Pressure returns the services that each route depends on, as the responsive
// nodes report them, and the mean pressure on the targets of each service. A
// service that a route depends on has full pressure, 1, if none of its targets
// accepts requests.
func (r *Roster) Pressure(now time.Time) (dependencies map[string][]string, pressure map[string]float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	dependencies, pressure = make(map[string][]string), make(map[string]float64)
	targets := make(map[string]float64)
	r.callsOthers = make(map[string]bool)
	for _, p := range r.peers {
		if p.VM != r.self && !p.Alive(now) {
			continue
		}
		mergeDependencies(dependencies, p.Downstream)
		r.callsOthers[p.Target.Service] = r.callsOthers[p.Target.Service] || p.Target.MakesCalls
		if r.acceptsRequests(now, p) {
			targets[p.Target.Service]++
			pressure[p.Target.Service] += p.Target.Pressure
		}
	}
	for _, z := range r.zoneDemands {
		if now.Sub(z.UpdatedAt) < 2*unresponsiveAfter {
			mergeDependencies(dependencies, z.Downstream)
		}
	}
	for service, n := range targets {
		pressure[service] /= n
	}
	for _, services := range dependencies {
		for _, service := range services {
			if targets[service] == 0 {
				pressure[service] = 1
			}
		}
	}
	return dependencies, pressure
}

// IsLeaf reports whether the targets of a service make no calls to other services.
// It uses the states known at the last call of Pressure and returns false for an
// unknown service.
func (r *Roster) IsLeaf(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	calls, known := r.callsOthers[service]
	return known && !calls
}

// HasSeenService reports whether a node ever reported a target of a service. On
// a node that has just started, false says nothing about the service.
func (r *Roster) HasSeenService(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seenServices[service]
}

// Peers returns the known nodes other than this one, and removes those whose
// last state is older than removeAfter.
func (r *Roster) Peers(now time.Time) []Peer {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]Peer, 0, len(r.peers))
	for vm, p := range r.peers {
		if vm == r.self {
			continue
		}
		lastContact := p.UpdatedAt
		if lastContact.IsZero() {
			lastContact = p.avoidUntil
		}
		if now.Sub(lastContact) > removeAfter {
			r.remove(p)
			continue
		}
		all = append(all, *p)
	}
	return all
}

// Alive reports whether the node has reported its state within
// unresponsiveAfter.
func (p Peer) Alive(now time.Time) bool {
	return now.Sub(p.UpdatedAt) < unresponsiveAfter && !p.UpdatedAt.IsZero()
}

func contains(list []string, s string) bool {
	for _, other := range list {
		if other == s {
			return true
		}
	}
	return false
}
