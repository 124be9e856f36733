// Package roster keeps the state that each node last reported and picks the
// target for a request.
package roster

import (
	"hash/fnv"
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
	// A node no longer counts as part of the fleet once its last reported state is
	// older than forgetAfter. A node that is cut off from the others then no longer
	// runs requests of workspaces, since it cannot confirm its configuration.
	forgetAfter = 5 * time.Second
	// A node is removed once its last reported state is older than removeAfter.
	removeAfter = 2 * time.Minute
)

// Peer is one node with its last reported state.
type Peer struct {
	gage.NodeState
	// UpdatedAt is when the node sent the state, zero if it never has.
	UpdatedAt time.Time
	// RateLimit is the limit that the target's last response to this node named, in
	// requests per second; +Inf if there is none. It is set by Pick.
	RateLimit float64
	// orderKey is the position of the node in the order of Rank.
	orderKey uint64
	// fingerprint is that of the state.
	fingerprint uint32
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
	// byFingerprint holds the peers that have reported their state.
	byFingerprint map[uint32]*Peer
	// sentOwnZone and sentOtherZones hold the states that this node, as a relay, has
	// sent in full, by VM.
	sentOwnZone, sentOtherZones map[string]sentState
	random                      *rand.Rand
	// closedZones are the zones taken out of service.
	closedZones map[string]bool
	// notices holds what the responses of targets have said, by target ID.
	notices map[string]processNotices
	// zones holds the last summary of each other zone.
	zones map[string]zoneSummary
	// callsOthers holds, for each service, whether its targets make calls to other
	// services. It is set by Pressure.
	callsOthers map[string]bool
	// seenServices is the set of services for which any node has ever reported a
	// target.
	seenServices map[string]bool
}

type zoneSummary struct {
	gage.ZoneSummary
	UpdatedAt time.Time
}

// New returns the roster of the node self in zone. Random draws the candidates
// for a request.
func New(self, zone string, random *rand.Rand) *Roster {
	return &Roster{
		self: self, zone: zone, random: random, peers: make(map[string]*Peer), byFingerprint: make(map[uint32]*Peer),
		closedZones: make(map[string]bool), zones: make(map[string]zoneSummary), seenServices: make(map[string]bool),
		notices:     make(map[string]processNotices),
		sentOwnZone: make(map[string]sentState), sentOtherZones: make(map[string]sentState),
	}
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
	p.orderKey = orderKey(p.VM)
	r.peers[p.VM] = p
	at, _ := slices.BinarySearchFunc(r.ordered, p.VM, func(p *Peer, vm string) int { return strings.Compare(p.VM, vm) })
	r.ordered = slices.Insert(r.ordered, at, p)
}

// remove drops a peer.
func (r *Roster) remove(p *Peer) {
	delete(r.peers, p.VM)
	delete(r.sentOwnZone, p.VM)
	delete(r.sentOtherZones, p.VM)
	if r.byFingerprint[p.fingerprint] == p {
		delete(r.byFingerprint, p.fingerprint)
	}
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
	if reconnected {
		// The node may have missed the states of others.
		clear(r.sentOwnZone)
		clear(r.sentOtherZones)
	}
	if r.byFingerprint[p.fingerprint] == p {
		delete(r.byFingerprint, p.fingerprint)
	}
	p.fingerprint = s.Fingerprint()
	r.byFingerprint[p.fingerprint] = p
	if s.Target.ID != p.Target.ID {
		p.failureShare = 0
	}
	p.NodeState = s
	r.learnStart(s.Target)
	r.learnPhase(now, s.Target)
	if s.Target.ID != "" {
		r.seenServices[s.Target.Service] = true
	}
	p.heardAt(now)
	return true, reconnected
}

func (p *Peer) heardAt(now time.Time) {
	p.UpdatedAt = now
	p.startedSinceUpdate = 0
	p.avoidUntil = time.Time{}
}

