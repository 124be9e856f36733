package grind

import (
	"sort"
	"sync"
	"time"
)

// interval is a period in which a component was disturbed or stopped.
type interval struct {
	component string
	from, to  time.Time
}

// history records the disturbances, planned stops and changes of the fleet.
type history struct {
	mu           sync.Mutex
	disturbances []interval
	stops        []interval
	changes      []Change
}

// restartTime is how long a process may take after a kill or a stop until it
// serves again with the current configuration and peers.
const restartTime = 2 * time.Second

// addDisturbance records that a component is disturbed for the given duration.
func (h *history) addDisturbance(component string, from time.Time, duration time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbances = append(h.disturbances, interval{component: component, from: from, to: from.Add(duration)})
}

// addStop records a planned stop of a VM.
func (h *history) addStop(vm string, from, to time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stops = append(h.stops, interval{component: vm, from: from, to: to})
}

func (h *history) addChange(c Change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.changes = append(h.changes, c)
}

// sortedChanges returns the changes ordered by time.
func (h *history) sortedChanges() []Change {
	h.mu.Lock()
	defer h.mu.Unlock()
	sort.SliceStable(h.changes, func(i, j int) bool { return h.changes[i].At.Before(h.changes[j].At) })
	return append([]Change{}, h.changes...)
}

// disturbed reports whether a component was disturbed at any time between from and
// to. The component "" stands for any component. For a named VM, a planned stop
// counts as a disturbance, because the restarted node has no state yet.
func (h *history) disturbed(component string, from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return overlaps(h.disturbances, component, from, to) || component != "" && overlaps(h.stops, component, from, to)
}

// stopping reports whether a planned stop of a VM was in progress at any time
// between from and to.
func (h *history) stopping(vm string, from, to time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return overlaps(h.stops, vm, from, to)
}

func overlaps(intervals []interval, component string, from, to time.Time) bool {
	for _, i := range intervals {
		if (component == "" || i.component == component) && i.from.Before(to) && i.to.After(from) {
			return true
		}
	}
	return false
}
