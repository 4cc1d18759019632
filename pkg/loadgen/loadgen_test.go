package loadgen

import (
	"context"
	"errors"
	"math"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// target completes each request after a fixed time.
type target struct{ takes time.Duration }

func (t target) Do(ctx context.Context, i int) Result {
	select {
	case <-time.After(t.takes):
	case <-ctx.Done():
		return Result{Outcome: MayHaveRun, Reason: "late"}
	}
	return Result{Outcome: Complete, Asked: 2, Answered: 2, Attempts: 3}
}

// Guards against a load that slows down with its target, which would hide
// queueing, and against inconsistent figures in the summary.
func TestLoadIsOpenAndBounded(t *testing.T) {
	opts := Options{Rate: 200, Duration: 500 * time.Millisecond, Timeout: time.Second, MaxInFlight: 10}
	r, err := Run(t.Context(), target{takes: 200 * time.Millisecond}, opts)
	if err != nil {
		t.Fatal(err)
	}
	s := r.Summary()
	if s.Requests != 100 || s.Outcomes["complete"]+s.Outcomes["failed"] != 100 || s.Reasons[reasonInFlight] == 0 {
		t.Errorf("%+v", s)
	}
	if s.Latency.P50 < 200 || s.ExtraLoad != 0.5 || s.Coverage != 1 {
		t.Errorf("%+v", s)
	}
	opts.Rate = math.Inf(1)
	if _, err := Run(t.Context(), target{}, opts); !errors.Is(err, ErrOptions) {
		t.Errorf("got %v for an infinite rate", err)
	}
}

// Guards against shares of classes and of non-idempotent requests that differ
// from the configured ones.
func TestCallersDrawTheMix(t *testing.T) {
	c := Callers{
		Services: []model.ServiceName{"a", "b"}, Caller: "c", Queries: []string{"x", "y", "z"}, Orders: 0.1,
		Classes: []Share{{"urgent", 1}, {"bulk", 3}}, Deadline: time.Second, TopK: 1,
	}
	if err := c.Validate(); err != nil {
		t.Fatal(err)
	}
	const n = 10_000
	orders, urgent := 0, 0
	for i := range n {
		_, q := c.request(i)
		if !q.Idempotent {
			orders++
		}
		if q.Class == "urgent" {
			urgent++
		}
	}
	if math.Abs(float64(orders)/n-0.1) > 0.02 || math.Abs(float64(urgent)/n-0.25) > 0.02 {
		t.Errorf("%d orders and %d urgent of %d", orders, urgent, n)
	}
}
