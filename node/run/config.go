package run

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage"
	"github.com/greengagewind/greengagewind/gage/coordination/apply"
	"github.com/greengagewind/greengagewind/gage/coordination/entry"
	"github.com/greengagewind/greengagewind/gage/coordination/local"
	"github.com/greengagewind/greengagewind/gage/invar"
	"github.com/greengagewind/greengagewind/gage/protocol/conf"
)

// configChanged activates a newer configuration. If the document does not parse,
// the active configuration remains in force. This is not expected, since ggw does not
// write such documents.
func (n *node) configChanged(d gage.Document) {
	now := n.clock.Now()
	_, text := apply.SplitStamps(d.Value)
	config, problems := conf.Parse(d.Key, text)
	if len(problems) > 0 {
		n.logger.Error("ConfigurationRefused", zap.Int64("Generation", d.Revision), zap.String("Problem", problems[0].String()))
		return
	}
	config.Generation = d.Revision
	if old := n.views.Get(); old != nil {
		invar.Check(old.Config.Generation < d.Revision, "GenerationsOnlyGrow",
			"Old", old.Config.Generation, "New", d.Revision)
	}
	n.views.Set(entry.NewView(config))
	n.router.Update(now, n.gossip.Members(), config)
	n.quota.Adopt(&config)
	for _, target := range n.targets.Snapshot() {
		n.setTarget(now, target)
	}
	n.gossip.SetGeneration(config.Generation)
	n.logger.Info("ConfigurationInForce", zap.Int64("Generation", config.Generation))
}

// followMembers updates the router after each change of the membership, until ctx
// ends.
func (n *node) followMembers(ctx context.Context) {
	for {
		_, changed := n.gossip.Version()
		if view := n.views.Get(); view != nil {
			n.router.Update(n.clock.Now(), n.gossip.Members(), view.Config)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// targetChanged passes a change of a target on this VM to admission control.
func (n *node) targetChanged(now time.Time, _ local.Event, t local.Target) {
	n.setTarget(now, t)
}

// setTarget passes the state of a target and the configuration of its service to
// admission control.
func (n *node) setTarget(now time.Time, t local.Target) {
	record := gage.TargetRecord{
		Name:         t.Name,
		Service:      t.Service,
		Phase:        t.Phase,
		Incarnation:  t.Incarnation,
		CapacityHint: t.CapacityHint,
	}
	if err := n.admit.SetTarget(now, record, n.serviceConfig(t.Service)); err != nil {
		n.logger.Error("TargetRefused", zap.String("Target", t.Name), zap.Error(err))
	}
}

// serviceConfig returns the configuration of a service. For a service that is not
// configured, it returns a default that allows one concurrent request at a cold
// target.
func (n *node) serviceConfig(name string) gage.Service {
	if view := n.views.Get(); view != nil {
		for _, service := range view.Config.Services {
			if service.Name == name {
				return service
			}
		}
	}
	return gage.Service{Name: name, ColdConcurrency: 1}
}

// coldStart returns the time for which a new target of a service is cold.
func (n *node) coldStart(service string) time.Duration {
	return n.serviceConfig(service).ColdStart
}
