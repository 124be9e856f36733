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

// configChanged puts a newer configuration in force. A document that does not
// parse was not written by ggw; the one before stays in force.
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

// followMembers rebuilds the routes whenever the membership changes.
func (n *node) followMembers(ctx context.Context) {
	for {
		_, newer := n.gossip.Version()
		if view := n.views.Get(); view != nil {
			n.router.Update(n.clock.Now(), n.gossip.Members(), view.Config)
		}
		select {
		case <-ctx.Done():
			return
		case <-newer:
		}
	}
}

// targetChanged tells admission of a target beside the node.
func (n *node) targetChanged(now time.Time, _ local.Event, t local.Target) {
	n.setTarget(now, t)
}

func (n *node) setTarget(now time.Time, t local.Target) {
	record := gage.TargetRecord{
		Name:         t.Name,
		Service:      t.Service,
		Phase:        t.Phase,
		Incarnation:  t.Incarnation,
		CapacityHint: t.CapacityHint,
	}
	if err := n.admit.SetTarget(now, record, n.service(t.Service)); err != nil {
		n.logger.Error("TargetRefused", zap.String("Target", t.Name), zap.Error(err))
	}
}

// service returns what the configuration says of a service.
func (n *node) service(name string) gage.Service {
	if view := n.views.Get(); view != nil {
		for _, service := range view.Config.Services {
			if service.Name == name {
				return service
			}
		}
	}
	return gage.Service{Name: name, ColdConcurrency: 1}
}

func (n *node) coldStart(service string) time.Duration {
	return n.service(service).ColdStart
}
