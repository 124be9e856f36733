package run

import (
	"github.com/greengagewind/greengagewind/gage"
)

// addressBook implements host.AddressBook for the targets on this VM.
type addressBook struct {
	node *node
}

// Address returns the host:port and the phase of a target, and false if the target
// is unknown. If this node's configuration takes the target or this node's zone out
// of service, a serving target is returned as draining. The configuration of the node
// that sent the call does not matter.
func (a addressBook) Address(target string) (string, gage.TargetPhase, bool) {
	t, ok := a.node.targets.Find(target)
	if !ok {
		return "", gage.TargetGone, false
	}
	if t.Phase == gage.TargetServing && a.node.isOutOfService(target) {
		return t.Address, gage.TargetDraining, true
	}
	return t.Address, t.Phase, true
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
