package edge

import (
	"errors"
	"net/http"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/leafconn"
)

// sendCall starts an attempt. The caller holds the lock.
func (r *Runtime) sendCall(e gateway.SendCall) {
	p, ok := r.pending[e.Query]
	if !ok {
		return
	}
	request := p.leafRequest()
	r.protocol.ToLeaf(request.Header, e.Wait, e.Server)
	x := &leafconn.Exchange{
		Server: e.Server, Address: e.Address, Request: request, Wait: e.Wait, MaxIdle: e.MaxIdle,
		Ours: func(resp *http.Response) bool { return r.protocol.Ours(resp.Header, p.id) },
	}
	r.calls[e.Call] = x
	go r.runCall(e.Call, p, x)
}

func (r *Runtime) runCall(id gateway.CallID, p *pending, x *leafconn.Exchange) {
	answer, err := r.pool.Do(x)
	done := gateway.CallDone{Call: id}
	var kept *leafAnswer
	if err != nil {
		done.Outcome = outcome(err)
	} else {
		a := r.protocol.FromLeaf(answer.Status, answer.Header)
		done.Outcome, done.WarmUpLeft = a.Outcome, a.WarmUpLeft
		done.Load, done.HasLoad = a.Load, a.HasLoad
		kept = &leafAnswer{Answer: answer, stamp: a.Stamp}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.calls, id)
	if kept != nil {
		p.answers[id] = kept
	}
	r.post(done)
}

// outcome translates an error of the pool.
func outcome(err error) gateway.Outcome {
	switch {
	case errors.Is(err, leafconn.ErrConnect):
		return gateway.OutcomeNotSent
	case errors.Is(err, leafconn.ErrCancelled):
		return gateway.OutcomeCancelled
	}
	return gateway.OutcomeLost
}
