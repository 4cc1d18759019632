package control

import (
	"context"
	"slices"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/standin/processes"
)

// sumUp computes the figures when all requests have ended.
func (m *measurement) sumUp(ctx context.Context) error {
	requests := m.load.Requests()
	for _, p := range m.parts {
		m.result.Phases = append(m.result.Phases, p.sumUp(requests))
	}
	logs, err := m.Logs(ctx)
	if err != nil {
		return err
	}
	m.result.Violations = processes.Violations(logs, requests)
	m.result.LastWork = m.lastWork(logs)
	m.result.Recovered = m.recovered(requests)
	return nil
}

// sumUp sums up the requests sent in the phase.
func (p part) sumUp(requests []*processes.Request) Phase {
	out := Phase{Name: p.name, Length: p.to.Sub(p.from)}
	var took []time.Duration
	asked, answered := 0, 0
	for _, r := range requests {
		if r.Sent.Before(p.from) || !r.Sent.Before(p.to) {
			continue
		}
		out.Requests++
		switch refused := r.Refused(); {
		case r.Answer != nil:
			asked += r.Answer.Shards.Asked
			answered += r.Answer.Shards.Answered
			took = append(took, r.Ended.Sub(r.Sent))
			if !r.Answer.Complete {
				out.Partial++
			}
		case refused == model.NotRun:
			out.NotRun++
		case refused == model.MayHaveRun:
			out.MayHaveRun++
		default:
			out.Failed++
		}
	}
	if asked > 0 {
		out.Coverage = float64(answered) / float64(asked)
	}
	slices.Sort(took)
	out.P50, out.P99, out.Max = Quantile(took, 0.5), Quantile(took, 0.99), Quantile(took, 1)
	return out
}

// Quantile returns the smallest of the sorted values that at least the fraction
// q of them does not exceed; 0 without values.
func Quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	rank := int(q*float64(len(sorted)) + 0.999999)
	return sorted[min(max(rank, 1), len(sorted))-1]
}

// lastWork returns when, after the take-out, a server of the domain got its
// last request before the domain was brought back.
func (m *measurement) lastWork(logs []processes.ServerLog) time.Duration {
	var last time.Duration
	for _, l := range logs {
		if l.Domain != outDomain {
			continue
		}
		for _, r := range l.Runs {
			if r.Start.After(m.out) && r.Start.Before(m.back) {
				last = max(last, r.Start.Sub(m.out))
			}
		}
	}
	return last
}

// recovered returns when, after the kill, the last request without a complete
// answer was sent.
func (m *measurement) recovered(requests []*processes.Request) time.Duration {
	var last time.Duration
	for _, r := range requests {
		if r.Sent.After(m.killed) && r.Sent.Before(m.over) && !r.Complete() {
			last = max(last, r.Sent.Sub(m.killed))
		}
	}
	return last
}
