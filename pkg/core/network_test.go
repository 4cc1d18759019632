package core_test

import (
	"fmt"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// applyEffect carries out an effect against the fakes, as the runtime does against
// the real systems.
func (n *node) applyEffect(e effect.Effect) {
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
		n.sendMessage(e.Peer, func(p *node) { p.post(event.CancelArrived{From: ref, Attempts: e.Attempts}) }, nil)
	case effect.SendSubResult:
		n.sendSubResult(e)
	case effect.ForwardQuery:
		n.forwardQuery(e)
	case effect.CallBackend:
		w.backends[e.Sub.Server].call(n, e)
	case effect.CancelBackend:
		for _, b := range w.sortedBackends() {
			b.cancelCall(n, e.From, e.Attempt)
		}
	case effect.PollBackend:
		w.backends[e.Server].answerPoll(n)
	case effect.WarmConnections:
	case effect.Exit:
		w.oracle.exited(n)
		n.exited, n.dead = true, true
		w.platform.unlistVM(n.vm)
	default:
		n.applyControlEffect(e)
	}
}

func (n *node) applyControlEffect(e effect.Effect) {
	switch e := e.(type) {
	case effect.SendHeartbeat:
		n.sendHeartbeat(e)
	case effect.SendExchange:
		n.sendExchange(e)
	case effect.SendHandover:
		n.sendHandover(e)
	case effect.FetchDocument:
		n.fetchDocument(e)
	case effect.ReadDocument:
		n.w.platform.readObject(n, e.Kind)
	case effect.WatchDocument:
		n.watches[e.Kind] = !e.Stop
		if !e.Stop {
			n.w.platform.readObject(n, e.Kind)
		}
	case effect.ReadVMList:
		n.w.platform.readVMList(n)
	case effect.WriteEpoch:
		n.w.platform.writeEpoch(n, e)
	case effect.ConfirmDocument:
		n.w.platform.confirmDocument(n, e)
	default:
		panic(fmt.Sprintf("effect %T is not carried out", e))
	}
}

