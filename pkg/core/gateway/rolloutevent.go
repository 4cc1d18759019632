package gateway

import "github.com/pistachiousher/pistachiousher/pkg/core/gateway/rollout"

// RolloutsListed is the full list of orders of roll-outs. Invalid has the reasons by the
// names of objects that are none.
type RolloutsListed struct {
	Orders  []RolloutOrder
	Invalid map[string]string
}

// VerdictWritten reports the end of a WriteVerdict. Cause is the error of a failed one.
type VerdictWritten struct {
	Write   WriteVerdict
	Outcome rollout.WriteOutcome
	Cause   string
}

// WriteVerdict writes the verdict of an order to the store if the order still has the
// revision. With ReadBack the order is read before, and nothing is written if it has a
// verdict or has changed. VerdictWritten follows.
type WriteVerdict struct {
	Service, Target string
	// Order identifies the order.
	Order uint64
	// Era and Revision say when the order was read.
	Era, Revision uint64
	Verdict       rollout.Verdict
	ReadBack      bool
}

func (RolloutsListed) event() {}
func (VerdictWritten) event() {}

func (WriteVerdict) effect() {}
