package rollout

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Figures are what a daemon knows about the order in force.
type Figures struct {
	Age               time.Duration
	Reason            string
	Requests, Exposed uint64
	Answers, Bad      uint64
	Former, FormerBad uint64
}

// Figures returns what this daemon knows about the order in force.
func (s *State) Figures(now model.Time) Figures {
	if s.run == nil {
		return Figures{}
	}
	f := Figures{Age: now.Sub(s.run.seenAt), Reason: s.run.reason, Requests: s.run.requests, Exposed: s.run.exposed}
	for _, x := range s.run.ledger.strata {
		f.Former += x.former.all
		f.FormerBad += x.former.bad()
		for _, c := range x.target {
			f.Answers += c.all
			f.Bad += c.bad()
		}
	}
	return f
}