// sendMessage delivers a message to the daemon on a VM, or calls fail if the
// message is lost. refused is true if no daemon runs on the VM.
func (n *node) sendMessage(to model.VM, deliver func(p *node), fail func(refused bool)) {
	w := n.w
	if w.losesMessage(n.vm, to) {
		if fail != nil {
			w.after(400*time.Millisecond, func() { fail(false) })
		}
		return
	}
	w.after(w.messageDelay(), func() {
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

// sendAnswer delivers an answer from p to n, or calls fail if the answer is lost.
func (n *node) sendAnswer(p *node, deliver func(), fail func()) {
	if n.w.losesMessage(p.vm, n.vm) {
		if fail != nil {
			n.w.after(400*time.Millisecond, fail)
		}
		return
	}
	n.w.after(n.w.messageDelay(), deliver)
}

// callPeer sends a request to a peer and posts exactly one event: the answer or
// the failure. A nil failure is not posted.
func (n *node) callPeer(to model.VM, request func(t event.Token) event.Body, answer func(reply any) event.Body, failure event.Body) {
	done := false
	finish := func(b event.Body) {
		if !done && b != nil {
			done = true
			n.post(b)
		}
	}
	fail := func() { finish(failure) }
	n.sendMessage(to, func(p *node) {
		t := p.expectReply(func(r any) { n.sendAnswer(p, func() { finish(answer(r)) }, fail) })
		p.post(request(t))
	}, func(bool) { fail() })
}

func (n *node) sendHeartbeat(e effect.SendHeartbeat) {
	sent := n.clock()
	n.callPeer(e.Peer, func(t event.Token) event.Body {
		return event.HeartbeatArrived{Token: t, Header: e.Header, Member: e.Member, Resign: e.Resign}
	}, func(r any) event.Body {
		a := r.(effect.ReplyHeartbeat)
		return event.HeartbeatAnswered{SentAt: sent, ForEpoch: e.ForEpoch, Header: a.Header, Result: a.Result,
			Fenced: a.Fenced, Closed: a.Closed, Uptime: a.Uptime}
	}, event.HeartbeatFailed{To: e.Peer, Err: "lost"})
}

func (n *node) sendExchange(e effect.SendExchange) {
	n.callPeer(e.Peer, func(t event.Token) event.Body {
		return event.ExchangeArrived{Token: t, Header: e.Header, Servers: e.Servers, Members: e.Members, Full: e.Full}
	}, func(r any) event.Body {
		a := r.(effect.ReplyExchange)
		return event.ExchangeAnswered{Header: a.Header, Servers: a.Servers, Members: a.Members}
	}, nil)
}

func (n *node) sendHandover(e effect.SendHandover) {
	n.callPeer(e.Peer, func(t event.Token) event.Body {
		return event.HandoverArrived{Token: t, Header: e.Header, Servers: e.Servers}
	}, func(r any) event.Body {
		return event.HandoverAnswered{To: e.Peer, Servers: e.Servers, Accepted: r.(effect.ReplyHandover).Accepted}
	}, event.HandoverAnswered{To: e.Peer, Servers: e.Servers, Err: "lost"})
}

func (n *node) fetchDocument(e effect.FetchDocument) {
	vm := model.VM(e.Address[:len(e.Address)-len(":peer")])
	failure := event.DocumentFailed{Kind: e.Kind, Address: e.Address, Err: "lost"}
	n.callPeer(vm, func(t event.Token) event.Body {
		return event.DocumentRequested{Token: t, Header: n.state.Header(), Kind: e.Kind}
	}, func(r any) event.Body {
		a := r.(effect.ReplyDocument)
		if n.rejectsBundles && e.Kind == event.DocumentBundle {
			return event.DocumentFailed{Kind: e.Kind, Address: e.Address, Err: "rejected"}
		}
		if a.Version == 0 {
			return event.DocumentFailed{Kind: e.Kind, Address: e.Address, NotFound: true, Err: "none"}
		}
		return event.DocumentArrived{Address: e.Address, Document: n.w.platform.decode(e.Kind, a.Raw)}
	}, failure)
}

// openExecute opens a stream. Deadlines are sent as the time left, because the
// daemons' clocks differ.
func (n *node) openExecute(e effect.OpenExecute) {
	ref := n.state.Status(n.clock()).Self
	left := make([]model.Time, len(e.Subs))
	for i, s := range e.Subs {
		left[i] = s.Deadline - n.clock()
	}
	header := n.state.Header()
	n.sendMessage(e.Peer, func(p *node) {
		n.openedStreams[e.Stream] = p
		p.acceptedStreams[event.Stream{From: ref, ID: e.Stream}] = n
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

// watchStream ends the stream when the peer is dead or its link to n is cut.
func (n *node) watchStream(id event.StreamID, p *node) {
	n.w.after(200*time.Millisecond, func() {
		if n.openedStreams[id] != p {
			return
		}
		if p.dead || n.w.cutLinks[[2]model.VM{p.vm, n.vm}] {
			delete(n.openedStreams, id)
			n.post(event.ExecuteEnded{Stream: id, Peer: p.vm, Err: "connection lost"})
			return
		}
		n.watchStream(id, p)
	})
}

func (n *node) closeExecute(e effect.CloseExecute) {
	p := n.openedStreams[e.Stream]
	delete(n.openedStreams, e.Stream)
	ref := n.state.Status(n.clock()).Self
	if p != nil {
		n.w.after(n.w.messageDelay(), func() { p.post(event.ExecuteGone{Stream: event.Stream{From: ref, ID: e.Stream}}) })
	}
}

// sendSubResult sends a result to the entry daemon, sometimes twice or late.
func (n *node) sendSubResult(e effect.SendSubResult) {
	// A connection ends with the process that opened it, even if a new process on
	// the same VM uses the same stream ids.
	to := n.acceptedStreams[e.Stream]
	if to == nil || to.dead || to.openedStreams[e.Stream.ID] != n {
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
		to.sendAnswer(n, deliver, nil)
	}
	if e.Last {
		to.w.after(10*time.Millisecond, func() {
			if to.openedStreams[e.Stream.ID] == n {
				delete(to.openedStreams, e.Stream.ID)
				to.post(event.ExecuteEnded{Stream: e.Stream.ID, Peer: n.vm})
			}
		})
	}
}

func (n *node) forwardQuery(e effect.ForwardQuery) {
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
	n.sendMessage(e.Peer, func(p *node) {
		req := e.Request
		req.Deadline = p.clock() + left
		t := p.expectReply(func(r any) {
			a := r.(effect.ReplyQuery)
			n.sendAnswer(p, func() { finish(event.ForwardAnswered{Answer: a.Answer, Refusal: a.Refusal}) }, lost)
		})
		p.post(event.QueryArrived{Token: t, Request: req, Forwarded: true})
		n.w.after(time.Duration(left)+100*time.Millisecond, lost)
	}, func(refused bool) { finish(event.ForwardAnswered{NotSent: refused, Err: "unreachable"}) })
}
