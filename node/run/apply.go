package run

import (
	"context"

	"go.uber.org/zap"

	"github.com/greengagewind/greengagewind/gage/coordination/apply"
	"github.com/greengagewind/greengagewind/gage/protocol/conf"
	"github.com/greengagewind/greengagewind/gage/protocol/oper"
)

// Apply writes a configuration file to the store and offers it to the other nodes
// immediately, since the store may go down before they next read it.
func (n *node) Apply(ctx context.Context, request oper.ApplyRequest) apply.Result {
	if _, problems := conf.Parse("file", request.File); len(problems) > 0 {
		return apply.Result{Outcome: apply.Invalid, Detail: problems[0].String()}
	}
	result := apply.Run(ctx, n.store, request.File, request.Base, request.ID)
	if result.Outcome == apply.Applied {
		n.spread.Offer(result.Document)
	}
	n.logger.Info("ConfigurationApplied", zap.String("Id", request.ID), zap.String("Outcome", string(result.Outcome)),
		zap.Int64("Base", request.Base), zap.Int64("Generation", result.Generation))
	return result
}
