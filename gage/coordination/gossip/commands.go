package gossip

import (
	"sync"

	"github.com/greengagewind/greengagewind/gage"
)

// commands are pending requests from other goroutines to the goroutine of
// Agent.Run.
type commands struct {
	// Targets replaces the node's own targets if ReplacesTargets is set.
	Targets         []gage.TargetRecord
	ReplacesTargets bool
	// Generation is the configuration generation to set, or 0 for no change.
	Generation int64
	// Contacts are peer addresses to add.
	Contacts []string
	// Leave holds one channel for each call of Agent.Leave. The channels are
	// closed when the messages that announce the departure of this node have been
	// passed to the Sender.
	Leave []chan struct{}
}

// commandBuffer holds the pending commands. Each new command replaces or is
// merged with a pending one of the same kind, so that submitting never blocks.
type commandBuffer struct {
	// Ready holds a value when commands are pending. Its capacity is one.
	Ready    chan struct{}
	mu       sync.Mutex
	commands commands
}

func newCommandBuffer() *commandBuffer { return &commandBuffer{Ready: make(chan struct{}, 1)} }

// update changes the pending commands by calling f, and then sends to Ready.
func (b *commandBuffer) update(f func(*commands)) {
	b.mu.Lock()
	f(&b.commands)
	b.mu.Unlock()
	select {
	case b.Ready <- struct{}{}:
	default:
	}
}

// takeAll returns the pending commands and removes them from the buffer.
func (b *commandBuffer) takeAll() commands {
	b.mu.Lock()
	defer b.mu.Unlock()
	pending := b.commands
	b.commands = commands{}
	return pending
}

func (a *Agent) submit(f func(*commands)) { a.commands.update(f) }
