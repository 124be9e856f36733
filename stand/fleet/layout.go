// Package fleet starts the processes of a trial on loopback addresses: the store,
// the nodes with their settings files, and the targets of each VM. It stops only
// processes that it has started, by process id.
package fleet

import (
	"fmt"
	"math"

	"github.com/greengagewind/greengagewind/stand/files"
)

// Duration is a time.Duration that is written as text, such as "5s", in files.
type Duration = files.Duration

// Layout lists the VMs of a deployment and the targets on each VM.
type Layout struct {
	Deployment string
	Region     string
	// VM entries have distinct names.
	VM []VM
}

// VM is a virtual machine with one node and the targets that register with it.
type VM struct {
	Name   string
	Zone   string
	Target []Target
}

// Target is one instance of a service.
type Target struct {
	Name    string
	Service string
	// Slots is the number of requests that the target works on at once, at
	// least 1.
	Slots       int
	ServiceTime Duration
	// Call lists the nested calls, each a value of the flag --call of stand
	// target.
	Call []string
	// ColdStart is how long the target is cold after its start; 0 means not at
	// all.
	ColdStart Duration
	// ColdSlots is the number of requests that the target can work on at once
	// while cold; values below 1 mean 1.
	ColdSlots int
}

// ReadLayout reads a layout from a TOML file.
func ReadLayout(path string) (*Layout, error) {
	layout := &Layout{}
	if err := files.ReadTOML(path, layout); err != nil {
		return nil, fmt.Errorf("read layout: %w", err)
	}
	return layout, nil
}

// Scale divides the slots of every target by divisor and multiplies every
// service time by stretch, so that a layout of production size can be run to
// saturation on a single host. Slots are rounded and stay at 1 or more. ColdSlots
// are not divided, but limited to the new Slots.
func (l *Layout) Scale(divisor, stretch float64) {
	for i := range l.VM {
		for j := range l.VM[i].Target {
			t := &l.VM[i].Target[j]
			t.Slots = scaleSlots(t.Slots, divisor)
			t.ColdSlots = min(t.ColdSlots, t.Slots)
			t.ServiceTime = Duration(float64(t.ServiceTime) * stretch)
		}
	}
}

func scaleSlots(slots int, divisor float64) int {
	return max(1, int(math.Round(float64(slots)/divisor)))
}
