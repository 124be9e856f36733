package member

import "github.com/greengagewind/greengagewind/gage"

// Record is the state of one member as gossip messages carry it.
type Record struct {
	Member gage.Member
	// Brief means that only VM, StartedAt, Incarnation, Phase and Generation
	// are set. A brief record can change the phase of a known process.
	Brief bool
}

// Record returns the entry's record for a gossip message. The record is brief
// when full is false or the member is dead or has left.
func (e Entry) Record(full bool) Record {
	m := e.Member
	if full && !e.Gone() {
		return Record{Member: m}
	}
	return Record{Brief: true, Member: gage.Member{
		VM:          m.VM,
		StartedAt:   m.StartedAt,
		Incarnation: m.Incarnation,
		Phase:       m.Phase,
		Generation:  m.Generation,
	}}
}

// The approximate encoded sizes of a record and its targets without their
// strings.
const (
	briefBytes  = 40
	fullBytes   = 55
	targetBytes = 35
)

// Size returns the approximate size of the record in a message, in bytes.
func (r Record) Size() int {
	m := r.Member
	if r.Brief {
		return briefBytes + len(m.VM)
	}
	size := fullBytes + len(m.VM) + len(m.Zone) + len(m.Region) + len(m.PeerAddress) + len(m.OperatorAddress)
	for _, t := range m.Targets {
		size += targetBytes + len(t.Name) + len(t.Service)
	}
	return size
}
