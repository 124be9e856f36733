package run

import (
	"github.com/greengagewind/greengagewind/gage"
)

// addressBook implements host.AddressBook for the targets on this VM.
type addressBook struct {
	node *node
}

// Address returns the host:port and the phase of a target, and false if the target
// is unknown. A serving target that is out of service in this node's configuration,
// by itself or with its zone, is returned as draining, even if the node that sent
// the call has an older configuration.
func (a addressBook) Address(target string) (string, gage.TargetPhase, bool) {
	found, ok := a.node.targets.Find(target)
	if !ok {
		return "", gage.TargetGone, false
	}
	if found.Phase == gage.TargetServing && a.node.isOutOfService(target) {
		return found.Address, gage.TargetDraining, true
	}
	return found.Address, found.Phase, true
}

// isOutOfService reports whether the active configuration takes target or the zone
// of the node out of service.
func (n *node) isOutOfService(target string) bool {
	view := n.views.Get()
	if view == nil {
		return false
	}
	for _, zone := range view.Config.Zones {
		if zone.Name == n.self.Zone && !zone.InService {
			return true
		}
	}
	for _, t := range view.Config.Targets {
		if t.Name == target && !t.InService {
			return true
		}
	}
	return false
}
