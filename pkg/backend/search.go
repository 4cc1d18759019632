package backend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Reply is how a search ended.
type Reply struct {
	Result model.SubResult
	// Cold and Load are as reported by the server; set with OutcomeOK.
	Cold bool
	Load int
	// Draining is set when the server refused the search because it is draining.
	Draining bool
	// Err explains an outcome other than OutcomeOK.
	Err error
	// Ended is not nil if the search was given up after it was sent. It receives
	// one value: true when the server has closed the connection and so no longer
	// works on the search, false if it has not done so within lingerLimit.
	Ended <-chan bool
}

// ErrMismatch means that a response belongs to a different request.
var ErrMismatch = errors.New("backend: response does not match the request")

type itemBody struct {
	ID    string          `json:"id"`
	Score float64         `json:"score"`
	Doc   json.RawMessage `json:"doc"`
}

type resultBody struct {
	AttemptID    string           `json:"attempt_id"`
	Layout       model.LayoutName `json:"layout"`
	Shard        model.ShardName  `json:"shard"`
	IndexVersion uint64           `json:"index_version"`
	Cold         bool             `json:"cold"`
	Load         int              `json:"load"`
	Count        int              `json:"count"`
	Items        []itemBody       `json:"items"`
}

type versionGoneBody struct {
	Versions []uint64 `json:"versions"`
}

// Search runs a sub-request at its server on behalf of the entry daemon from. It
// sends the request at most once, with the time left until the deadline, and
// returns when the outcome is known, the deadline has passed or ctx is canceled.
func (c *Client) Search(ctx context.Context, address string, from model.MemberRef, sub *model.SubRequest, deadline time.Time) Reply {
	start := time.Now()
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	reply := c.search(ctx, address, attemptID(from, sub.Attempt), sub, deadline)
	r := &reply.Result
	r.Attempt = sub.Attempt
	r.Shard = sub.Shard
	r.Server = sub.Server
	r.Snapshot = sub.Snapshot
	r.ServiceTime = time.Since(start)
	return reply
}

func (c *Client) search(ctx context.Context, address, id string, sub *model.SubRequest, deadline time.Time) Reply {
	body, err := newBody(id, sub, deadline)
	if err != nil {
		return failure(model.OutcomeUnreachable, err)
	}
	ctx, trace := withTrace(ctx)
	defer trace.release()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/search", nil)
	if err != nil {
		return failure(model.OutcomeUnreachable, err)
	}
	// Set here and not by NewRequest, which could set GetBody as well, so that
	// the transport could repeat the request.
	req.Body = body
	req.ContentLength = body.size()
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.pool(sub.Server, address).http.Do(req)
	if err != nil {
		return trace.abandonWithReply(ctx, err)
	}
	defer resp.Body.Close()
	answer, held, err := c.bodies.ReadWhole(resp)
	if err != nil {
		return trace.abandonWithReply(ctx, err)
	}
	defer c.bodies.Return(held)
	trace.responseComplete()
	return readReply(id, sub, resp, answer)
}

// abandonWithReply abandons a request that has no complete response and returns its
// outcome.
func (t *requestTrace) abandonWithReply(ctx context.Context, err error) Reply {
	sent, ended := t.abandon()
	reply := noResponseFailure(ctx, sent, err)
	reply.Ended = ended
	return reply
}

func failure(outcome model.Outcome, err error) Reply {
	return Reply{Result: model.SubResult{Outcome: outcome}, Err: err}
}

// noResponseFailure classifies the failure of a request that got no complete
// response. If no byte was sent, it cannot have run.
func noResponseFailure(ctx context.Context, sent bool, err error) Reply {
	expired := errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(err, errExpired)
	switch {
	case !sent && ctx.Err() == nil && !expired:
		return failure(model.OutcomeUnreachable, err)
	case !sent:
		return failure(model.OutcomeExpired, err)
	}
	return failure(interruptedOutcome(ctx, err), err)
}

// interruptedOutcome returns the outcome of a request that was sent but got no
// complete response.
func interruptedOutcome(ctx context.Context, err error) model.Outcome {
	switch {
	case errors.Is(context.Cause(ctx), errReplay):
		return model.OutcomeLost
	case errors.Is(ctx.Err(), context.DeadlineExceeded), errors.Is(err, errExpired):
		return model.OutcomeTimeout
	case ctx.Err() != nil:
		return model.OutcomeCanceled
	}
	return model.OutcomeLost
}

// readReply converts a response. One that cannot be used gives OutcomeFailed,
// which does not rule out that the request ran.
func readReply(id string, sub *model.SubRequest, resp *http.Response, body []byte) Reply {
	switch resp.StatusCode {
	case http.StatusOK:
		return readResult(id, sub, body)
	case http.StatusConflict:
		return readVersionGone(body)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return readShed(resp)
	case http.StatusGatewayTimeout:
		// The server stopped at the deadline it was given, which is not a fault of
		// the server. The request may have run.
		return failure(model.OutcomeTimeout, fmt.Errorf("backend: status %d", resp.StatusCode))
	}
	return failure(model.OutcomeFailed, fmt.Errorf("backend: status %d", resp.StatusCode))
}

func readResult(id string, sub *model.SubRequest, body []byte) Reply {
	var in resultBody
	if err := json.Unmarshal(body, &in); err != nil {
		return failure(model.OutcomeFailed, fmt.Errorf("backend: decode response: %w", err))
	}
	snapshot := model.Snapshot{Layout: in.Layout, IndexVersion: in.IndexVersion}
	if in.AttemptID != id || in.Shard != sub.Shard || snapshot != sub.Snapshot {
		return failure(model.OutcomeFailed, fmt.Errorf("%w: attempt %s shard %s snapshot %v", ErrMismatch, in.AttemptID, in.Shard, snapshot))
	}
	items := make([]model.Item, len(in.Items))
	for i, item := range in.Items {
		items[i] = model.Item{ID: item.ID, Score: item.Score, Doc: item.Doc}
	}
	result := model.SubResult{Outcome: model.OutcomeOK, Items: items, Count: in.Count}
	return Reply{Result: result, Cold: in.Cold, Load: in.Load}
}

// readVersionGone converts a 409 response, by which the server says that it ran
// nothing.
func readVersionGone(body []byte) Reply {
	var in versionGoneBody
	if err := json.Unmarshal(body, &in); err != nil {
		return failure(model.OutcomeFailed, fmt.Errorf("backend: decode version_gone: %w", err))
	}
	result := model.SubResult{Outcome: model.OutcomeVersionGone, Versions: in.Versions}
	return Reply{Result: result, Err: errors.New("backend: index version is gone")}
}

// readShed converts a 429 or 503 response, by which the server says that it ran
// nothing. Both give OutcomeShed: OutcomeDrained would mean that no byte was
// sent.
func readShed(resp *http.Response) Reply {
	result := model.SubResult{Outcome: model.OutcomeShed}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds > 0 {
		result.RetryAfter = time.Duration(seconds) * time.Second
	}
	return Reply{
		Result:   result,
		Draining: resp.StatusCode == http.StatusServiceUnavailable,
		Err:      fmt.Errorf("backend: status %d", resp.StatusCode),
	}
}
