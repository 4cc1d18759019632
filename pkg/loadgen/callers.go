package loadgen

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/api"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Share is the share of the requests that have a class.
type Share struct {
	Class string
	// Weight is relative to the weights of the other shares.
	Weight float64
}

// Callers is a Target that sends queries through the caller API. Request i
// depends only on Seed, the other fields and i, not on timing.
type Callers struct {
	Session  *api.Session
	Services []model.ServiceName
	Caller   model.CallerName
	Queries  []string
	Classes  []Share
	// Orders is the fraction of requests that are not idempotent.
	Orders float64
	// Deadline is that of each request.
	Deadline time.Duration
	TopK     int
	Seed     uint64
	// Check, if set, describes how an answer differs from the expected one; it
	// returns "" if it does not.
	Check func(model.ServiceName, api.QueryRequest, *api.Answer) string
	// Sent, if set, is called with the id and outcome of each request when it
	// has ended.
	Sent func(id model.RequestID, idempotent bool, o Outcome)
}

// Validate returns an error that wraps ErrOptions if the target is incomplete.
func (c *Callers) Validate() error {
	total := 0.0
	for _, s := range c.Classes {
		if s.Weight < 0 {
			return fmt.Errorf("%w: weight %g of class %s is negative", ErrOptions, s.Weight, s.Class)
		}
		total += s.Weight
	}
	switch {
	case len(c.Services) == 0 || len(c.Queries) == 0:
		return fmt.Errorf("%w: no service or no query given", ErrOptions)
	case total <= 0:
		return fmt.Errorf("%w: the weights of the classes add up to %g", ErrOptions, total)
	case c.Orders < 0 || c.Orders > 1:
		return fmt.Errorf("%w: order fraction %g is not in 0..1", ErrOptions, c.Orders)
	}
	for _, share := range c.Classes {
		q := api.QueryRequest{Caller: c.Caller, RequestID: "1", Class: share.Class,
			DeadlineMS: c.Deadline.Milliseconds(), TopK: c.TopK}
		if err := q.Validate(); err != nil {
			return fmt.Errorf("%w: %w", ErrOptions, err)
		}
	}
	return nil
}

// Do implements Target.
func (c *Callers) Do(ctx context.Context, i int) Result {
	service, q := c.request(i)
	answer, id, err := c.Session.Query(ctx, service, q)
	res := c.result(service, q, answer, err)
	if c.Sent != nil {
		c.Sent(id, q.Idempotent, res.Outcome)
	}
	return res
}

// request generates the i-th request.
func (c *Callers) request(i int) (model.ServiceName, api.QueryRequest) {
	random := rand.New(rand.NewPCG(c.Seed, uint64(i)))
	service := c.Services[random.IntN(len(c.Services))]
	return service, api.QueryRequest{
		Caller:     c.Caller,
		Class:      c.classAt(random.Float64()),
		Idempotent: random.Float64() >= c.Orders,
		DeadlineMS: c.Deadline.Milliseconds(),
		Query:      c.Queries[random.IntN(len(c.Queries))],
		TopK:       c.TopK,
	}
}

// classAt maps a number from 0 to 1 to a class, in proportion to the weights.
func (c *Callers) classAt(at float64) string {
	total := 0.0
	for _, s := range c.Classes {
		total += s.Weight
	}
	at *= total
	for _, s := range c.Classes {
		if at < s.Weight {
			return s.Class
		}
		at -= s.Weight
	}
	return c.Classes[len(c.Classes)-1].Class
}

func (c *Callers) result(service model.ServiceName, q api.QueryRequest, a *api.Answer, err error) Result {
	if err != nil {
		return failedResult(err)
	}
	res := Result{Outcome: Complete, Asked: a.Shards.Asked, Answered: a.Shards.Answered, Attempts: a.Attempts}
	if !a.Complete {
		res.Outcome = Partial
	}
	if a.Complete != (a.Shards.Answered == a.Shards.Asked) || a.Shards.Asked-a.Shards.Answered != len(a.Shards.Missing) {
		res.Wrong = fmt.Sprintf("request %s: inconsistent coverage: %+v, complete %t", a.RequestID, a.Shards, a.Complete)
	} else if c.Check != nil {
		res.Wrong = c.Check(service, q, a)
	}
	return res
}

// failedResult returns the result for an error of a session.
func failedResult(err error) Result {
	var refused *api.RefusalError
	switch {
	case errors.As(err, &refused):
		return Result{Outcome: refusalOutcome(refused.Refusal.Kind), Reason: refused.Refusal.Reason}
	case errors.Is(err, api.ErrNoAddress), errors.Is(err, api.ErrUnreachable):
		return Result{Outcome: NotRun, Reason: "no daemon reached"}
	case errors.Is(err, api.ErrTruncated), errors.Is(err, api.ErrMismatch):
		return Result{Outcome: MayHaveRun, Reason: "unusable answer", Wrong: err.Error()}
	}
	return Result{Outcome: MayHaveRun, Reason: "no response"}
}

func refusalOutcome(k model.RefusalKind) Outcome {
	switch k {
	case model.NotRun:
		return NotRun
	case model.Invalid:
		return Invalid
	}
	return MayHaveRun
}
