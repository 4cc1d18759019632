package query

import (
	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// maxForwards bounds the forwarded requests that wait for a peer's answer.
const maxForwards = 10_000

// forward is a request that was forwarded to the daemon that its id names.
type forward struct {
	token event.Token
	id    model.RequestID
	timer timer
}

// forwardOrRefuse handles a request whose id names another daemon incarnation.
// The request is forwarded if that incarnation is known. Otherwise it is
// refused with may_have_run, because it may have run there.
func (s *State) forwardOrRefuse(c *eventContext, e *event.QueryArrived, named, self model.MemberRef) {
	peer, ok := s.findPeer(named)
	reason := ""
	switch {
	case named.VM == self.VM || !ok:
		reason = "the daemon incarnation of the request id is gone"
	case e.Forwarded:
		reason = "forwarded to a daemon that the request id does not name"
	case len(s.forwards) >= maxForwards:
		reason = "too many forwarded requests"
	}
	if reason != "" {
		s.refuse(c, e.Token, e.Request.ID, model.MayHaveRun, reason, 0)
		return
	}
	f := &forward{token: e.Token, id: e.Request.ID}
	f.timer = timer{index: -1, forward: f}
	s.forwards[e.Token] = f
	s.timers.set(&f.timer, max(e.Request.Deadline, c.Now))
	c.out.Log(logevent.QueryForwarded, logevent.Str("request", f.id), logevent.Str("peer", peer.VM))
	c.out.Add(effect.ForwardQuery{Token: e.Token, Peer: peer.VM, Address: peer.PeerAddress, Request: e.Request})
}

func (s *State) findPeer(ref model.MemberRef) (model.MemberReport, bool) {
	for _, p := range s.view.Peers() {
		if p.MemberRef == ref {
			return p, true
		}
	}
	return model.MemberReport{}, false
}

// ForwardAnswered passes a peer's answer on to the caller. After an error, the
// request may have run even if it was not delivered to the peer now, because
// the caller may have sent it to the peer before.
func (s *State) ForwardAnswered(m event.Meta, e event.ForwardAnswered, out *effect.List) {
	c := s.beginEvent(m, out)
	f := s.forwards[e.Token]
	if f == nil {
		return
	}
	s.removeForward(f)
	if e.Answer == nil && e.Refusal == nil {
		s.refuse(c, f.token, f.id, model.MayHaveRun, "forwarding failed: "+e.Err, 0)
		return
	}
	out.Add(effect.ReplyQuery{Token: f.token, Answer: e.Answer, Refusal: e.Refusal})
}

func (s *State) forwardExpired(c *eventContext, f *forward) {
	s.removeForward(f)
	s.refuse(c, f.token, f.id, model.MayHaveRun, "no answer to the forwarded request by its deadline", 0)
}

func (s *State) removeForward(f *forward) {
	s.timers.remove(&f.timer)
	delete(s.forwards, f.token)
}
