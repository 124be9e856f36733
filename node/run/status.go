package run

import (
	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/protocol/oper"
)

// neverConfirmed is the ConfirmedAgeMillis of a configuration that was never
// confirmed.
const neverConfirmed = -1

// Ready reports whether the node accepts requests, and the reason if it does not.
func (n *node) Ready() (bool, string) {
	if n.stopping.Load() {
		return false, "the node is stopping"
	}
	if n.views.Get() == nil {
		return false, "the node has no configuration yet; apply one with ggw config apply"
	}
	if verdict := n.spread.Verdict(n.clock.Now()); !verdict.Serves() {
		return false, "the configuration cannot be confirmed: " + string(verdict)
	}
	return true, ""
}

// Status returns the state of this node and the members that it knows.
func (n *node) Status() oper.Status {
	status := oper.Status{
		VM:                 n.self.VM,
		Zone:               n.self.Zone,
		Region:             n.self.Region,
		ConfirmedAgeMillis: neverConfirmed,
		Members:            n.gossip.Members(),
	}
	if view := n.views.Get(); view != nil {
		status.Generation = view.Config.Generation
		status.ZonesOut, status.TargetsOut = listOutOfService(view.Config)
	}
	if confirmedAt := n.spread.ConfirmedAt(); !confirmedAt.IsZero() {
		status.ConfirmedAgeMillis = n.clock.Now().Sub(confirmedAt).Milliseconds()
	}
	return status
}

// listOutOfService returns the names of the zones and targets that a configuration
// takes out of service.
func listOutOfService(config gage.Config) (zones, targets []string) {
	for _, z := range config.Zones {
		if !z.InService {
			zones = append(zones, z.Name)
		}
	}
	for _, t := range config.Targets {
		if !t.InService {
			targets = append(targets, t.Name)
		}
	}
	return zones, targets
}
