package core

import (
	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// route passes an event to the reducers that handle it.
func (s *State) route(m event.Meta, body event.Body, out *effect.List) {
	switch e := body.(type) {
	case event.Started:
		s.membership.Start(m, out)
		s.documents.Start(m, out)
		s.nextRefresh = m.Now
	case event.Tick:
		s.membership.Tick(m, out)
		s.documents.Tick(m, out)
		s.slots.Tick(m, out)
		s.query.Tick(m, out)
	case event.StopRequested:
		s.stop.begin(s, m, e.Reason, out)
	default:
		s.routeQueryPath(m, body, out)
		s.routeMembership(m, body, out)
		s.routeDocuments(m, body, out)
	}
}

func (s *State) routeQueryPath(m event.Meta, body event.Body, out *effect.List) {
	switch e := body.(type) {
	case event.QueryArrived:
		s.query.QueryArrived(m, e, out)
	case event.QueryAbandoned:
		s.query.QueryAbandoned(m, e, out)
	case event.LookupArrived:
		s.query.LookupArrived(m, e, out)
	case event.ForwardAnswered:
		s.query.ForwardAnswered(m, e, out)
	case event.SubResultArrived:
		s.learnVersions(m, e.Header, "", out)
		s.query.SubResultArrived(m, e, out)
	case event.ExecuteEnded:
		s.query.ExecuteEnded(m, e, out)
	case event.ExecuteArrived:
		s.learnVersions(m, e.Header, "", out)
		s.slots.ExecuteArrived(m, e, out)
	case event.CancelArrived:
		s.slots.CancelArrived(m, e, out)
	case event.ExecuteGone:
		s.slots.ExecuteGone(m, e, out)
	case event.BackendReleased:
		s.slots.BackendReleased(m, e, out)
	case event.BackendAnswered:
		s.slots.BackendAnswered(m, e, out)
	case event.BackendStatus:
		s.slots.BackendStatus(m, e, out)
	}
}

func (s *State) routeMembership(m event.Meta, body event.Body, out *effect.List) {
	switch e := body.(type) {
	case event.HeartbeatArrived:
		s.learnVersions(m, e.Header, e.Member.PeerAddress, out)
		s.membership.HeartbeatArrived(m, e, out)
	case event.HeartbeatAnswered:
		s.learnVersions(m, e.Header, "", out)
		s.membership.HeartbeatAnswered(m, e, out)
	case event.HeartbeatFailed:
		s.membership.HeartbeatFailed(m, e, out)
	case event.ExchangeArrived:
		s.learnVersions(m, e.Header, "", out)
		s.membership.ExchangeArrived(m, e, out)
	case event.ExchangeAnswered:
		s.learnVersions(m, e.Header, "", out)
		s.membership.ExchangeAnswered(m, e, out)
	case event.HandoverArrived:
		s.learnVersions(m, e.Header, "", out)
		s.membership.HandoverArrived(m, e, out)
		s.nextRefresh = m.Now
	case event.HandoverAnswered:
		s.membership.HandoverAnswered(m, e, out)
	case event.VMListRead:
		s.membership.VMListRead(m, e, out)
		s.stop.checkVMList(s, m, e, out)
	case event.EpochWritten:
		s.membership.EpochWritten(m, e, out)
	}
}

func (s *State) routeDocuments(m event.Meta, body event.Body, out *effect.List) {
	switch e := body.(type) {
	case event.DocumentArrived:
		s.documents.DocumentArrived(m, e, out)
		if e.Document.Kind == event.DocumentEpoch {
			s.membership.EpochArrived(m, e.Document.Epoch, e.ObjectVersion, out)
		}
	case event.DocumentFailed:
		s.documents.DocumentFailed(m, e, out)
		if e.Kind == event.DocumentEpoch && e.NotFound {
			s.membership.EpochArrived(m, nil, 0, out)
		}
	case event.DocumentRequested:
		s.learnVersions(m, e.Header, "", out)
		s.documents.DocumentRequested(m, e, out)
	case event.DocumentConfirmed:
		s.documents.DocumentConfirmed(m, e, out)
	}
}

// learnVersions passes the versions in the header of a peer's message to the
// documents reducer if they are newer than those in force. If address is empty,
// the sender's address is looked up among the known peers.
func (s *State) learnVersions(m event.Meta, h model.Header, address string, out *effect.List) {
	if h.From.VM == s.cfg.Self.VM {
		return
	}
	if !s.documents.Behind(h) {
		return
	}
	if address == "" {
		address = s.peerAddress(h.From.VM)
	}
	s.documents.PeerVersions(m, h, address, out)
}

func (s *State) peerAddress(vm model.VM) string {
	for _, p := range s.membership.Peers() {
		if p.VM == vm {
			return p.PeerAddress
		}
	}
	return ""
}
