package spread

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/invar"
)

// The limits of a documentTable.
const (
	maxDocuments = 256
	// maxPreviousRevisions is the number of previous revisions of a document that
	// are retained as bases of deltas.
	maxPreviousRevisions = 2
)

// documentTable holds the newest revision of each document by key.
type documentTable struct {
	latest map[string]gage.Document
	// previous holds, by key, the revisions before the latest one, newest first. It
	// holds at most maxPreviousRevisions for each document, and only revisions that
	// are larger than maxPlainBytes.
	previous map[string][]gage.Document
	// summary is the bitwise exclusive OR of the hashes of all heads.
	summary uint64
}

func newDocumentTable() *documentTable {
	return &documentTable{
		latest:   make(map[string]gage.Document),
		previous: make(map[string][]gage.Document),
	}
}

// put stores d if it is newer than the held revision of its document. It reports
// false, without storing d, if d is not newer, exceeds gage.MaxValueBytes or would
// exceed maxDocuments.
func (t *documentTable) put(d gage.Document) bool {
	held, ok := t.latest[d.Key]
	if d.Revision <= held.Revision || len(d.Value) > gage.MaxValueBytes {
		return false
	}
	if !ok && len(t.latest) >= maxDocuments {
		return false
	}
	invar.Check(d.Revision > held.Revision, "RevisionNeverGoesDown",
		"Key", d.Key, "Revision", d.Revision, "Known", held.Revision)
	if ok {
		t.summary ^= headHash(Head{Key: held.Key, Revision: held.Revision})
		t.addPrevious(held)
	}
	t.summary ^= headHash(Head{Key: d.Key, Revision: d.Revision})
	t.latest[d.Key] = d
	return true
}

// addPrevious retains a replaced revision as a base of deltas.
func (t *documentTable) addPrevious(d gage.Document) {
	if len(d.Value) <= maxPlainBytes {
		return
	}
	revisions := append([]gage.Document{d}, t.previous[d.Key]...)
	t.previous[d.Key] = revisions[:min(len(revisions), maxPreviousRevisions)]
}

// atRevision returns a document at a revision, if that revision is retained.
func (t *documentTable) atRevision(key string, revision int64) (gage.Document, bool) {
	if d, ok := t.latest[key]; ok && d.Revision == revision {
		return d, true
	}
	for _, d := range t.previous[key] {
		if d.Revision == revision {
			return d, true
		}
	}
	return gage.Document{}, false
}

// heads returns all heads, sorted by key.
func (t *documentTable) heads() []Head {
	heads := make([]Head, 0, len(t.latest))
	for key, d := range t.latest {
		heads = append(heads, Head{Key: key, Revision: d.Revision})
	}
	sortHeads(heads)
	return heads
}

// missingHeads returns those of a peer's heads whose revision is newer than the one
// in this table.
func (t *documentTable) missingHeads(heads []Head) []Head {
	var newer []Head
	for _, h := range heads {
		if isReplicated(h.Key) && h.Revision > t.latest[h.Key].Revision {
			newer = append(newer, h)
		}
	}
	return newer
}

// newerHeads returns the heads of this table whose revision is newer than the one
// of the peer. heads must be all heads of the peer.
func (t *documentTable) newerHeads(heads []Head) []Head {
	peerRevisions := make(map[string]int64, len(heads))
	for _, h := range heads {
		peerRevisions[h.Key] = h.Revision
	}
	var newer []Head
	for key, d := range t.latest {
		if d.Revision > peerRevisions[key] {
			newer = append(newer, Head{Key: key, Revision: d.Revision})
		}
	}
	sortHeads(newer)
	return newer
}

func sortHeads(heads []Head) {
	slices.SortFunc(heads, func(a, b Head) int { return cmp.Compare(a.Key, b.Key) })
}

func headHash(h Head) uint64 {
	input := binary.LittleEndian.AppendUint64(nil, uint64(h.Revision))
	return xxhash.Sum64(append(input, h.Key...))
}
