package gossip

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage"
)

// slotsPerZone is the number of rendezvous records per zone.
const slotsPerZone = 3

// The timeouts and delays of a rendezvousClient.
const (
	storeTimeout      = 2 * time.Second
	maxFirstReadDelay = 300 * time.Millisecond
	minRetryDelay     = time.Second
	maxRetryDelay     = 30 * time.Second
	// aloneRefreshInterval is the time between two reads of the records while
	// this node knows no other node.
	aloneRefreshInterval = 5 * time.Second
)

// rendezvousRecord is the JSON value of a rendezvous record in the store. It
// names a node through which others can join the fleet.
type rendezvousRecord struct {
	VM          string
	PeerAddress string
}

// rendezvousClient reads the rendezvous records from the store, so that this
// node can join the fleet, and updates those records of its zone that are
// assigned to this node. The records of a zone are assigned to its first live
// nodes in the order of their hashed names. Only these nodes call the store
// regularly, so that the number of calls does not grow with the fleet.
type rendezvousClient struct {
	agent *Agent
	// hasRead means that the records have been read at least once.
	hasRead bool
	// retryDelay is the delay that followed the last failed read. Each failure
	// doubles it, up to maxRetryDelay; a success resets it to minRetryDelay.
	retryDelay time.Duration
}

func newRendezvousClient(agent *Agent) *rendezvousClient {
	return &rendezvousClient{agent: agent, retryDelay: minRetryDelay}
}

func (r *rendezvousClient) run(ctx context.Context) {
	delay := time.Duration(nodeHash(r.agent.options.Self.VM, uint64(r.agent.options.Self.StartedAt)) % uint64(maxFirstReadDelay))
	for sleep(ctx, delay) {
		delay = r.refresh(ctx)
	}
}

// sleep waits for d. It returns false when ctx is done first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// nodeHash returns a hash of a VM's name and a salt. The hash determines the order
// of the nodes of a zone. It also spreads the first store calls of nodes that start
// at the same time.
func nodeHash(vm string, salt uint64) uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%s/%d", vm, salt))
}

// refresh reads the records and writes those assigned to this node. It returns
// the delay until the next call.
func (r *rendezvousClient) refresh(ctx context.Context) time.Duration {
	slots := r.assignedSlots()
	if r.hasRead && len(slots) == 0 {
		return r.agent.timing.RendezvousInterval
	}
	entries, err := r.readRecords(ctx)
	if err != nil {
		r.agent.options.Logger.Warn("RendezvousUnread", zap.Error(err))
		r.retryDelay = min(2*r.retryDelay, maxRetryDelay)
		return r.retryDelay
	}
	r.retryDelay = minRetryDelay
	r.addContacts(entries)
	if !r.hasRead {
		r.hasRead = true
		return r.claimIfZoneEmpty(ctx, entries)
	}
	r.writeRecords(ctx, entries, slots)
	if len(r.agent.Members()) == 1 {
		return aloneRefreshInterval
	}
	return r.agent.timing.RendezvousInterval
}

// claimIfZoneEmpty is called after the first read. If the zone has no records
// yet, this node writes one at once. Otherwise it first waits, so that it learns of
// the other nodes of its zone by gossip before it writes records.
// claimIfZoneEmpty returns the delay until the next refresh.
func (r *rendezvousClient) claimIfZoneEmpty(ctx context.Context, entries []gage.Entry) time.Duration {
	prefix := r.prefix()
	for _, e := range entries {
		if strings.HasPrefix(e.Key, prefix) {
			return r.agent.timing.RendezvousInterval / 4
		}
	}
	slot := int(nodeHash(r.agent.options.Self.VM, 0) % slotsPerZone)
	r.writeRecords(ctx, nil, []int{slot})
	return minRetryDelay
}

func (r *rendezvousClient) readRecords(ctx context.Context) ([]gage.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entries, _, err := r.agent.options.Store.List(ctx, gage.StoreRendezvousPrefix)
	if err != nil {
		return nil, fmt.Errorf("list rendezvous records: %w", err)
	}
	return entries, nil
}

// addContacts makes the addresses in the given records contacts for joining.
func (r *rendezvousClient) addContacts(entries []gage.Entry) {
	var contacts []string
	for _, e := range entries {
		var record rendezvousRecord
		if json.Unmarshal(e.Value, &record) == nil && record.PeerAddress != "" {
			contacts = append(contacts, record.PeerAddress)
		}
	}
	if len(contacts) > 0 {
		r.agent.submit(func(c *commands) { c.Contacts = contacts })
	}
}

// assignedSlots returns the slots of this node's zone whose records are
// assigned to this node.
func (r *rendezvousClient) assignedSlots() []int {
	self := r.agent.Self()
	var zoneNodes []gage.Member
	for _, m := range r.agent.Members() {
		if m.Zone == self.Zone && (m.Phase == gage.MemberAlive || m.Phase == gage.MemberSuspect) {
			zoneNodes = append(zoneNodes, m)
		}
	}
	sort.Slice(zoneNodes, func(i, j int) bool { return nodeHash(zoneNodes[i].VM, 0) < nodeHash(zoneNodes[j].VM, 0) })
	var slots []int
	for slot := range slotsPerZone {
		if len(zoneNodes) > 0 && zoneNodes[slot%len(zoneNodes)].VM == self.VM {
			slots = append(slots, slot)
		}
	}
	return slots
}

// prefix returns the common prefix of the record keys of this node's zone.
func (r *rendezvousClient) prefix() string {
	return gage.StoreRendezvousPrefix + r.agent.options.Self.Zone + "/"
}

// writeRecords writes this node's address to the records of the given slots,
// except those that already hold it.
func (r *rendezvousClient) writeRecords(ctx context.Context, entries []gage.Entry, slots []int) {
	value, err := json.Marshal(rendezvousRecord{VM: r.agent.options.Self.VM, PeerAddress: r.agent.options.Self.PeerAddress})
	if err != nil {
		return
	}
	for _, slot := range slots {
		key := fmt.Sprintf("%s%d", r.prefix(), slot)
		old := entryByKey(entries, key)
		if string(old.Value) == string(value) {
			continue
		}
		r.writeRecord(ctx, key, old.Revision, value)
	}
}

// writeRecord writes one record unless its revision has changed. In that case
// it adds the address in the present record as a contact.
func (r *rendezvousClient) writeRecord(ctx context.Context, key string, revision int64, value []byte) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, swapped, err := r.agent.options.Store.Swap(ctx, key, revision, value, 0)
	switch {
	case err != nil:
		r.agent.options.Logger.Warn("RendezvousUnwritten", zap.String("Key", key), zap.Error(err))
	case swapped:
		r.agent.options.Logger.Info("RendezvousWritten", zap.String("Key", key))
	default:
		r.addContacts([]gage.Entry{entry})
	}
}

// entryByKey returns the entry of a key. Its Revision is 0 when there is none.
func entryByKey(entries []gage.Entry, key string) gage.Entry {
	for _, e := range entries {
		if e.Key == key {
			return e
		}
	}
	return gage.Entry{}
}
