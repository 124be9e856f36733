// Package dgram encodes and decodes the datagrams between nodes.
package dgram

import (
	"errors"
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/greengagewind/greengagewind/gage"
)

const (
	// format is the format of the packets that this version sends and accepts.
	format = 1
	// maxNameBytes bounds each name in a packet, maxAge each duration, and
	// maxTokenCount the tokens of one request or grant.
	maxNameBytes  = 256
	maxAge        = time.Hour
	maxTokenCount = 1024
	// maxConcurrency bounds each count of requests.
	maxConcurrency = 1 << 20
	// pressureUnits is the value that stands for full pressure.
	pressureUnits = 1000
)

var (
	errFormat  = errors.New("the packet has another format")
	errInvalid = errors.New("the packet has a value out of range")
)

// Encode returns the datagram of a packet.
func Encode(p gage.Packet) ([]byte, error) {
	m := &Packet{Format: format}
	for i := range p.States {
		m.States = append(m.States, encodeState(&p.States[i]))
	}
	for _, l := range p.Loads {
		m.Loads = append(m.Loads, &Load{
			Fingerprint: l.Fingerprint, Sequence: l.Sequence, Age: millis(l.Age),
			InFlight: uint32(l.InFlight), Queued: uint32(l.Queued), Pressure: encodePressure(l.Pressure),
		})
	}
	for _, z := range p.Zones {
		m.Zones = append(m.Zones, &Zone{Name: z.Zone, Age: millis(z.Age), Downstream: encodeDependencies(z.Downstream)})
	}
	if r := p.Request; r != nil {
		m.Request = &TokenRequest{ID: r.ID, Workspace: r.Workspace, Count: uint32(r.Count), Returning: r.Returning, Last: r.Last}
	}
	if g := p.Grant; g != nil {
		m.Grant = &TokenGrant{ID: g.ID, Status: string(g.Status), Count: uint32(g.Count), WaitMicros: uint64(max(g.Wait, 0).Microseconds())}
	}
	datagram, err := proto.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("encode packet: %w", err)
	}
	return datagram, nil
}

func encodeState(s *gage.NodeState) *State {
	m := &State{
		VM: s.VM, Zone: s.Zone, Address: s.Address, StartedAt: s.StartedAt, Sequence: s.Sequence, Age: millis(s.Age), Leaving: s.Leaving,
		Era: s.Era, Revision: s.Revision, DocumentVersion: s.DocumentVersion, FleetSize: uint32(s.FleetSize), Downstream: encodeDependencies(s.Downstream),
	}
	if s.ConfirmedAge >= 0 {
		m.Confirmed = millis(s.ConfirmedAge) + 1
	}
	if t := s.Target; t.ID != "" {
		m.Target = &Target{
			ID: t.ID, Service: t.Service, Phase: string(t.Phase), ColdRemaining: millis(t.ColdRemaining), ColdRate: t.ColdRate,
			Limit: uint32(t.Limit), InFlight: uint32(t.InFlight), Queued: uint32(t.Queued), Pressure: encodePressure(t.Pressure), MakesCalls: t.MakesCalls,
			StartedAt: t.StartedAt,
		}
	}
	return m
}

func millis(d time.Duration) uint64 { return uint64(max(d, 0).Milliseconds()) }

func encodePressure(p float64) uint32 { return uint32(math.Round(p * pressureUnits)) }

func encodeDependencies(dependencies map[string][]string) []*Dependency {
	var list []*Dependency
	for route, services := range dependencies {
		list = append(list, &Dependency{Route: route, Services: services})
	}
	return list
}

// Decode decodes and checks a datagram. It returns an error if the packet has another
// format, cannot be read, or has an entry with a value that no node sends. In the last case
// it returns the packet without that entry.
func Decode(datagram []byte) (gage.Packet, error) {
	var m Packet
	if err := proto.Unmarshal(datagram, &m); err != nil {
		return gage.Packet{}, fmt.Errorf("decode packet: %w", err)
	}
	if m.GetFormat() != format {
		return gage.Packet{}, errFormat
	}
	var p gage.Packet
	var d decoder
	for _, s := range m.GetStates() {
		if decoded := d.state(s); d.entryIsValid() {
			p.States = append(p.States, decoded)
		}
	}
	for _, l := range m.GetLoads() {
		decoded := gage.LoadUpdate{
			Fingerprint: l.GetFingerprint(), Sequence: l.GetSequence(), Age: d.age(l.GetAge()),
			InFlight: d.count(l.GetInFlight()), Queued: d.count(l.GetQueued()), Pressure: d.pressure(l.GetPressure()),
		}
		if d.entryIsValid() {
			p.Loads = append(p.Loads, decoded)
		}
	}
	for _, z := range m.GetZones() {
		decoded := gage.ZoneSummary{Zone: d.name(z.GetName()), Age: d.age(z.GetAge()), Downstream: d.dependencies(z.GetDownstream())}
		if d.entryIsValid() {
			p.Zones = append(p.Zones, decoded)
		}
	}
	if r := m.GetRequest(); r != nil {
		decoded := &gage.TokenRequest{
			ID: r.GetID(), Workspace: d.name(r.GetWorkspace()), Count: d.tokens(r.GetCount()), Returning: r.GetReturning(), Last: r.GetLast(),
		}
		if d.entryIsValid() {
			p.Request = decoded
		}
	}
	if g := m.GetGrant(); g != nil {
		decoded := &gage.TokenGrant{ID: g.GetID(), Status: gage.TokenStatus(g.GetStatus()), Wait: d.wait(g.GetWaitMicros())}
		if decoded.Status == gage.TokensGranted {
			decoded.Count = d.tokens(g.GetCount())
		}
		if d.entryIsValid() {
			p.Grant = decoded
		}
	}
	if d.invalidEntries > 0 {
		return p, fmt.Errorf("%w: %d entries dropped", errInvalid, d.invalidEntries)
	}
	return p, nil
}

