package member

import (
	"sort"
	"time"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/invar"
)

// MaxMembers is the maximum number of entries in a table.
const MaxMembers = 8192

// Entry is one member of the table.
type Entry struct {
	Member gage.Member
	// PhaseAt is when this node learned of the member's present process,
	// incarnation and phase. For suspects, ExtendSuspicions moves it forward.
	PhaseAt time.Time
	// Digest is the zero value when the member is dead or has left.
	Digest Digest
	// nameHash is the hash of the VM's name.
	nameHash uint32
}

// Gone reports whether the member is dead or has left.
func (e Entry) Gone() bool { return PhaseRank(e.Member.Phase) >= PhaseRank(gage.MemberDead) }

// Table is one node's membership table of the fleet. It always holds the node
// itself. It is not safe for concurrent use.
type Table struct {
	self    string
	entries map[string]*Entry
	// sorted holds all entries, ordered by VM name.
	sorted []*Entry
	// suspects holds the suspect entries by VM name.
	suspects map[string]*Entry
	// gone holds the entries of members that are dead or have left, by VM name.
	gone map[string]*Entry
	// BucketHashes holds, for each bucket, the exclusive or of the hashes of
	// its digests.
	BucketHashes [BucketCount]uint64
	// Joined means that this process joined the fleet long enough ago that
	// records of earlier processes have arrived. When Joined is set, a record
	// of a process with the same VM name and a later start time supersedes this
	// process. As long as Joined is false, such a record is assumed to be of an
	// earlier process whose clock was ahead. This process then raises its own
	// StartedAt above that of the record.
	Joined bool
	// Changes counts all changes to the table that GenerationChanges does not count.
	Changes uint64
	// GenerationChanges counts the changes of only the configuration generation of
	// another node.
	GenerationChanges uint64
}

// New returns a table that holds only self, in phase alive.
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

// LiveCount returns the number of members that are alive or suspect, including
// the node itself.
func (t *Table) LiveCount() int { return len(t.entries) - len(t.gone) }

// Get returns a copy of the entry of a VM. The second result is false when the
// table has none.
func (t *Table) Get(vm string) (Entry, bool) {
	e, ok := t.entries[vm]
	if !ok {
		return Entry{}, false
	}
	return *e, true
}

// Each calls f for every entry, ordered by VM name. f must not change entries
// or the table.
func (t *Table) Each(f func(*Entry)) {
	for _, e := range t.sorted {
		f(e)
	}
}

// Members returns all members, ordered by VM name.
func (t *Table) Members() []gage.Member {
	members := make([]gage.Member, len(t.sorted))
	for i, e := range t.sorted {
		members[i] = e.Member
	}
	return members
}

// Suspects returns the members that have been suspect since before the given
// time, ordered by VM name.
func (t *Table) Suspects(before time.Time) []Entry { return phaseSetBefore(t.suspects, before) }

// Gone returns the members that have been known to be dead or to have left
// since before the given time, ordered by VM name.
func (t *Table) Gone(before time.Time) []Entry { return phaseSetBefore(t.gone, before) }

func phaseSetBefore(entries map[string]*Entry, before time.Time) []Entry {
	var matching []Entry
	for _, e := range entries {
		if e.PhaseAt.Before(before) {
			matching = append(matching, *e)
		}
	}
	sort.Slice(matching, func(i, j int) bool { return matching[i].Member.VM < matching[j].Member.VM })
	return matching
}

// Mark sets the phase of another member in its present incarnation. It returns
// false and changes nothing when the VM is unknown or the node itself, or when
// the phase has no higher rank than the present one.
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

// Remove removes a member that is dead or has left. It has no effect on other
// members and on the node itself.
func (t *Table) Remove(vm string) {
	e, ok := t.entries[vm]
	if !ok || !e.Gone() || vm == t.self {
		return
	}
	t.removeFromIndexes(e)
	delete(t.entries, vm)
	at := t.sortedIndex(vm)
	t.sorted = append(t.sorted[:at], t.sorted[at+1:]...)
	t.Changes++
}

// ExtendSuspicions moves the start of every suspicion forward by d. It is
// called after this node was frozen for d, because the node could not receive
// refutations in that time.
func (t *Table) ExtendSuspicions(d time.Duration) {
	for _, e := range t.suspects {
		e.PhaseAt = e.PhaseAt.Add(d)
	}
}

// set replaces the member of an entry with a newer state of that member and
// updates the indexes.
func (t *Table) set(now time.Time, e *Entry, m gage.Member) {
	old := e.Member
	isLaterProcess := m.StartedAt > old.StartedAt
	invar.Check(isLaterProcess || m.StartedAt == old.StartedAt,
		"MemberStartNeverFalls", "VM", m.VM, "Old", old.StartedAt, "New", m.StartedAt)
	invar.Check(isLaterProcess || m.Incarnation >= old.Incarnation,
		"MemberIncarnationNeverFalls", "VM", m.VM, "Old", old.Incarnation, "New", m.Incarnation)
	invar.Check(isLaterProcess || m.Incarnation > old.Incarnation || PhaseRank(m.Phase) >= PhaseRank(old.Phase),
		"MemberPhaseNeverFallsInOneIncarnation", "VM", m.VM, "Old", old.Phase, "New", m.Phase)
	t.removeFromIndexes(e)
	e.Member = m
	if isLaterProcess || statusOverrides(m, old) {
		e.PhaseAt = now
	}
	t.addToIndexes(e)
	t.Changes++
}

// insert adds a new entry to the table and its indexes.
func (t *Table) insert(e *Entry) {
	e.nameHash = NameHash(e.Member.VM)
	t.entries[e.Member.VM] = e
	at := t.sortedIndex(e.Member.VM)
	t.sorted = append(t.sorted, nil)
	copy(t.sorted[at+1:], t.sorted[at:])
	t.sorted[at] = e
	t.addToIndexes(e)
	t.Changes++
}

// sortedIndex returns the index in sorted at which vm is or would be inserted.
func (t *Table) sortedIndex(vm string) int {
	return sort.Search(len(t.sorted), func(i int) bool { return t.sorted[i].Member.VM >= vm })
}

// addToIndexes sets the entry's digest and adds the entry to BucketHashes,
// suspects and gone according to its phase.
func (t *Table) addToIndexes(e *Entry) {
	e.Digest = Digest{}
	switch e.Member.Phase {
	case gage.MemberDead, gage.MemberLeft:
		t.gone[e.Member.VM] = e
		return
	case gage.MemberSuspect:
		t.suspects[e.Member.VM] = e
	}
	e.Digest = digestOf(e.nameHash, e.Member)
	t.BucketHashes[Bucket(e.nameHash)] ^= e.Digest.hash()
}

// removeFromIndexes removes the entry from suspects, gone and BucketHashes.
func (t *Table) removeFromIndexes(e *Entry) {
	delete(t.suspects, e.Member.VM)
	delete(t.gone, e.Member.VM)
	if !e.Gone() {
		t.BucketHashes[Bucket(e.nameHash)] ^= e.Digest.hash()
	}
}
