package route

import (
	"github.com/greengagewind/greengagewind/gage"
)

// buildSnapshot returns the snapshot for the given members and configuration.
// Unchanged targets carry over from the previous snapshot with their state.
func (r *Router) buildSnapshot(members []gage.Member, config gage.Config) *snapshot {
	excluded := exclusionsOf(config)
	snap := &snapshot{services: servicesOf(config), targets: make(map[targetKey]*target)}
	previous := r.snapshot.Load()
	for _, member := range members {
		if member.Phase != gage.MemberAlive {
			continue
		}
		for _, record := range member.Targets {
			if record.Phase == gage.TargetGone {
				continue
			}
			t := previous.reuseTarget(member, record)
			snap.targets[targetKey{t.vm, t.name}] = t
			if record.Phase == gage.TargetServing && !excluded.zones[member.Zone] && !excluded.targets[record.Name] {
				snap.add(t, member.Zone == r.self.Zone)
			}
		}
	}
	return snap
}

// reuseTarget returns the snapshot's target for a record. It returns a new
// target, without load report or failures, when the target is not in the
// snapshot or when its incarnation, peer address or service has changed: a
// restarted target is cold.
func (s *snapshot) reuseTarget(member gage.Member, record gage.TargetRecord) *target {
	known := s.targets[targetKey{member.VM, record.Name}]
	if known != nil && known.incarnation == record.Incarnation &&
		known.peerAddress == member.PeerAddress && known.service == record.Service {
		return known
	}
	t := &target{
		vm:          member.VM,
		name:        record.Name,
		service:     record.Service,
		peerAddress: member.PeerAddress,
		incarnation: record.Incarnation,
	}
	return t
}

// add makes t selectable for calls to its service. Targets of services that
// are not configured are ignored.
func (s *snapshot) add(t *target, inSameZone bool) {
	list := s.services[t.service]
	if list == nil {
		return
	}
	list.all = append(list.all, t)
	if inSameZone {
		list.sameZone = append(list.sameZone, t)
		return
	}
	list.otherZones = append(list.otherZones, t)
}

func servicesOf(config gage.Config) map[string]*service {
	services := make(map[string]*service, len(config.Services))
	for _, s := range config.Services {
		services[s.Name] = &service{coldConcurrency: int64(max(s.ColdConcurrency, 1))}
	}
	return services
}

// exclusions holds the zones and targets that the configuration takes out of
// service, by name.
type exclusions struct {
	zones   map[string]bool
	targets map[string]bool
}

func exclusionsOf(config gage.Config) exclusions {
	excluded := exclusions{zones: make(map[string]bool), targets: make(map[string]bool)}
	for _, zone := range config.Zones {
		excluded.zones[zone.Name] = !zone.InService
	}
	for _, t := range config.Targets {
		excluded.targets[t.Name] = !t.InService
	}
	return excluded
}