// decoder checks the values of a packet.
type decoder struct {
	// invalid is true once a value of the present entry was out of range.
	invalid bool
	// invalidEntries is the number of entries with such a value.
	invalidEntries int
}

// entryIsValid ends an entry and reports whether all its values were in range.
func (d *decoder) entryIsValid() bool {
	isValid := !d.invalid
	if !isValid {
		d.invalidEntries++
	}
	d.invalid = false
	return isValid
}

func (d *decoder) state(m *State) gage.NodeState {
	s := gage.NodeState{
		VM: d.name(m.GetVM()), Zone: d.name(m.GetZone()), Address: d.name(m.GetAddress()), StartedAt: m.GetStartedAt(), Sequence: m.GetSequence(),
		Age: d.age(m.GetAge()), Leaving: m.GetLeaving(), Era: m.GetEra(), Revision: m.GetRevision(), DocumentVersion: m.GetDocumentVersion(), ConfirmedAge: -1, FleetSize: d.count(m.GetFleetSize()),
		Downstream: d.dependencies(m.GetDownstream()),
	}
	d.require(s.StartedAt >= 0 && s.Era >= 0 && s.Revision >= 0 && s.DocumentVersion >= 0)
	if confirmed := m.GetConfirmed(); confirmed > 0 {
		s.ConfirmedAge = d.age(confirmed - 1)
	}
	if t := m.GetTarget(); t != nil {
		s.Target = gage.TargetState{
			ID: d.name(t.GetID()), Service: d.name(t.GetService()), Phase: gage.TargetPhase(t.GetPhase()), ColdRemaining: d.age(t.GetColdRemaining()),
			ColdRate: t.GetColdRate(), Limit: d.count(t.GetLimit()), InFlight: d.count(t.GetInFlight()), Queued: d.count(t.GetQueued()),
			Pressure: d.pressure(t.GetPressure()), MakesCalls: t.GetMakesCalls(), StartedAt: t.GetStartedAt(),
		}
		d.require(s.Target.StartedAt >= 0)
		d.require(s.Target.ColdRate >= 0 && !math.IsInf(s.Target.ColdRate, 1))
		d.require(s.Target.Phase == gage.TargetServing || s.Target.Phase == gage.TargetDraining || s.Target.Phase == gage.TargetGone)
	}
	return s
}

// require marks the entry as invalid unless ok is true.
func (d *decoder) require(ok bool) { d.invalid = d.invalid || !ok }

func (d *decoder) name(s string) string {
	d.require(s != "" && len(s) <= maxNameBytes)
	return s
}

func (d *decoder) age(ms uint64) time.Duration {
	d.require(ms <= uint64(maxAge.Milliseconds()))
	return time.Duration(ms) * time.Millisecond
}

func (d *decoder) wait(micros uint64) time.Duration {
	d.require(micros <= uint64(maxAge.Microseconds()))
	return time.Duration(micros) * time.Microsecond
}

func (d *decoder) count(n uint32) int {
	d.require(n <= maxConcurrency)
	return int(n)
}

func (d *decoder) tokens(n uint32) int {
	d.require(n >= 1 && n <= maxTokenCount)
	return int(n)
}

func (d *decoder) pressure(n uint32) float64 {
	d.require(n <= pressureUnits)
	return float64(n) / pressureUnits
}

func (d *decoder) dependencies(list []*Dependency) map[string][]string {
	var dependencies map[string][]string
	for _, m := range list {
		for _, service := range m.GetServices() {
			if dependencies == nil {
				dependencies = make(map[string][]string, len(list))
			}
			route := d.name(m.GetRoute())
			dependencies[route] = append(dependencies[route], d.name(service))
		}
	}
	return dependencies
}
