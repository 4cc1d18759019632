package core_test

import (
	"fmt"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// carryOut does what the runtime does with an effect, against the fakes.
func (n *node) carryOut(e effect.Effect) {
	w := n.w
	switch e := e.(type) {
	case effect.Log:
	case effect.ReplyQuery:
		n.reply(e.Token, e)
	case effect.ReplyLookup:
		n.reply(e.Token, e)
	case effect.ReplyHeartbeat:
		n.reply(e.Token, e)
	case effect.ReplyExchange:
		n.reply(e.Token, e)
	case effect.ReplyHandover:
		n.reply(e.Token, e)
	case effect.ReplyDocument:
		n.reply(e.Token, e)
	case effect.OpenExecute:
		n.openExecute(e)
	case effect.CloseExecute:
		n.closeExecute(e)
	case effect.SendCancel:
		ref := n.state.Status(n.clock()).Self
		n.send(e.Peer, func(p *node) { p.post(event.CancelArrived{From: ref, Attempts: e.Attempts}) }, nil)
	case effect.SendSubResult:
		n.sendSubResult(e)
	case effect.ForwardQuery:
		n.forward(e)
	case effect.CallBackend:
		w.backends[e.Sub.Server].call(n, e)
	case effect.CancelBackend:
		for _, b := range w.sortedBackends() {
			b.cancel(n, e.From, e.Attempt)
		}
	case effect.PollBackend:
		w.backends[e.Server].poll(n)
	case effect.WarmConnections:
	case effect.Exit:
		w.oracle.exited(n)
		n.exited, n.dead = true, true
		w.platform.unlistVM(n.vm)
	default:
		n.carryOutControl(e)
	}
}

func (n *node) carryOutControl(e effect.Effect) {
	switch e := e.(type) {
	case effect.SendHeartbeat:
		n.heartbeat(e)
	case effect.SendExchange:
		n.exchange(e)
	case effect.SendHandover:
		n.handover(e)
	case effect.FetchDocument:
		n.fetch(e)
	case effect.ReadDocument:
		n.w.platform.read(n, e.Kind)
	case effect.WatchDocument:
		n.watches[e.Kind] = !e.Stop
		if !e.Stop {
			n.w.platform.read(n, e.Kind)
		}
	case effect.ReadVMList:
		n.w.platform.readVMs(n)
	case effect.WriteEpoch:
		n.w.platform.writeEpoch(n, e)
	case effect.ConfirmDocument:
		n.w.platform.confirm(n, e)
	default:
		panic(fmt.Sprintf("effect %T is not carried out", e))
	}
}

// send delivers a message to the daemon on a VM, or calls fail when it is
// lost. refused is true when the peer has no process.
func (n *node) send(to model.VM, deliver func(p *node), fail func(refused bool)) {
	w := n.w
	if w.lost(n.vm, to) {
		if fail != nil {
			w.at(400*time.Millisecond, func() { fail(false) })
		}
		return
	}
	w.at(w.delay(), func() {
		p := w.byVM[to]
		if p == nil || p.dead {
			if fail != nil {
				fail(true)
			}
			return
		}
		deliver(p)
	})
}

// back delivers an answer from p to n.
func (n *node) back(p *node, deliver func(), fail func()) {
	if n.w.lost(p.vm, n.vm) {
		if fail != nil {
			n.w.at(400*time.Millisecond, fail)
		}
		return
	}
	n.w.at(n.w.delay(), deliver)
}

// call sends a request and posts either the answer or the failure, once.
func (n *node) call(to model.VM, request func(t event.Token) event.Body, answer func(reply any) event.Body, failure event.Body) {
	done := false
	finish := func(b event.Body) {
		if !done && b != nil {
			done = true
			n.post(b)
		}
	}
	fail := func() { finish(failure) }
	n.send(to, func(p *node) {
		t := p.expect(func(r any) { n.back(p, func() { finish(answer(r)) }, fail) })
		p.post(request(t))
	}, func(bool) { fail() })
}

func (n *node) heartbeat(e effect.SendHeartbeat) {
	sent := n.clock()
	n.call(e.Peer, func(t event.Token) event.Body {
		return event.HeartbeatArrived{Token: t, Header: e.Header, Member: e.Member, Resign: e.Resign}
	}, func(r any) event.Body {
		a := r.(effect.ReplyHeartbeat)
		return event.HeartbeatAnswered{SentAt: sent, ForEpoch: e.ForEpoch, Header: a.Header, Result: a.Result,
			Fenced: a.Fenced, Closed: a.Closed, Uptime: a.Uptime}
	}, event.HeartbeatFailed{To: e.Peer, Err: "lost"})
}

func (n *node) exchange(e effect.SendExchange) {
	n.call(e.Peer, func(t event.Token) event.Body {
		return event.ExchangeArrived{Token: t, Header: e.Header, Servers: e.Servers, Members: e.Members, Full: e.Full}
	}, func(r any) event.Body {
		a := r.(effect.ReplyExchange)
		return event.ExchangeAnswered{Header: a.Header, Servers: a.Servers, Members: a.Members}
	}, nil)
}

func (n *node) handover(e effect.SendHandover) {
	n.call(e.Peer, func(t event.Token) event.Body {
		return event.HandoverArrived{Token: t, Header: e.Header, Servers: e.Servers}
	}, func(r any) event.Body {
		return event.HandoverAnswered{To: e.Peer, Servers: e.Servers, Accepted: r.(effect.ReplyHandover).Accepted}
	}, event.HandoverAnswered{To: e.Peer, Servers: e.Servers, Err: "lost"})
}

func (n *node) fetch(e effect.FetchDocument) {
	vm := model.VM(e.Address[:len(e.Address)-len(":peer")])
	failure := event.DocumentFailed{Kind: e.Kind, Address: e.Address, Err: "lost"}
	n.call(vm, func(t event.Token) event.Body {
		return event.DocumentRequested{Token: t, Header: n.state.Header(), Kind: e.Kind}
	}, func(r any) event.Body {
		a := r.(effect.ReplyDocument)
		if n.rejects && e.Kind == event.DocumentBundle {
			return event.DocumentFailed{Kind: e.Kind, Address: e.Address, Err: "rejected"}
		}
		if a.Version == 0 {
			return event.DocumentFailed{Kind: e.Kind, Address: e.Address, NotFound: true, Err: "none"}
		}
		return event.DocumentArrived{Address: e.Address, Document: n.w.platform.decode(e.Kind, a.Raw)}
	}, failure)
}

// openExecute opens a stream: deadlines travel as time left.
func (n *node) openExecute(e effect.OpenExecute) {
	ref := n.state.Status(n.clock()).Self
	left := make([]model.Time, len(e.Subs))
	for i, s := range e.Subs {
		left[i] = s.Deadline - n.clock()
	}
	header := n.state.Header()
	n.send(e.Peer, func(p *node) {
		n.streams[e.Stream] = p
		p.inbound[event.Stream{From: ref, ID: e.Stream}] = n
		subs := append([]model.SubRequest(nil), e.Subs...)
		for i := range subs {
			subs[i].Deadline = p.clock() + left[i]
		}
		p.post(event.ExecuteArrived{Stream: event.Stream{From: ref, ID: e.Stream}, Header: header, Subs: subs})
		n.watchStream(e.Stream, p)
	}, func(refused bool) {
		n.post(event.ExecuteEnded{Stream: e.Stream, Peer: e.Peer, NotSent: refused, Err: "lost"})
	})
}

// watchStream ends the stream when the peer is gone or cut off.
func (n *node) watchStream(id event.StreamID, p *node) {
	n.w.at(200*time.Millisecond, func() {
		if n.streams[id] != p {
			return
		}
		if p.dead || n.w.cuts[[2]model.VM{p.vm, n.vm}] {
			delete(n.streams, id)
			n.post(event.ExecuteEnded{Stream: id, Peer: p.vm, Err: "connection lost"})
			return
		}
		n.watchStream(id, p)
	})
}

func (n *node) closeExecute(e effect.CloseExecute) {
	p := n.streams[e.Stream]
	delete(n.streams, e.Stream)
	ref := n.state.Status(n.clock()).Self
	if p != nil {
		n.w.at(n.w.delay(), func() { p.post(event.ExecuteGone{Stream: event.Stream{From: ref, ID: e.Stream}}) })
	}
}

// sendSubResult sends a result to the entry daemon, sometimes twice or late.
func (n *node) sendSubResult(e effect.SendSubResult) {
	// A connection ends with the process that opened it, even if a new process
	// on the same VM uses the same numbers.
	to := n.inbound[e.Stream]
	if to == nil || to.dead || to.streams[e.Stream.ID] != n {
		return
	}
	header := n.state.Header()
	deliver := func() {
		to.post(event.SubResultArrived{Stream: e.Stream.ID, Header: header, Result: e.Result})
	}
	copies := 1
	if n.w.rng.IntN(100) < n.w.slowPct {
		copies = 2
	}
	for range copies {
		to.back(n, deliver, nil)
	}
	if e.Last {
		to.w.at(10*time.Millisecond, func() {
			if to.streams[e.Stream.ID] == n {
				delete(to.streams, e.Stream.ID)
				to.post(event.ExecuteEnded{Stream: e.Stream.ID, Peer: n.vm})
			}
		})
	}
}

func (n *node) forward(e effect.ForwardQuery) {
	left := e.Request.Deadline - n.clock()
	done := false
	finish := func(a event.ForwardAnswered) {
		if !done {
			done = true
			a.Token = e.Token
			n.post(a)
		}
	}
	lost := func() { finish(event.ForwardAnswered{Err: "connection lost"}) }
	n.send(e.Peer, func(p *node) {
		req := e.Request
		req.Deadline = p.clock() + left
		t := p.expect(func(r any) {
			a := r.(effect.ReplyQuery)
			n.back(p, func() { finish(event.ForwardAnswered{Answer: a.Answer, Refusal: a.Refusal}) }, lost)
		})
		p.post(event.QueryArrived{Token: t, Request: req, Forwarded: true})
		n.w.at(time.Duration(left)+100*time.Millisecond, lost)
	}, func(refused bool) { finish(event.ForwardAnswered{NotSent: refused, Err: "unreachable"}) })
}
