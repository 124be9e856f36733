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
	"github.com/greengagewind/greengagewind/gage/state/roster"
	"github.com/greengagewind/greengagewind/gage/transport/hop"
)

const (
	// broadcastInterval is the time between regular broadcasts of this node's
	// state.
	broadcastInterval = 200 * time.Millisecond
	// minBroadcastInterval is the minimum time between two broadcasts.
	minBroadcastInterval = 80 * time.Millisecond
	// Unresponsive nodes are included in every unresponsiveEvery-th broadcast.
	unresponsiveEvery = 5
	// maxStatesPerDatagram and maxLoadsPerDatagram keep packets within the size of a
	// datagram.
	maxStatesPerDatagram = 40
	maxLoadsPerDatagram  = 400
	// documentsPath is the HTTP path at which nodes serve the operators'
	// documents to each other.
	documentsPath = "/gage/documents"
	// maxDocumentsBytes is the maximum encoded size of the documents fetched from
	// another node.
	maxDocumentsBytes = 8 << 20
)

// state returns the state of this node with the next sequence number.
func (m *Mesh) state(now time.Time) gage.NodeState {
	s, confirmed := m.mirror.Latest()
	age := time.Duration(-1)
	if !confirmed.IsZero() {
		// A suspended node must not pass on an old confirmation as a recent one.
		age = gage.Elapsed(now, confirmed)
	}
	return gage.NodeState{
		VM:              m.options.Self.VM,
		Zone:            m.options.Self.Zone,
		Address:         m.options.Self.PeerAddress,
		StartedAt:       m.startedAt,
		Sequence:        m.sequence.Add(1),
		Leaving:         m.leaving.Load(),
		Target:          m.localTarget.state(now),
		Era:             s.Era,
		Revision:        s.Revision,
		ConfirmedAge:    age,
		FleetSize:       int(m.listedNodeCount.Load()),
		Downstream:      m.brake.Dependencies(now),
		DocumentVersion: s.Version,
	}
}

// broadcastSoon makes broadcastStates send the state before its next tick. It
// does not block.
func (m *Mesh) broadcastSoon() {
	select {
	case m.broadcastNow <- struct{}{}:
	default:
	}
}

// broadcastStates sends the state to the other nodes at each interval and after
// broadcastSoon, until ctx ends.
func (m *Mesh) broadcastStates(ctx context.Context) {
	ticker := time.NewTicker(broadcastInterval)
	defer ticker.Stop()
	round := 0
	for {
		isRegular := true
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			round++
		case <-m.broadcastNow:
			isRegular = false
		}
		m.broadcast(m.options.Clock.Now(), round, isRegular)
		sleep(ctx, minBroadcastInterval)
	}
}

// maxFleetNodes is the size of the largest supported fleet. It is used as the
// number of nodes until the nodes in the store have been listed, either by this
// node or by one whose state it has received.
const maxFleetNodes = 4096

// setFleet passes the nodes of the fleet to the broker. A node that has not listed
// the nodes in the store may not know most of them.
func (m *Mesh) setFleet(now time.Time) {
	fleet := m.roster.Fleet(now, m.leaving.Load())
	known := fleet.Known
	if m.listedNodeCount.Load() == 0 {
		listed := m.roster.LargestFleet()
		if listed == 0 {
			listed = maxFleetNodes
		}
		known = max(known, listed)
	}
	live := float64(len(fleet.Members)) / float64(max(known, len(fleet.Members), 1))
	m.broker.SetFleet(now, fleet.Members, live)
}

// broadcast updates the broker, the retry burst and the brake, which depend
// on the states of all nodes, and sends this node's state. A relay also sends the
// states of its own zone to other zones and, in a regular round, those of the other
// zones to its own.
func (m *Mesh) broadcast(now time.Time, round int, isRegular bool) {
	m.setFleet(now)
	m.setRetryBurst(m.roster.ResponsiveNodes(now))
	state := m.state(now)
	m.roster.Update(now, state)
	m.adjustBrake(now)
	var plan roster.BroadcastPlan
	if isRegular {
		plan = m.roster.BroadcastPlan(now, round)
	} else {
		plan = m.roster.NewsPlan(now)
	}
	recipients := plan.SameZone
	if round%unresponsiveEvery == 0 {
		recipients = append(recipients, plan.Unresponsive...)
	}
	m.sendStates(gage.Packet{States: []gage.NodeState{state}}, recipients)
	m.sendStates(plan.OwnZone, plan.Relays)
	m.sendStates(plan.OtherZones, plan.SameZone)
}

