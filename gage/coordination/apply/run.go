// Package apply puts an operators' file in force by compare-and-swap on the
// generation that it is based on, and settles lost answers.
package apply

import (
	"context"
	"fmt"
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// retryPause is the wait after a call to the store that gave no answer.
const retryPause = 200 * time.Millisecond

// Run applies file in place of generation base; 0 means that there is none
// yet. The id must be unique for each apply. Among all applies with the same
// base exactly one can win. Run tries until ctx ends.
func Run(ctx context.Context, store gage.Store, file []byte, base int64, id string) Result {
	if !validID(id) {
		return Result{Outcome: BadID, Detail: "The apply id must be a short word without white space."}
	}
	_, file = SplitStamps(file)
	if len(file)+maxStampBytes > gage.MaxValueBytes {
		return Result{Outcome: TooLarge, Detail: fmt.Sprintf(
			"The file has %d bytes; the store takes %d.", len(file), gage.MaxValueBytes-maxStampBytes)}
	}
	a := attempt{store: store, file: file, stamp: Stamp{ID: id, Base: base}}
	for {
		if result, settled := a.once(ctx); settled {
			return result
		}
		select {
		case <-ctx.Done():
			return a.unknown()
		case <-time.After(retryPause):
		}
	}
}

// attempt is one run of an apply.
type attempt struct {
	store gage.Store
	file  []byte
	stamp Stamp
	// sent tells that a swap may have reached the store.
	sent bool
	// seen is the last generation read, or 0.
	seen int64
}

// once reads the document in force and swaps it if it is still the base. Each
// swap of this apply names the same base, so that at most one of them takes
// effect however often it is repeated or delayed.
func (a *attempt) once(ctx context.Context) (Result, bool) {
	current, err := a.store.Get(ctx, gage.StoreConfigKey)
	if err != nil {
		return Result{}, false
	}
	a.seen = current.Revision
	if current.Revision != a.stamp.Base {
		return a.judge(current), true
	}
	earlier, _ := SplitStamps(current.Value)
	value := PrependStamps(append([]Stamp{a.stamp}, earlier...), a.file)
	a.sent = true
	inForce, swapped, err := a.store.Swap(ctx, gage.StoreConfigKey, a.stamp.Base, value, 0)
	if err != nil {
		return Result{}, false
	}
	a.seen = inForce.Revision
	if swapped {
		return a.applied(inForce), true
	}
	return a.judge(inForce), true
}

// judge tells from the document in force, which is not the base, whether this
// apply took effect.
func (a *attempt) judge(current gage.Entry) Result {
	stamps, _ := SplitStamps(current.Value)
	generation := current.Revision
	for _, s := range stamps {
		switch {
		case s == a.stamp && generation == current.Revision:
			return a.applied(current)
		case s == a.stamp:
			return Result{
				Outcome: Superseded, Generation: generation, Current: current.Revision,
				Detail: fmt.Sprintf("The file was in force as generation %d; generation %d has replaced it.",
					generation, current.Revision),
			}
		case s.Base <= a.stamp.Base:
			return a.conflict(current.Revision)
		}
		generation = s.Base
	}
	// An id that ran before is not known to have been overwritten once more
	// than maxStamps applies have followed; a first run never was in force.
	if !a.sent {
		return a.conflict(current.Revision)
	}
	return a.unknown()
}

func (a *attempt) applied(e gage.Entry) Result {
	return Result{
		Outcome: Applied, Generation: e.Revision, Current: e.Revision,
		Detail:   fmt.Sprintf("The file is in force as generation %d.", e.Revision),
		Document: gage.Document{Key: e.Key, Revision: e.Revision, Value: e.Value},
	}
}

func (a *attempt) conflict(current int64) Result {
	return Result{
		Outcome: Conflict, Current: current,
		Detail: fmt.Sprintf("The file is based on generation %d, but generation %d is in force; compare and apply again.",
			a.stamp.Base, current),
	}
}

func (a *attempt) unknown() Result {
	return Result{
		Outcome: Unknown, Current: a.seen,
		Detail: "The store gave no answer that settles whether the file is in force; run again with the same id.",
	}
}
