package edge

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/answers"
	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/leafconn"
)

// sendCall starts an attempt at a leaf. The caller holds the lock.
func (r *Runtime) sendCall(e gateway.SendCall) {
	p, ok := r.pending[e.Query]
	if !ok {
		return
	}
	values := make(http.Header, maxLeafFields)
	var request *leafRequest
	x := &leafconn.Exchange{
		Server: e.Server, Address: e.Address, Request: p.request, LeafDeadline: r.start.Add(time.Duration(e.Deadline)), MaxIdle: e.MaxIdle, NeedsNewConnection: e.NewConnection,
		BeforeSend: func() bool {
			form, ok := r.beginCall(e, values)
			if ok {
				request = p.leafRequests.form(form)
			}
			return ok
		},
		WriteRequest: func(b *bytes.Buffer) error { return request.write(b, values) },
		Match:        func(resp *http.Response) leafconn.Match { return r.protocol.Match(resp.Header, p.requestID) },
	}
	if e.TopK > 0 {
		x.ReduceBody = func(body io.Reader) ([]byte, error) { return readTopRecords(body, e.TopK) }
	}
	r.calls[e.Call] = x
	go r.runCall(e, p, x)
}

// runCall runs an attempt, keeps the leaf's answer and posts CallDone.
func (r *Runtime) runCall(e gateway.SendCall, p *pendingRequest, x *leafconn.Exchange) {
	start := time.Now()
	done := gateway.CallDone{Call: e.Call, Outcome: gateway.OutcomeLost}
	var kept *keptAnswer
	err := catchPanic(func() error {
		answer, err := r.pool.Do(x)
		if err != nil {
			done.Outcome = outcomeOf(err)
			if errors.Is(err, answers.ErrInvalid) {
				r.onInvalid(e.Service, e.Server, err)
			}
			return nil
		}
		a := r.protocol.FromLeaf(answer.Status, answer.Header)
		done.Outcome, done.WarmUpLeft = a.Outcome, a.WarmUpLeft
		done.Load, done.HasLoad = a.Load, a.HasLoad
		kept = &keptAnswer{Answer: answer, stamp: a.Stamp}
		return nil
	})
	if err != nil {
		// If Do panicked, the exchange still has its connection, on which the request
		// may have been sent: it is closed.
		x.Cancel()
		r.onPanic("answer of "+e.Server, err)
	}
	r.observer.Call(e.Service, done.Outcome, time.Since(start))
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, e.Call)
	if kept != nil {
		p.answers[e.Call] = kept
	}
	r.postLocked(done)
	if kept != nil && p.finished {
		r.releaseAnswersLocked(p)
	}
}

// releaseAnswersLocked returns the memory of a request's kept answers to the budget;
// answers that arrive later are released at once. The caller holds the lock.
func (r *Runtime) releaseAnswersLocked(p *pendingRequest) {
	p.finished = true
	for id, a := range p.answers {
		r.pool.Release(a.Answer)
		delete(p.answers, id)
	}
}

// beginCall tells the reducer that a request is about to be sent. It sets in h the fields of
// this attempt, with the time that is left now, and returns the form in which the request is
// sent: waiting for a turn and for a connection counts against the
// caller's time. It reports false if nothing may be sent: the reducer may have reported
// the request as not run, which must stay true.
func (r *Runtime) beginCall(e gateway.SendCall, h http.Header) (form requestForm, ok bool) {
	r.mu.Lock()
	left, identity := r.core.BeginCall(r.now(), e.Call), r.core.CallIdentity(e.Call)
	r.mu.Unlock()
	if left <= 0 {
		return formPlain, false
	}
	if identity.Checked {
		r.protocol.SetTenant(h, identity.Name())
	}
	r.protocol.ToLeaf(h, left, e.Server)
	return formOf(identity), true
}

// maxLeafFields is the number of fields that are set for each attempt.
const maxLeafFields = 3

// outcomeOf maps an error of the pool to the outcome of the attempt.
func outcomeOf(err error) gateway.Outcome {
	switch {
	case errors.Is(err, leafconn.ErrConnect):
		return gateway.OutcomeNotSent
	case errors.Is(err, leafconn.ErrCancelled):
		return gateway.OutcomeCancelled
	case errors.Is(err, leafconn.ErrTooLarge), errors.Is(err, leafconn.ErrBudgetExhausted):
		return gateway.OutcomeTooLarge
	}
	return gateway.OutcomeLost
}