// UpdateLoad records the load of a node whose state is known. It returns false if the
// state is not known, or if the known one is newer.
func (r *Roster) UpdateLoad(now time.Time, l gage.LoadUpdate) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.byFingerprint[l.Fingerprint]
	if p == nil || p.VM == r.self || l.Sequence <= p.Sequence {
		return false
	}
	now = now.Add(-l.Age)
	elapsed := max(now.Sub(p.UpdatedAt), 0)
	p.Sequence, p.Target.InFlight, p.Target.Queued, p.Target.Pressure = l.Sequence, l.InFlight, l.Queued, l.Pressure
	p.Target.ColdRemaining = max(p.Target.ColdRemaining-elapsed, 0)
	if p.ConfirmedAge >= 0 {
		p.ConfirmedAge += elapsed
	}
	p.heardAt(now)
	return true
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

// Fleet is how much of the fleet a node knows at one time.
type Fleet struct {
	// Members are the VMs of the responsive nodes that are not leaving, including
	// this node.
	Members []string
	// Known is the number of nodes, at least that of Members: those that have reported
	// their state in the last forgetAfter, and those that were listed in that time.
	// Leaving nodes do not count.
	Known int
}

// Fleet returns the nodes of the fleet. Leaving is true if this node is leaving.
func (r *Roster) Fleet(now time.Time, leaving bool) Fleet {
	r.mu.Lock()
	defer r.mu.Unlock()
	var f Fleet
	if !leaving {
		f = Fleet{Members: []string{r.self}, Known: 1}
	}
	for _, p := range r.ordered {
		if p.VM == r.self || p.Leaving {
			continue
		}
		if now.Sub(p.lastContact()) < forgetAfter {
			f.Known++
		}
		if r.isResponsive(now, p) {
			f.Members = append(f.Members, p.VM)
		}
	}
	return f
}

// ResponsiveNodes returns the number of responsive nodes, including this one.
func (r *Roster) ResponsiveNodes(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 1
	for _, p := range r.peers {
		if p.VM != r.self && r.isResponsive(now, p) {
			n++
		}
	}
	return n
}

// Rank returns the number of responsive nodes, not counting leaving ones, that precede
// this one in an order that is the same at all nodes and mixes the zones.
func (r *Roster) Rank(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	own, rank := orderKey(r.self), 0
	for _, p := range r.ordered {
		if p.VM != r.self && !p.Leaving && p.orderKey < own && r.isResponsive(now, p) {
			rank++
		}
	}
	return rank
}

// orderKey returns the position of a VM in the order of Rank.
func orderKey(vm string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(vm))
	// The last bytes of similar names change the high bits only after mixing.
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// isResponsive reports whether the last state of a peer is recent. States from other
// zones may be older, since none arrive while the relays of a zone are replaced.
func (r *Roster) isResponsive(now time.Time, p *Peer) bool {
	maxAge := unresponsiveAfter
	if p.Zone != r.zone {
		maxAge = 2 * unresponsiveAfter
	}
	return !p.UpdatedAt.IsZero() && now.Sub(p.UpdatedAt) < maxAge
}

// lastContact returns when the peer last reported its state or, if it never has, when
// it was added.
func (p *Peer) lastContact() time.Time {
	if p.UpdatedAt.IsZero() {
		return p.avoidUntil
	}
	return p.UpdatedAt
}

// Address returns the address of the node on a VM, or "" if it is not known.
func (r *Roster) Address(vm string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.peers[vm]; p != nil {
		return p.Address
	}
	return ""
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

// UpdateZone records the summary of another zone, unless it is older than the known
// one.
func (r *Roster) UpdateZone(now time.Time, z gage.ZoneSummary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	updatedAt := now.Add(-z.Age)
	if z.Zone != r.zone && updatedAt.After(r.zones[z.Zone].UpdatedAt) {
		r.zones[z.Zone] = zoneSummary{ZoneSummary: z, UpdatedAt: updatedAt}
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
	for _, z := range r.zones {
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
		if now.Sub(p.lastContact()) > removeAfter {
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
