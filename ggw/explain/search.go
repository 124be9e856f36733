package explain

import (
	"context"
	"slices"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/protocol/oper"
	"github.com/greengagewind/greengagewind/gage/state/recent"
	"github.com/greengagewind/greengagewind/ggw/cli"
)

// maxQueriedNodes is the maximum number of nodes queried in one search.
const maxQueriedNodes = 64

// search collects the events of one request from all nodes that handled it or
// one of its nested calls.
type search struct {
	client cli.NodeClient
	// operatorAddresses maps the name of a VM to the operator address of its node.
	operatorAddresses map[string]string
	// targetVMs maps the name of a target to the name of its VM.
	targetVMs map[string]string
	// wasEnqueued holds the VMs that have been added to queue at any time, so that
	// each is queried at most once.
	wasEnqueued map[string]bool
	// queue holds the VMs whose nodes have yet to be queried.
	queue []string
	// otherErrors holds the errors of the queried nodes other than the one that
	// received the request.
	otherErrors []error
	// entryErr is the error of the node that received the request, or nil.
	entryErr error
}

// newSearch returns a search among members, which is the member list of one node.
func newSearch(client cli.NodeClient, members []gage.Member) *search {
	s := &search{
		client:            client,
		operatorAddresses: make(map[string]string),
		targetVMs:         make(map[string]string),
		wasEnqueued:       make(map[string]bool),
	}
	for _, m := range members {
		s.operatorAddresses[m.VM] = m.OperatorAddress
		for _, t := range m.Targets {
			s.targetVMs[t.Name] = m.VM
		}
	}
	return s
}

func (s *search) isKnown(vm string) bool {
	return s.operatorAddresses[vm] != ""
}

// run queries the node on entryVM, which received the request. It then queries each
// node that the returned events refer to, such as the nodes on the VMs of targets
// and the nodes that received nested calls. It returns all events, sorted by time
// and without duplicates.
func (s *search) run(ctx context.Context, entryVM, requestID string) []recent.Event {
	var events []recent.Event
	s.enqueue(entryVM)
	for len(s.queue) > 0 {
		vm := s.queue[0]
		s.queue = s.queue[1:]
		explanation, err := s.client.Explain(ctx, s.operatorAddresses[vm], requestID)
		if err != nil {
			s.recordError(vm, entryVM, err)
			continue
		}
		events = append(events, explanation.Events...)
		for _, e := range explanation.Events {
			s.enqueueRelated(e)
		}
	}
	slices.SortStableFunc(events, func(a, b recent.Event) int {
		return a.At.Compare(b.At)
	})
	return slices.CompactFunc(events, func(a, b recent.Event) bool { return a == b })
}

// enqueueRelated enqueues the VMs that an event refers to.
func (s *search) enqueueRelated(e recent.Event) {
	s.enqueue(e.VM)
	s.enqueue(s.targetVMs[e.Target])
	if vm, ok := oper.VMOf(e.RequestID); ok {
		s.enqueue(vm)
	}
}

// enqueue adds vm to the queue unless it was enqueued before, its address is not
// known, or the limit of maxQueriedNodes is reached.
func (s *search) enqueue(vm string) {
	if s.wasEnqueued[vm] || !s.isKnown(vm) || len(s.wasEnqueued) >= maxQueriedNodes {
		return
	}
	s.wasEnqueued[vm] = true
	s.queue = append(s.queue, vm)
}

func (s *search) recordError(vm, entryVM string, err error) {
	if vm == entryVM {
		s.entryErr = err
		return
	}
	s.otherErrors = append(s.otherErrors, err)
}
