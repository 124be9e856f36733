package fleet

import (
	"fmt"

	"github.com/greengagewind/greengagewind/gage"
)

// Converged reports whether the tables of all VMs that are neither down nor
// frozen match the actual state of all VMs.
func (f *Fleet) Converged() bool { return f.Disagreement() == "" }

// Disagreement describes the first difference between the actual state of a VM
// and its record in the table of a VM that is neither down nor frozen. It returns
// "" when there is none.
func (f *Fleet) Disagreement() string {
	for _, name := range f.Names {
		v := f.VMs[name]
		if v.Down || v.Frozen {
			continue
		}
		for _, other := range f.Names {
			if difference := f.disagreementOn(v, f.VMs[other]); difference != "" {
				return difference
			}
		}
	}
	return ""
}

// disagreementOn describes how v's record of other differs from the actual state
// of other. It returns "" when it does not differ.
func (f *Fleet) disagreementOn(v, other *VM) string {
	e, known := v.Core.Table.Get(other.Member.VM)
	if other.Down {
		if known && !e.Gone() {
			return fmt.Sprintf("%s considers %s to be %s, but it is down", v.Member.VM, other.Member.VM, e.Member.Phase)
		}
		return ""
	}
	if !known {
		return fmt.Sprintf("%s does not know %s", v.Member.VM, other.Member.VM)
	}
	own := other.Core.Table.Self()
	m := e.Member
	if m.Phase != gage.MemberAlive || m.StartedAt != own.StartedAt || m.Version != own.Version {
		return fmt.Sprintf("%s considers %s to be %s with version %d, but it is alive with version %d",
			v.Member.VM, other.Member.VM, m.Phase, m.Version, own.Version)
	}
	return ""
}
