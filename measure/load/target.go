package load

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"

	"github.com/pistachiousher/pistachiousher/pkg/api"
	"github.com/pistachiousher/pistachiousher/pkg/loadgen"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	queryText = "leather spine"
	topK      = 10
)

// target queries one service, at the daemons in turn.
type target struct {
	client  *api.Client
	setup   *Setup
	service model.ServiceName
	callers []string
	// next numbers the requests over all loads of the target.
	next *atomic.Uint64
}

// newHTTP returns a client that keeps enough connections for a load.
func newHTTP() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxInFlight}}
}

// Do implements loadgen.Target.
func (t *target) Do(ctx context.Context, _ int) loadgen.Result {
	n := int(t.next.Add(1))
	address := t.callers[n%len(t.callers)]
	who := t.setup.Callers[n/len(t.callers)%len(t.setup.Callers)]
	answer, _, err := t.client.Query(ctx, address, t.service, api.QueryRequest{
		Caller:     model.CallerName(who.Name),
		RequestID:  model.RequestID(fmt.Sprintf("%s.%d", t.service, n)),
		Idempotent: true,
		DeadlineMS: t.setup.Deadline.Milliseconds(),
		Query:      queryText,
		TopK:       topK,
	})
	if err != nil {
		return loadgen.Result{Outcome: failure(err)}
	}
	r := loadgen.Result{
		Outcome:  loadgen.Partial,
		Asked:    answer.Shards.Asked,
		Answered: answer.Shards.Answered,
		Attempts: answer.Attempts,
		Wrong:    wrong(answer),
	}
	if answer.Complete {
		r.Outcome = loadgen.Complete
	}
	return r
}

// wrong checks an answer's coverage against itself.
func wrong(a *api.Answer) string {
	switch {
	case a.Shards.Asked != a.Shards.Answered+len(a.Shards.Missing):
		return fmt.Sprintf("%s: %d asked, %d answered, %d missing", a.RequestID, a.Shards.Asked, a.Shards.Answered, len(a.Shards.Missing))
	case a.Complete != (len(a.Shards.Missing) == 0):
		return fmt.Sprintf("%s: complete %t with %d missing", a.RequestID, a.Complete, len(a.Shards.Missing))
	case a.Complete && len(a.Items) != topK:
		return fmt.Sprintf("%s: complete with %d items", a.RequestID, len(a.Items))
	}
	return ""
}

func failure(err error) loadgen.Outcome {
	var refused *api.RefusalError
	if !errors.As(err, &refused) {
		return loadgen.Failed
	}
	switch refused.Refusal.Kind {
	case model.NotRun:
		return loadgen.NotRun
	case model.MayHaveRun:
		return loadgen.MayHaveRun
	}
	return loadgen.Invalid
}
