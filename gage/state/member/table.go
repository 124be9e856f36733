package member

import (
	"sort"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/invar"
)

// MaxMembers bounds the table.
const MaxMembers = 8192

// Entry is one node of the table.
type Entry struct {
	Member gage.Member
	// PhaseAt is when this node learnt of the phase, or when its suspicion
	// was last restarted.
	PhaseAt time.Time
	// Digest is zero when the node is gone.
	Digest Digest
	// name is the hash of the VM's name.
	name uint32
}

// Gone tells that the node is dead or has left.
func (e Entry) Gone() bool { return PhaseRank(e.Member.Phase) >= PhaseRank(gage.MemberDead) }

// Table is the fleet as one node sees it. It always holds the node itself.
type Table struct {
	self    string
	entries map[string]*Entry
	// sorted holds all entries in the order of their VMs' names.
	sorted []*Entry
	// suspects and gone index the entries that are not alive.
	suspects map[string]*Entry
	gone     map[string]*Entry
	// BucketHashes holds, for each bucket, the exclusive or of its digests.
	BucketHashes [BucketCount]uint64
	// Joined tells that this process has been known to others for a while.
	// From then on a later process of the same VM name supersedes this one;
	// before, a record left by an earlier process is outbid.
	Joined bool
	// Changes counts the changes of the table, Generations those that were
	// only of another node's configuration generation.
	Changes           uint64
	GenerationChanges uint64
}

// New returns a table that holds self, alive.
func New(now time.Time, self gage.Member) *Table {
	self.Phase = gage.MemberAlive
	self.Incarnation = max(self.Incarnation, uint64(max(self.StartedAt, 1)))
	self.Version = max(self.Version, 1)
	t := &Table{
		self:     self.VM,
		entries:  make(map[string]*Entry),
		suspects: make(map[string]*Entry),
		gone:     make(map[string]*Entry),
	}
	t.insert(&Entry{Member: self, PhaseAt: now})
	return t
}

// Self returns the node's own record.
func (t *Table) Self() gage.Member { return t.entries[t.self].Member }

// LiveCount returns the number of nodes that are alive or suspect, this one
// included.
func (t *Table) LiveCount() int { return len(t.entries) - len(t.gone) }

// Get returns the entry of a VM.
func (t *Table) Get(vm string) (Entry, bool) {
	e, ok := t.entries[vm]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// Each calls f for every entry in the order of the VMs' names.
func (t *Table) Each(f func(*Entry)) {
	for _, e := range t.sorted {
		f(e)
	}
}

// Members returns all nodes in the order of their VMs' names.
func (t *Table) Members() []gage.Member {
	out := make([]gage.Member, len(t.sorted))
	for i, e := range t.sorted {
		out[i] = e.Member
	}
	return out
}

// Suspects returns the nodes that have been suspect since before a time, in
// the order of their VMs' names.
func (t *Table) Suspects(before time.Time) []Entry { return changedBefore(t.suspects, before) }

// Gone returns the nodes that have been dead or have left since before a time,
// in the order of their VMs' names.
func (t *Table) Gone(before time.Time) []Entry { return changedBefore(t.gone, before) }

func changedBefore(index map[string]*Entry, before time.Time) []Entry {
	var out []Entry
	for _, e := range index {
		if e.PhaseAt.Before(before) {
			out = append(out, *e)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Member.VM < out[j].Member.VM })
	return out
}

// Mark moves another node to a higher phase of its present incarnation. It
// returns false when that changes nothing.
func (t *Table) Mark(now time.Time, vm string, phase gage.MemberPhase) bool {
	e, ok := t.entries[vm]
	if !ok || vm == t.self || PhaseRank(phase) <= PhaseRank(e.Member.Phase) {
		return false
	}
	m := e.Member
	m.Phase = phase
	t.set(now, e, m)
	return true
}

// Remove drops a node that is dead or has left.
func (t *Table) Remove(vm string) {
	e, ok := t.entries[vm]
	if !ok || !e.Gone() || vm == t.self {
		return
	}
	t.unindex(e)
	delete(t.entries, vm)
	at := t.place(vm)
	t.sorted = append(t.sorted[:at], t.sorted[at+1:]...)
	t.Changes++
}

// ExtendSuspicions moves the start of every suspicion by d: time in which this node was
// frozen and could hear no refutation does not count.
func (t *Table) ExtendSuspicions(d time.Duration) {
	for _, e := range t.suspects {
		e.PhaseAt = e.PhaseAt.Add(d)
	}
}

// set replaces an entry's record by a later one.
func (t *Table) set(now time.Time, e *Entry, m gage.Member) {
	old := e.Member
	later := m.StartedAt > old.StartedAt
	invar.Check(later || m.StartedAt == old.StartedAt,
		"MemberStartNeverFalls", "VM", m.VM, "Old", old.StartedAt, "New", m.StartedAt)
	invar.Check(later || m.Incarnation >= old.Incarnation,
		"MemberIncarnationNeverFalls", "VM", m.VM, "Old", old.Incarnation, "New", m.Incarnation)
	invar.Check(later || m.Incarnation > old.Incarnation || PhaseRank(m.Phase) >= PhaseRank(old.Phase),
		"MemberPhaseNeverFallsInOneIncarnation", "VM", m.VM, "Old", old.Phase, "New", m.Phase)
	t.unindex(e)
	e.Member = m
	if later || laterStatus(m, old) {
		e.PhaseAt = now
	}
	t.index(e)
	t.Changes++
}

// insert puts a new entry into the table and its indexes.
func (t *Table) insert(e *Entry) {
	e.name = NameHash(e.Member.VM)
	t.entries[e.Member.VM] = e
	at := t.place(e.Member.VM)
	t.sorted = append(t.sorted, nil)
	copy(t.sorted[at+1:], t.sorted[at:])
	t.sorted[at] = e
	t.index(e)
	t.Changes++
}

func (t *Table) place(vm string) int {
	return sort.Search(len(t.sorted), func(i int) bool { return t.sorted[i].Member.VM >= vm })
}

func (t *Table) index(e *Entry) {
	e.Digest = Digest{}
	switch e.Member.Phase {
	case gage.MemberDead, gage.MemberLeft:
		t.gone[e.Member.VM] = e
		return
	case gage.MemberSuspect:
		t.suspects[e.Member.VM] = e
	}
	e.Digest = digestOf(e.name, e.Member)
	t.BucketHashes[Bucket(e.name)] ^= e.Digest.sum()
}

func (t *Table) unindex(e *Entry) {
	delete(t.suspects, e.Member.VM)
	delete(t.gone, e.Member.VM)
	if !e.Gone() {
		t.BucketHashes[Bucket(e.name)] ^= e.Digest.sum()
	}
}
