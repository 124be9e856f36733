// Package apply puts a configuration file in force by compare-and-swap on the
// generation that it is based on. It stores the ID of each apply with the file,
// so that an apply whose reply from the store was lost can be recognized later.
package apply

import (
	"context"
	"fmt"
	"time"

	"github.com/greengagewind/greengagewind/gage"
)

// retryDelay is the delay after a failed call to the store.
const retryDelay = 200 * time.Millisecond

// Run applies file in place of generation base; base is 0 if no configuration
// is in force yet. The id must be unique to this apply; a caller that calls Run
// again for the same apply must pass the same id. Of all applies with the same
// base, only one can take effect. Run retries failed calls to the store until ctx ends.
func Run(ctx context.Context, store gage.Store, file []byte, base int64, id string) Result {
	if !validID(id) {
		return Result{Outcome: BadID, Detail: "The apply ID must have 1 to 64 bytes and no white space."}
	}
	_, file = SplitStamps(file)
	if len(file)+maxTotalStampBytes > gage.MaxValueBytes {
		return Result{Outcome: TooLarge, Detail: fmt.Sprintf(
			"The file has %d bytes; the store accepts at most %d.", len(file), gage.MaxValueBytes-maxTotalStampBytes)}
	}
	r := run{store: store, file: file, stamp: Stamp{ID: id, Base: base}}
	for {
		if result, done := r.tryOnce(ctx); done {
			return result
		}
		select {
		case <-ctx.Done():
			return r.unknownResult()
		case <-time.After(retryDelay):
		}
	}
}

// run is one call to Run.
type run struct {
	store gage.Store
	file  []byte
	stamp Stamp
	// swapSent is true once a swap may have reached the store.
	swapSent bool
	// lastGeneration is the generation in force as last read. It is 0 if none
	// is in force or none has been read yet.
	lastGeneration int64
}

// tryOnce reads the document in force and replaces it if it is still the base.
// It returns false if a call to the store failed. Each swap of this apply
// requires the same base, so at most one of them takes effect, however often
// they are repeated or delayed.
func (r *run) tryOnce(ctx context.Context) (Result, bool) {
	current, err := r.store.Get(ctx, gage.StoreConfigKey)
	if err != nil {
		return Result{}, false
	}
	r.lastGeneration = current.Revision
	if current.Revision != r.stamp.Base {
		return r.resultFrom(current), true
	}
	earlierStamps, _ := SplitStamps(current.Value)
	value := PrependStamps(append([]Stamp{r.stamp}, earlierStamps...), r.file)
	r.swapSent = true
	inForce, swapped, err := r.store.Swap(ctx, gage.StoreConfigKey, r.stamp.Base, value, 0)
	if err != nil {
		return Result{}, false
	}
	r.lastGeneration = inForce.Revision
	if swapped {
		return r.appliedResult(inForce), true
	}
	return r.resultFrom(inForce), true
}

// resultFrom determines from the document in force, which is not the base,
// whether this apply took effect. It follows the stamps back in time: the base
// of each stamp is the generation of the next older one.
func (r *run) resultFrom(current gage.Entry) Result {
	stamps, _ := SplitStamps(current.Value)
	generation := current.Revision
	for _, s := range stamps {
		switch {
		case s == r.stamp && generation == current.Revision:
			return r.appliedResult(current)
		case s == r.stamp:
			return Result{
				Outcome: Superseded, Generation: generation, Current: current.Revision,
				Detail: fmt.Sprintf("The file was in force as generation %d; generation %d has replaced it.",
					generation, current.Revision),
			}
		case s.Base <= r.stamp.Base:
			return r.conflictResult(current.Revision)
		}
		generation = s.Base
	}
	// The stored stamps do not reach back to the base, for example because more
	// than maxStamps applies followed. If this run sent no swap, it had no
	// effect. An earlier run with the same ID may have had one.
	if !r.swapSent {
		return r.conflictResult(current.Revision)
	}
	return r.unknownResult()
}

func (r *run) appliedResult(e gage.Entry) Result {
	return Result{
		Outcome: Applied, Generation: e.Revision, Current: e.Revision,
		Detail:   fmt.Sprintf("The file is in force as generation %d.", e.Revision),
		Document: gage.Document{Key: e.Key, Revision: e.Revision, Value: e.Value},
	}
}

func (r *run) conflictResult(current int64) Result {
	return Result{
		Outcome: Conflict, Current: current,
		Detail: fmt.Sprintf("The file is based on generation %d, but generation %d is in force; compare the two and apply again.",
			r.stamp.Base, current),
	}
}

func (r *run) unknownResult() Result {
	return Result{
		Outcome: Unknown, Current: r.lastGeneration,
		Detail: "The store did not confirm whether the file was put in force; run again with the same ID.",
	}
}
