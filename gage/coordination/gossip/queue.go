package gossip

// update is the queued gossip about one VM's record.
type update struct {
	VM string
	// Transmissions counts the messages that have carried the update.
	Transmissions int
	// Full means that the full record has to be sent, not a brief one.
	Full bool
}

// offerResult is the result of offering an update for a message.
type offerResult string

const (
	// offerSent means that the update was added to the message.
	offerSent offerResult = "Sent"
	// offerKept means that the update was not added, because it is about the
	// receiver of the message, and stays queued.
	offerKept offerResult = "Kept"
	// offerDropped means that the update has to be removed from the queue,
	// because its VM is no longer in the table.
	offerDropped offerResult = "Dropped"
	// offerNoSpace means that the update did not fit into the message. It stays
	// queued, and no further update is offered.
	offerNoSpace offerResult = "Full"
)

// maxTransmissions is the maximum number of messages that carry one update,
// regardless of the size of the fleet.
const maxTransmissions = 32

// updateQueue holds the updates to be gossiped, at most one for each VM. Those
// with the fewest transmissions come first.
type updateQueue struct {
	// updates holds the present update of each VM.
	updates map[string]*update
	// byTransmissions holds the updates by level, which is their number of
	// transmissions. An update that has been replaced or removed in updates stays
	// here until its level is next offered.
	byTransmissions [maxTransmissions][]*update
}

func newUpdateQueue() updateQueue { return updateQueue{updates: make(map[string]*update)} }

// push queues a VM's record as an update without transmissions. It replaces a
// queued update of the VM.
func (q *updateQueue) push(vm string, full bool) {
	if old, ok := q.updates[vm]; ok {
		full = full || old.Full
		if old.Transmissions == 0 {
			old.Full = full
			return
		}
	}
	u := &update{VM: vm, Full: full}
	q.updates[vm] = u
	q.byTransmissions[0] = append(q.byTransmissions[0], u)
}

func (q *updateQueue) isEmpty() bool { return len(q.updates) == 0 }

// offer calls tryAdd for the queued updates until one does not fit. It removes an
// update from the queue once the update has been sent limit times.
func (q *updateQueue) offer(limit int, tryAdd func(*update) offerResult) {
	var sent []*update
	for level := range q.byTransmissions {
		var noSpace bool
		sent, noSpace = q.offerLevel(level, tryAdd, sent)
		if noSpace {
			break
		}
	}
	for _, u := range sent {
		q.requeue(u, min(limit, maxTransmissions))
	}
}

// offerLevel calls tryAdd for the updates of one level until one does not fit. It
// moves the sent updates from the level to the end of sent. It returns the extended
// sent and whether an update did not fit.
func (q *updateQueue) offerLevel(level int, tryAdd func(*update) offerResult, sent []*update) ([]*update, bool) {
	list := q.byTransmissions[level]
	kept := list[:0]
	noSpace := false
	for _, u := range list {
		if q.updates[u.VM] != u {
			continue
		}
		result := offerKept
		if !noSpace {
			result = tryAdd(u)
		}
		switch result {
		case offerSent:
			sent = append(sent, u)
		case offerDropped:
			delete(q.updates, u.VM)
		default:
			noSpace = noSpace || result == offerNoSpace
			kept = append(kept, u)
		}
	}
	clear(list[len(kept):])
	q.byTransmissions[level] = kept
	return sent, noSpace
}

// requeue moves a sent update to the next level. If the update has been sent limit
// times, requeue removes it instead.
func (q *updateQueue) requeue(u *update, limit int) {
	u.Transmissions++
	if u.Transmissions >= limit {
		delete(q.updates, u.VM)
		return
	}
	q.byTransmissions[u.Transmissions] = append(q.byTransmissions[u.Transmissions], u)
}
