package spread

import (
	"context"
	"strings"
	"sync"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/invar"
)

// notifier passes new documents to the subscribers. Pending documents are stored
// by key, so that a slow subscriber receives only the newest revision of each. For
// the same reason a subscriber has at most maxDocuments pending documents.
type notifier struct {
	mu          sync.Mutex
	subscribers []*subscriber
	// wake wakes notifyLoop.
	wake chan struct{}
}

type subscriber struct {
	prefix   string
	onChange func(gage.Document)
	pending  map[string]gage.Document
	// deliveredRevisions holds, by key, the last revision passed to onChange. It is
	// accessed by notifyLoop only.
	deliveredRevisions map[string]int64
}

func newNotifier() *notifier {
	return &notifier{wake: make(chan struct{}, 1)}
}

func (n *notifier) subscribe(prefix string, onChange func(gage.Document), existing []gage.Document) {
	n.mu.Lock()
	defer n.mu.Unlock()
	sub := &subscriber{
		prefix:             prefix,
		onChange:           onChange,
		pending:            make(map[string]gage.Document),
		deliveredRevisions: make(map[string]int64),
	}
	n.subscribers = append(n.subscribers, sub)
	for _, d := range existing {
		sub.enqueue(d)
	}
	n.wakeLoop()
}

// enqueue adds d to the pending documents of the subscribers whose prefix matches.
func (n *notifier) enqueue(d gage.Document) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, sub := range n.subscribers {
		sub.enqueue(d)
	}
	n.wakeLoop()
}

func (sub *subscriber) enqueue(d gage.Document) {
	if strings.HasPrefix(d.Key, sub.prefix) {
		sub.pending[d.Key] = d
	}
}

// wakeLoop wakes notifyLoop. It does not block.
func (n *notifier) wakeLoop() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// takePending removes a pending document and returns it with its subscriber. It
// reports false if no document is pending.
func (n *notifier) takePending() (*subscriber, gage.Document, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, sub := range n.subscribers {
		for key, d := range sub.pending {
			delete(sub.pending, key)
			return sub, d, true
		}
	}
	return nil, gage.Document{}, false
}

// notifyLoop passes pending documents to their subscribers.
func (s *Spread) notifyLoop(ctx context.Context) {
	for {
		for {
			sub, d, ok := s.notifier.takePending()
			if !ok {
				break
			}
			invar.Check(d.Revision > sub.deliveredRevisions[d.Key], "SubscriberSeesRevisionsGrow",
				"Key", d.Key, "Revision", d.Revision, "Seen", sub.deliveredRevisions[d.Key])
			sub.deliveredRevisions[d.Key] = d.Revision
			sub.onChange(d)
		}
		select {
		case <-s.notifier.wake:
		case <-ctx.Done():
			return
		}
	}
}
