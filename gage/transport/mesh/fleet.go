package mesh

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/mirror"
	"github.com/greengagewind/greengagewind/gage/state/ration"
	"github.com/greengagewind/greengagewind/gage/transport/hop"
	"github.com/greengagewind/greengagewind/gage/transport/news"
)

const (
	// newsInterval is how often a small fleet's nodes tell their state.
	newsInterval = 200 * time.Millisecond
	// soonInterval is the least time between two tellings.
	soonInterval = 80 * time.Millisecond
	// unheardEvery is how many tellings pass between two to a silent node.
	unheardEvery = 5
	// statesAtOnce is how many states a datagram holds at most.
	statesAtOnce = 40
	// documentsPath is where nodes fetch the operators' documents.
	documentsPath = "/gage/documents"
	// maxDocuments bounds the documents fetched from another node, in bytes.
	maxDocuments = 8 << 20
	// joinPause is the pause between attempts to register in the store.
	joinPause = 500 * time.Millisecond
	joinTime  = 1500 * time.Millisecond
)

// state describes this node at now.
func (m *Mesh) state(now time.Time) gage.NodeState {
	s, confirmed := m.mirror.Latest()
	age := time.Duration(-1)
	if !confirmed.IsZero() {
		age = now.Sub(confirmed)
	}
	return gage.NodeState{
		VM:        m.options.Self.VM,
		Zone:      m.options.Self.Zone,
		Address:   m.options.Self.PeerAddress,
		Started:   m.started,
		Sequence:  m.sequence.Add(1),
		Leaving:   m.leaving.Load(),
		Target:    m.beside.state(now),
		Revision:  s.Revision,
		Confirmed: age,
		Fleet:     int(m.listed.Load()),
		Demand:    m.ration.Demand(now),
		Leads:     m.brake.Dependencies(now),
	}
}

// tellSoon asks for the state to be told without waiting for its turn.
func (m *Mesh) tellSoon() {
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

// tellNews sends the state to the other nodes.
func (m *Mesh) tellNews(ctx context.Context) {
	ticker := time.NewTicker(newsInterval)
	defer ticker.Stop()
	for turn := 0; ; turn++ {
		regular := true
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-m.kick:
			regular = false
		}
		m.tell(m.options.Clock.Now(), turn, regular)
		sleep(ctx, soonInterval)
	}
}

// unknownNodes stands in for the number of nodes while neither this node nor
// one that it hears has listed them: the largest fleet.
const unknownNodes = 4096

// nodes returns how many nodes there may be.
func (m *Mesh) nodes() int {
	known := m.roster.KnownNodes()
	if m.listed.Load() > 0 {
		return known
	}
	if fleet := m.roster.LargestFleet(); fleet > 0 {
		return max(known, fleet)
	}
	return max(known, unknownNodes)
}

// sight returns how much this node knows of the others.
func (m *Mesh) sight(isolated bool) ration.Visibility {
	switch {
	case m.listed.Load() == 0:
		return ration.VisibilityUnlisted
	case isolated:
		return ration.VisibilityIsolated
	}
	return ration.VisibilityWhole
}

// tell sends this node's state, and, at a relay, what it knows of its own zone
// and, at the regular times only, of the others: that is most of the news of a
// large fleet.
func (m *Mesh) tell(now time.Time, turn int, regular bool) {
	others, nodes, isolated := m.roster.Demand(now)
	m.ration.Divide(now, others, m.nodes(), m.sight(isolated))
	m.setRepeats(nodes)
	state := m.state(now)
	m.roster.Update(now, state)
	m.steer(now)
	plan := m.roster.BroadcastPlan(now)
	near := plan.SameZone
	if turn%unheardEvery == 0 {
		near = append(near, plan.Unresponsive...)
	}
	m.sendNews(gage.Digest{States: []gage.NodeState{state}}, near)
	if len(plan.OwnZone.States) > 0 {
		m.sendNews(plan.OwnZone, plan.Relays)
	}
	if regular && len(plan.OtherZones.States) > 0 {
		m.sendNews(plan.OtherZones, plan.SameZone)
	}
}

