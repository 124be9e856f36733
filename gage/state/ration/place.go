package ration

import (
	"hash/fnv"
	"slices"
	"sort"
	"time"
)

const (
	// shardCount is the number of shards to which workspaces are assigned by the hash
	// of their name. It bounds the work of a change in the fleet.
	shardCount = 256
	// maxIssuers is the number of issuers of a large workspace. When one of them is
	// lost, the others still issue most of the rate.
	maxIssuers = 3
	// minIssuerBurst is the smallest burst for which a workspace gets another issuer,
	// in requests. With less, an issuer would rarely hold a whole token.
	minIssuerBurst = 8
)

// Place assigns the workspaces to the nodes that issue their tokens, by rendezvous
// hashing. Nodes that know the same members compute the same issuers. It is not
// safe for concurrent use.
type Place struct {
	self string
	// names holds the members as last set, and members the hash of each name.
	names   []string
	members map[string]uint64
	shards  [shardCount]shard
}

// shard holds the issuers of the workspaces of one shard.
type shard struct {
	// ranked holds the members with the highest scores, the highest first.
	ranked []candidate
	// joinedAt is, for each rank, when this node last began to rank so high.
	joinedAt [maxIssuers]time.Time
}

type candidate struct {
	vm    string
	score uint64
}

// NewPlace returns the assignment of a fleet whose only member is self.
func NewPlace(now time.Time, self string) *Place {
	p := &Place{self: self, members: make(map[string]uint64)}
	p.SetMembers(now, []string{self})
	return p
}

// SetMembers replaces the members, which are names of VMs.
func (p *Place) SetMembers(now time.Time, members []string) {
	if slices.Equal(members, p.names) {
		return
	}
	p.names = slices.Clone(members)
	present := make(map[string]bool, len(members))
	for _, vm := range members {
		present[vm] = true
	}
	for vm := range p.members {
		if !present[vm] {
			p.remove(vm)
		}
	}
	for vm := range present {
		if _, known := p.members[vm]; !known {
			p.add(vm)
		}
	}
	for i := range p.shards {
		p.shards[i].recordRank(now, p.self)
	}
}

func (p *Place) add(vm string) {
	seed := hash(vm)
	p.members[vm] = seed
	for i := range p.shards {
		p.shards[i].insert(candidate{vm: vm, score: score(seed, i)})
	}
}

// insert adds a candidate if it ranks among the first maxIssuers.
func (s *shard) insert(c candidate) {
	at := sort.Search(len(s.ranked), func(i int) bool { return precedes(c, s.ranked[i]) })
	if at == maxIssuers {
		return
	}
	s.ranked = slices.Insert(s.ranked, at, c)
	s.ranked = s.ranked[:min(len(s.ranked), maxIssuers)]
}

func (p *Place) remove(vm string) {
	delete(p.members, vm)
	for i := range p.shards {
		s := &p.shards[i]
		at := slices.IndexFunc(s.ranked, func(c candidate) bool { return c.vm == vm })
		if at < 0 {
			continue
		}
		s.ranked = nil
		for other, seed := range p.members {
			s.insert(candidate{vm: other, score: score(seed, i)})
		}
	}
}

// recordRank sets joinedAt of the ranks that self has newly reached.
func (s *shard) recordRank(now time.Time, self string) {
	rank := slices.IndexFunc(s.ranked, func(c candidate) bool { return c.vm == self })
	for i := range s.joinedAt {
		switch {
		case rank < 0 || i < rank:
			s.joinedAt[i] = time.Time{}
		case s.joinedAt[i].IsZero():
			s.joinedAt[i] = now
		}
	}
}

// Issuers returns the issuers of a workspace with the given fleet-wide burst.
func (p *Place) Issuers(workspace string, burst float64) []string {
	s := &p.shards[hash(workspace)%shardCount]
	count := min(IssuerCount(burst), len(s.ranked))
	issuers := make([]string, count)
	for i := range issuers {
		issuers[i] = s.ranked[i].vm
	}
	return issuers
}

// IssuesSince returns since when this node has been an issuer of a workspace with
// the given fleet-wide burst. It returns false if it is none.
func (p *Place) IssuesSince(workspace string, burst float64) (time.Time, bool) {
	s := &p.shards[hash(workspace)%shardCount]
	since := s.joinedAt[IssuerCount(burst)-1]
	return since, !since.IsZero()
}

// IssuerCount returns the number of issuers of a workspace with the given
// fleet-wide burst, in a fleet that has so many nodes.
func IssuerCount(burst float64) int {
	return max(1, min(maxIssuers, int(burst/minIssuerBurst)))
}

func precedes(a, b candidate) bool {
	if a.score != b.score {
		return a.score > b.score
	}
	return a.vm < b.vm
}

func hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return mix(h.Sum64())
}

func score(seed uint64, shard int) uint64 {
	return mix(seed ^ mix(uint64(shard)+1))
}

// mix is the finalizer of MurmurHash3. It makes all bits of the result depend on
// all bits of x.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}
