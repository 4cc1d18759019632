package edged

import (
	"slices"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/edge"
)

// rolloutLimits returns the limits of roll-outs; nil if roll-outs are not followed.
func (s *Settings) rolloutLimits() *gateway.RolloutLimits {
	if s.Rollout == nil {
		return nil
	}
	return &gateway.RolloutLimits{Share: s.Rollout.Share, Slack: s.Rollout.Slack, OrderWithin: s.Rollout.OrderWithin}
}

// followedKinds returns the kinds of objects that the daemon follows in the store.
func (s *Settings) followedKinds() []edge.Kind {
	if s.Rollout == nil {
		return edge.Kinds
	}
	return slices.Concat(edge.Kinds, []edge.Kind{edge.KindRollouts})
}
