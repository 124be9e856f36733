package mesh

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/mirror"
)

const (
	// registerRetryInterval is the pause between attempts to register in the
	// store, and registerTimeout the time limit of one attempt.
	registerRetryInterval = 500 * time.Millisecond
	registerTimeout       = 1500 * time.Millisecond
	// registryCheckInterval is how often a node that reads the store checks whether all
	// nodes that it hears are registered.
	registryCheckInterval = 2 * time.Second
)

// registry is what a node knows of the nodes' addresses in the store.
type registry struct {
	// at is the position of the store at which they were listed.
	at gage.StorePosition
	// addresses holds them by VM.
	addresses map[string]string
}

// keepRegistered registers this node. After that, until ctx ends, it registers the nodes
// that it hears and that the store has lost or never got, while this node is one of those
// that read the store regularly.
func (m *Mesh) keepRegistered(ctx context.Context) {
	known, err := m.register(ctx)
	for ; err != nil && ctx.Err() == nil; known, err = m.register(ctx) {
		m.log.warn("NotRegistered", zap.Error(err))
		sleep(ctx, registerRetryInterval)
	}
	m.options.Logger.Info("Registered", zap.Int("Nodes", len(known.addresses)), zap.Int64("Era", known.at.Era))
	every(ctx, registryCheckInterval, func() {
		now := m.options.Clock.Now()
		if m.roster.Rank(now) >= mirror.ReaderCount || !m.lacksNodes(now, known) {
			return
		}
		updated, err := m.registerOthers(ctx, now)
		if err != nil {
			m.log.warn("NodesNotRegistered", zap.Error(err))
			return
		}
		known = updated
	})
}

// lacksNodes reports whether the store may lack nodes that this node hears, or this node
// itself.
func (m *Mesh) lacksNodes(now time.Time, known registry) bool {
	if s, _ := m.mirror.Latest(); s.Era > known.at.Era {
		return true
	}
	return len(m.missingNodes(now, known)) > 0
}

// missingNodes returns the addresses, by VM, of this node and the nodes that it hears, as
// far as they are not registered.
func (m *Mesh) missingNodes(now time.Time, known registry) map[string]string {
	missing := make(map[string]string)
	if known.addresses[m.options.Self.VM] != m.options.Self.PeerAddress {
		missing[m.options.Self.VM] = m.options.Self.PeerAddress
	}
	for _, p := range m.roster.Peers(now) {
		if p.Alive(now) && !p.Leaving && known.addresses[p.VM] != p.Address {
			missing[p.VM] = p.Address
		}
	}
	return missing
}

// registerOthers lists the nodes in the store, and writes the addresses that are missing
// there.
func (m *Mesh) registerOthers(ctx context.Context, now time.Time) (registry, error) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	known, err := m.listNodes(ctx)
	if err != nil {
		return registry{}, err
	}
	for vm, address := range m.missingNodes(now, known) {
		if err := m.writeAddress(ctx, vm, address); err != nil {
			return registry{}, err
		}
		m.options.Logger.Info("NodeRegistered", zap.String("Peer", vm), zap.String("Address", address), zap.Int64("Era", known.at.Era))
		known.addresses[vm] = address
	}
	m.addListed(known)
	return known, nil
}

// register makes sure that this node's address is in the store, and adds the other
// nodes listed there to the roster. It lists the nodes after the address was written: of
// two nodes that register at the same time, at least one then finds the other.
func (m *Mesh) register(ctx context.Context) (registry, error) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	if !m.options.IsFirstStart {
		known, err := m.listNodes(ctx)
		if err != nil {
			return registry{}, err
		}
		if known.addresses[m.options.Self.VM] == m.options.Self.PeerAddress {
			m.addListed(known)
			return known, nil
		}
	}
	if err := m.writeAddress(ctx, m.options.Self.VM, m.options.Self.PeerAddress); err != nil {
		return registry{}, err
	}
	known, err := m.listNodes(ctx)
	if err != nil {
		return registry{}, err
	}
	m.addListed(known)
	return known, nil
}

func (m *Mesh) writeAddress(ctx context.Context, vm, address string) error {
	if err := m.options.Store.Put(ctx, m.options.NodePrefix+vm, []byte(address)); err != nil {
		return fmt.Errorf("write the address of %s: %w", vm, err)
	}
	return nil
}

func (m *Mesh) listNodes(ctx context.Context) (registry, error) {
	entries, at, err := m.options.Store.List(ctx, m.options.NodePrefix)
	if err != nil {
		return registry{}, fmt.Errorf("list the nodes: %w", err)
	}
	known := registry{at: at, addresses: make(map[string]string, len(entries))}
	for _, e := range entries {
		vm, address := strings.TrimPrefix(e.Key, m.options.NodePrefix), string(e.Value)
		if !isNodeEntry(vm, address) {
			m.log.warn("NodeEntryIgnored", zap.String("Key", e.Key), zap.Int("Bytes", len(e.Value)))
			continue
		}
		known.addresses[vm] = address
	}
	return known, nil
}

// maxVMNameBytes is the maximum length of the name of a VM.
const maxVMNameBytes = 256

// isNodeEntry reports whether an entry of the store can be that of a node. Others may write
// there too.
func isNodeEntry(vm, address string) bool {
	addrPort, err := netip.ParseAddrPort(address)
	return err == nil && addrPort.Port() > 0 && vm != "" && len(vm) <= maxVMNameBytes
}

// addListed adds the nodes listed in the store to the roster.
func (m *Mesh) addListed(known registry) {
	now := m.options.Clock.Now()
	for vm, address := range known.addresses {
		m.roster.AddAddress(now, vm, address)
	}
	m.listedNodeCount.Store(int64(len(known.addresses)))
	m.broadcastSoon()
}