// sendStates sends the states and loads of a packet to the nodes at addresses, split
// into datagrams.
func (m *Mesh) sendStates(p gage.Packet, addresses []string) {
	for len(addresses) > 0 && len(p.States)+len(p.Loads) > 0 {
		part := p
		part.States = p.States[:min(maxStatesPerDatagram, len(p.States))]
		part.Loads = p.Loads[:min(maxLoadsPerDatagram, len(p.Loads))]
		p = gage.Packet{States: p.States[len(part.States):], Loads: p.Loads[len(part.Loads):]}
		m.sendPacket(part, addresses...)
	}
}

// sendPacket sends a packet to the nodes at addresses.
func (m *Mesh) sendPacket(p gage.Packet, addresses ...string) {
	failures, err := m.socket.Send(p, addresses...)
	if err != nil {
		m.stats.packetFailures.Add(failures)
		m.log.warn("PacketNotSent", zap.Int("Nodes", failures), zap.Error(err))
	}
}

// receivePackets handles the packets of the other nodes until ctx ends.
func (m *Mesh) receivePackets(ctx context.Context) {
	m.socket.Receive(ctx, func(p gage.Packet, sender string) { m.handlePacket(ctx, p, sender) }, func(err error) {
		m.stats.packetFailures.Inc()
		m.log.warn("PacketNotRead", zap.Error(err))
	})
}

func (m *Mesh) handlePacket(ctx context.Context, p gage.Packet, sender string) {
	now := m.options.Clock.Now()
	if p.Request != nil {
		grant := m.broker.HandleRequest(now, *p.Request)
		m.stats.tokenRequest(grant.Status)
		m.sendPacket(gage.Packet{Grant: &grant}, sender)
	}
	if p.Grant != nil {
		m.broker.HandleGrant(*p.Grant)
	}
	for _, z := range p.Zones {
		m.roster.UpdateZone(now, z)
	}
	for _, s := range p.States {
		if s.VM != m.options.Self.VM {
			m.handleState(ctx, now, s)
		}
	}
	for _, l := range p.Loads {
		m.roster.UpdateLoad(now, l)
	}
}

// requestTokens sends a request for tokens to the node on a VM.
func (m *Mesh) requestTokens(vm string, r gage.TokenRequest) {
	if address := m.roster.Address(vm); address != "" {
		m.sendPacket(gage.Packet{Request: &r}, address)
	}
}

func (m *Mesh) handleState(ctx context.Context, now time.Time, s gage.NodeState) {
	isNew, reconnected := m.roster.Update(now, s)
	if !isNew {
		return
	}
	if reconnected {
		m.log.info("NodeHeard", zap.String("Peer", s.VM), zap.String("Target", s.Target.ID), zap.Int64("Started", s.StartedAt))
		m.broadcastSoon()
		if s.Zone == m.options.Self.Zone {
			m.sendStates(m.roster.Introduction(now, s.VM), []string{s.Address})
		}
	}
	if s.ConfirmedAge >= 0 {
		held := mirror.Held{At: gage.StorePosition{Era: s.Era, Revision: s.Revision}, Version: s.DocumentVersion}
		m.mirror.ObservePeer(ctx, s.Address, held, now.Add(-s.Age-s.ConfirmedAge))
	}
}

// fetchDocuments fetches the operators' documents from the node at address.
func (m *Mesh) fetchDocuments(ctx context.Context, address string) (mirror.Snapshot, error) {
	var s mirror.Snapshot
	response, err := m.documentsClient.Do(ctx, m.options.Clock.Now(), address, &hop.Request{
		Method: http.MethodGet, RequestURI: documentsPath, Host: address, Header: http.Header{"Connection": {"close"}},
	})
	if err != nil {
		return s, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxDocumentsBytes))
	if err != nil {
		return s, err
	}
	if response.Status != http.StatusOK {
		return s, fmt.Errorf("fetch the operators' documents from %s: status %d", address, response.Status)
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
