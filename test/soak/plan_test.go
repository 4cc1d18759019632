package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pistachiousher/pistachiousher/standin/proxy"
)

// step is one fault or planned change of a soak.
type step struct {
	at     time.Duration
	kind   string
	target int
	length time.Duration
}

// kinds of steps. Those of processes and links to the store hit a daemon, those of
// leafs and links to them a leaf.
var kinds = []string{
	"kill", "terminate", "pause", "store-down", "store-compact", "store-copy", "configure", "reshard", "drain-leaf", "evacuate",
	"leaf-loses", "leaf-sheds", "leaf-slow", "leaf-fails", "leaf-extra",
	"link-leaf-delayed", "link-leaf-reset", "link-leaf-deaf", "link-leaf-mute", "link-leaf-silent",
	"link-store-delayed", "link-store-reset", "link-store-mute", "link-store-silent",
	"leaf-torn", "leaf-endless-head", "leaf-endless-body",
	"link-caller-delayed", "link-caller-reset", "link-caller-deaf", "link-caller-mute", "link-caller-silent",
}

// linkFaults are the faults of links; those without an entry are reset.
var linkFaults = map[string]proxy.Faults{
	"delayed": {Delay: 60 * time.Millisecond},
	"deaf":    {DropRequests: true},
	"mute":    {DropAnswers: true},
	"silent":  {DropRequests: true, DropAnswers: true},
}

// newPlan draws the steps of a seed. Steps overlap and repeat.
func newPlan(seed uint64, length time.Duration, daemons, leafs int) []step {
	r := rand.New(rand.NewPCG(seed, seed))
	var plan []step
	for at := time.Second; at < length-settle; at += 100*time.Millisecond + rand2(r, 900*time.Millisecond) {
		s := step{at: at, kind: kinds[r.IntN(len(kinds))], length: 300*time.Millisecond + rand2(r, 2*time.Second)}
		s.target = r.IntN(daemons)
		if strings.Contains(s.kind, "leaf") {
			s.target = r.IntN(leafs)
			if r.IntN(2) == 0 {
				// The last leafs run requests that are not idempotent.
				s.target = leafs - 1 - r.IntN(orderLeafs)
			}
		}
		plan = append(plan, s)
	}
	slices.SortFunc(plan, func(a, b step) int { return int(a.at - b.at) })
	return plan
}

func rand2(r *rand.Rand, most time.Duration) time.Duration {
	return time.Duration(r.Int64N(int64(most)))
}

func (s step) String() string {
	return fmt.Sprintf("%5.1fs %s %d for %v", s.at.Seconds(), s.kind, s.target, s.length.Round(time.Millisecond))
}
