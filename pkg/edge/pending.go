package edge

import (
	"net/http"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/leafconn"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// keptAnswer is a leaf's answer that is kept until the reducer decides how the query is
// answered.
type keptAnswer struct {
	*leafconn.Answer
	stamp string
}

// reply is the final answer to a request; one field is set.
type reply struct {
	forward *keptAnswer
	merge   *mergedAnswer
	refuse  *gateway.Refuse
}

// mergedAnswer is an answer made of the answers of several shards.
type mergedAnswer struct {
	stamps  []string
	missing int
	body    []byte
}

// pendingRequest is a caller's request that waits for its final answer.
type pendingRequest struct {
	// readAt is when the header had been read; maxUnread is the longest time for which
	// the request may have waited unread before.
	readAt    model.Time
	maxUnread time.Duration
	requestID string
	request   *http.Request
	// leafRequests is what leafs get, shared by all attempts.
	leafRequests *leafRequests
	answers      map[gateway.CallID]*keptAnswer
	replyCh      chan reply
	// finished means that no answers of leafs are needed any more: the final answer was
	// written or the caller is gone.
	finished bool
}

// mergeAnswers merges the answers that the reducer chose.
func (p *pendingRequest) mergeAnswers(e gateway.MergeAnswer) reply {
	m := &mergedAnswer{missing: e.Missing}
	bodies := make([][]byte, 0, len(e.Calls))
	for _, id := range e.Calls {
		a := p.answers[id]
		m.stamps = append(m.stamps, a.stamp)
		bodies = append(bodies, a.Body)
	}
	m.body = topRecords(bodies, e.TopK)
	return reply{merge: m}
}

// sendReply passes the final answer of a query to ServeHTTP, unless it has one or its
// caller is gone. The caller holds the lock.
func (r *Runtime) sendReply(id gateway.QueryID, build func(*pendingRequest) reply) {
	p, ok := r.pending[id]
	if !ok {
		return
	}
	delete(r.pending, id)
	p.replyCh <- build(p)
}