// sendNews sends a digest to nodes, in parts that fit datagrams.
func (m *Mesh) sendNews(d gage.Digest, addresses []string) {
	for len(addresses) > 0 && len(d.States) > 0 {
		part := d
		part.States = d.States[:min(statesAtOnce, len(d.States))]
		d = gage.Digest{States: d.States[len(part.States):]}
		datagram, err := news.Encode(part)
		if err != nil {
			m.options.Logger.Error("DigestNotEncoded", zap.Error(err))
			return
		}
		for _, address := range addresses {
			if err := m.socket.Send(address, datagram); err != nil {
				m.stats.newsFailed.Inc()
			}
		}
	}
}

// hearNews takes in the states of the other nodes.
func (m *Mesh) hearNews(ctx context.Context) {
	m.socket.Receive(ctx, func(d gage.Digest) { m.hear(ctx, d) }, func(err error) {
		m.stats.newsFailed.Inc()
		m.log.warn("DigestNotRead", zap.Error(err))
	})
}

func (m *Mesh) hear(ctx context.Context, d gage.Digest) {
	now := m.options.Clock.Now()
	for _, z := range d.Zones {
		m.roster.UpdateZone(now, z)
	}
	for _, s := range d.States {
		if s.VM != m.options.Self.VM {
			m.hearState(ctx, now, s)
		}
	}
}

func (m *Mesh) hearState(ctx context.Context, now time.Time, s gage.NodeState) {
	fresh, returned := m.roster.Update(now, s)
	if !fresh {
		return
	}
	if returned {
		m.log.info("NodeHeard", zap.String("Peer", s.VM), zap.String("Target", s.Target.ID), zap.Int64("Started", s.Started))
		m.tellSoon()
	}
	if s.Confirmed >= 0 {
		m.mirror.ObservePeer(ctx, s.Address, s.Revision, now.Add(-s.Age-s.Confirmed))
	}
}

// readsStore reports whether this node reads the operators' documents for its
// zone: the live node there whose name comes first does.
func (m *Mesh) readsStore(now time.Time) bool {
	for _, p := range m.roster.Peers(now) {
		if p.Zone == m.options.Self.Zone && p.Alive(now) && !p.Leaving && p.VM < m.options.Self.VM {
			return false
		}
	}
	return true
}

// join registers the node in the store and learns of the others.
func (m *Mesh) join(ctx context.Context) {
	for ctx.Err() == nil {
		err := m.register(ctx)
		if err == nil {
			return
		}
		m.log.warn("NotRegistered", zap.Error(err))
		sleep(ctx, joinPause)
	}
}

func (m *Mesh) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, joinTime)
	defer cancel()
	self := m.options.Self
	if err := m.options.Store.Put(ctx, m.options.NodePrefix+self.VM, []byte(self.PeerAddress)); err != nil {
		return fmt.Errorf("write this node's address: %w", err)
	}
	entries, _, err := m.options.Store.List(ctx, m.options.NodePrefix)
	if err != nil {
		return fmt.Errorf("list the nodes: %w", err)
	}
	now := m.options.Clock.Now()
	for _, e := range entries {
		m.roster.AddAddress(now, e.Key[len(m.options.NodePrefix):], string(e.Value))
	}
	m.listed.Store(int64(len(entries)))
	m.options.Logger.Info("Registered", zap.Int("Nodes", len(entries)))
	m.tellSoon()
	return nil
}

// fetchDocuments gets the operators' documents from another node.
func (m *Mesh) fetchDocuments(ctx context.Context, address string) (mirror.Snapshot, error) {
	var s mirror.Snapshot
	answer, err := m.toPeers.Do(ctx, m.options.Clock.Now(), address, &hop.Request{
		Method: http.MethodGet, Target: documentsPath, Host: address, Header: http.Header{},
	})
	if err != nil {
		return s, err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxDocuments))
	if err != nil {
		return s, err
	}
	if answer.Status != http.StatusOK {
		return s, fmt.Errorf("the documents at %s: status %d", address, answer.Status)
	}
	err = msgpack.Unmarshal(body, &s)
	return s, err
}

func (m *Mesh) serveDocuments(w http.ResponseWriter, _ *http.Request) {
	s, _ := m.mirror.Latest()
	body, err := msgpack.Marshal(s)
	if err != nil {
		m.options.Logger.Error("DocumentsNotEncoded", zap.Error(err))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(body)
}
