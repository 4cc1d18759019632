package core

import (
	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
)

// localToken marks a reply that the core itself waits for. The runtime numbers
// its tokens from 1 and never reaches this value.
const localToken = event.Token(1 << 63)

// localCalls are calls of this daemon to itself, which never leave the core.
type localCalls struct {
	streams   map[event.StreamID]struct{}
	heartbeat effect.SendHeartbeat
}

// settle replaces effects that this daemon addresses to itself by direct
// calls between the reducers, until only effects for the runtime are left.
func (s *State) settle(m event.Meta, out *effect.List) []effect.Effect {
	kept := 0
	for i := 0; i < len(out.Effects); i++ {
		if s.deliver(m, out.Effects[i], out) {
			continue
		}
		out.Effects[kept] = out.Effects[i]
		kept++
	}
	clear(out.Effects[kept:])
	return out.Effects[:kept]
}

// deliver carries out a local effect, whose own effects go to the end of out,
// and reports whether it was one.
func (s *State) deliver(m event.Meta, e effect.Effect, out *effect.List) bool {
	switch e := e.(type) {
	case effect.OpenExecute:
		return s.deliverExecute(m, e, out)
	case effect.CloseExecute:
		return s.deliverClose(m, e, out)
	case effect.SendCancel:
		if e.Peer != s.cfg.Self.VM {
			return false
		}
		s.slots.CancelArrived(m, event.CancelArrived{From: s.membership.Self(), Attempts: e.Attempts}, out)
	case effect.SendSubResult:
		return s.deliverSubResult(m, e, out)
	case effect.SendHeartbeat:
		if e.Peer != s.cfg.Self.VM {
			return false
		}
		s.local.heartbeat = e
		s.membership.HeartbeatArrived(m, event.HeartbeatArrived{
			Token: localToken, Header: e.Header, Member: e.Member, Resign: e.Resign,
		}, out)
	case effect.ReplyHeartbeat:
		if e.Token != localToken {
			return false
		}
		s.membership.HeartbeatAnswered(m, event.HeartbeatAnswered{
			SentAt: m.Now, ForEpoch: s.local.heartbeat.ForEpoch, Header: e.Header,
			Result: e.Result, Fenced: e.Fenced, Closed: e.Closed, Uptime: e.Uptime,
		}, out)
	default:
		return false
	}
	return true
}

func (s *State) deliverExecute(m event.Meta, e effect.OpenExecute, out *effect.List) bool {
	if e.Peer != s.cfg.Self.VM {
		return false
	}
	s.local.streams[e.Stream] = struct{}{}
	s.slots.ExecuteArrived(m, event.ExecuteArrived{
		Stream: event.Stream{From: s.membership.Self(), ID: e.Stream},
		Header: s.membership.Header(),
		Subs:   e.Subs,
	}, out)
	return true
}

func (s *State) deliverClose(m event.Meta, e effect.CloseExecute, out *effect.List) bool {
	if _, ok := s.local.streams[e.Stream]; !ok {
		return false
	}
	delete(s.local.streams, e.Stream)
	s.slots.ExecuteGone(m, event.ExecuteGone{Stream: event.Stream{From: s.membership.Self(), ID: e.Stream}}, out)
	return true
}

func (s *State) deliverSubResult(m event.Meta, e effect.SendSubResult, out *effect.List) bool {
	if e.Stream.From.VM != s.cfg.Self.VM {
		return false
	}
	if e.Last {
		delete(s.local.streams, e.Stream.ID)
	}
	s.query.SubResultArrived(m, event.SubResultArrived{
		Stream: e.Stream.ID, Header: s.membership.Header(), Result: e.Result,
	}, out)
	return true
}
