package core

import (
	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
)

// localToken marks a reply for which the core itself waits. It cannot collide
// with the runtime's tokens, which are numbered from 1.
const localToken = event.Token(1 << 63)

// localCalls tracks the calls that this daemon makes to itself, which never
// leave the core.
type localCalls struct {
	streams   map[event.StreamID]struct{}
	heartbeat effect.SendHeartbeat
}

// deliverLocal carries out the effects that this daemon addresses to itself by
// direct calls between the reducers, and returns the effects that are left for
// the runtime. Effects of those calls are handled in the same way.
func (s *State) deliverLocal(m event.Meta, out *effect.List) []effect.Effect {
	kept := 0
	for i := 0; i < len(out.Effects); i++ {
		if s.deliverIfLocal(m, out.Effects[i], out) {
			continue
		}
		out.Effects[kept] = out.Effects[i]
		kept++
	}
	clear(out.Effects[kept:])
	return out.Effects[:kept]
}

// deliverIfLocal reports whether this daemon addresses the effect to itself, and
// carries it out if so. The effects that result are appended to out.
func (s *State) deliverIfLocal(m event.Meta, e effect.Effect, out *effect.List) bool {
	switch e := e.(type) {
	case effect.OpenExecute:
		return s.deliverExecute(m, e, out)
	case effect.CloseExecute:
		return s.deliverCloseExecute(m, e, out)
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

func (s *State) deliverCloseExecute(m event.Meta, e effect.CloseExecute, out *effect.List) bool {
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
