package backend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Reply is how a search ended.
type Reply struct {
	Result model.SubResult
	// Cold and Load are the server's own words, given with OutcomeOK.
	Cold bool
	Load int
	// Draining is set when the server refused the search because it drains.
	Draining bool
	// Err explains an outcome other than OutcomeOK.
	Err error
	// Ended is not nil if the search was given up after it was sent. It gets one
	// value: true when the server has ended the connection, and so does not work on
	// the search any more, false if it has not within some seconds.
	Ended <-chan bool
}

// ErrMismatch means that a response belongs to another request.
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

// Search runs a sub-request of the entry daemon from at its server, which gets the time left until the
// deadline. It sends at most once and returns when the outcome is known, the
// deadline has passed or ctx is canceled.
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
	// Set here and not by NewRequest, which would add GetBody.
	req.Body = body
	req.ContentLength = body.size()
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.pool(sub.Server, address).http.Do(req)
	if err != nil {
		return trace.giveUp(ctx, err)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxReply))
	if err != nil {
		return trace.giveUp(ctx, err)
	}
	trace.answered()
	return readReply(id, sub, resp, answer)
}

// giveUp ends a request without a complete response.
func (t *sendTrace) giveUp(ctx context.Context, err error) Reply {
	sent, ended := t.abandon()
	reply := sendFailure(ctx, sent, err)
	reply.Ended = ended
	return reply
}

func failure(outcome model.Outcome, err error) Reply {
	return Reply{Result: model.SubResult{Outcome: outcome}, Err: err}
}

// sendFailure classifies a request without a response. Without a byte sent it
// cannot have run.
func sendFailure(ctx context.Context, sent bool, err error) Reply {
	expired := errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(err, errExpired)
	switch {
	case !sent && ctx.Err() == nil && !expired:
		return failure(model.OutcomeUnreachable, err)
	case !sent:
		return failure(model.OutcomeExpired, err)
	}
	return failure(interrupted(ctx, err), err)
}

// interrupted is the outcome of a request that was sent and has no complete
// response.
func interrupted(ctx context.Context, err error) model.Outcome {
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

// readReply translates a response. A foreign body may belong to a request that
// ran.
func readReply(id string, sub *model.SubRequest, resp *http.Response, body []byte) Reply {
	switch resp.StatusCode {
	case http.StatusOK:
		return readResult(id, sub, body)
	case http.StatusConflict:
		return readVersionGone(body)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return readShed(resp)
	case http.StatusGatewayTimeout:
		// The server stopped at the deadline that it was given, which is not a
		// fault of its own; it may have run.
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

// readVersionGone reads a 409, by which the server says that it ran nothing.
func readVersionGone(body []byte) Reply {
	var in versionGoneBody
	if err := json.Unmarshal(body, &in); err != nil {
		return failure(model.OutcomeFailed, fmt.Errorf("backend: decode version_gone: %w", err))
	}
	result := model.SubResult{Outcome: model.OutcomeVersionGone, Versions: in.Versions}
	return Reply{Result: result, Err: errors.New("backend: index version is gone")}
}

// readShed reads a 429 or 503, by which the server says that it ran nothing.
// Both give OutcomeShed: OutcomeDrained would claim that no byte was sent.
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
