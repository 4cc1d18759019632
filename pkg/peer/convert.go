package peer

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/pkg/peer/peerpb"
)

func toHeader(h model.Header) *peerpb.Header {
	return &peerpb.Header{
		Vm:              string(h.From.VM),
		Incarnation:     uint64(h.From.Incarnation),
		BundleVersion:   h.BundleVersion,
		ControlsVersion: h.ControlsVersion,
		Epoch:           h.Epoch,
	}
}

func fromHeader(h *peerpb.Header) model.Header {
	return model.Header{
		From:            model.MemberRef{VM: model.VM(h.GetVm()), Incarnation: model.Incarnation(h.GetIncarnation())},
		BundleVersion:   h.GetBundleVersion(),
		ControlsVersion: h.GetControlsVersion(),
		Epoch:           h.GetEpoch(),
	}
}

func toSnapshot(s model.Snapshot) *peerpb.Snapshot {
	return &peerpb.Snapshot{Layout: string(s.Layout), IndexVersion: s.IndexVersion}
}

func fromSnapshot(s *peerpb.Snapshot) model.Snapshot {
	return model.Snapshot{Layout: model.LayoutName(s.GetLayout()), IndexVersion: s.GetIndexVersion()}
}

func toMemberRefs(refs []model.MemberRef) []*peerpb.MemberRef {
	out := make([]*peerpb.MemberRef, len(refs))
	for i, r := range refs {
		out[i] = &peerpb.MemberRef{Vm: string(r.VM), Incarnation: uint64(r.Incarnation)}
	}
	return out
}

func fromMemberRefs(refs []*peerpb.MemberRef) []model.MemberRef {
	var out []model.MemberRef
	for _, r := range refs {
		out = append(out, model.MemberRef{VM: model.VM(r.GetVm()), Incarnation: model.Incarnation(r.GetIncarnation())})
	}
	return out
}

func toClosedEpochs(closed []event.ClosedEpoch) []*peerpb.ClosedEpoch {
	out := make([]*peerpb.ClosedEpoch, len(closed))
	for i, c := range closed {
		out[i] = &peerpb.ClosedEpoch{Number: c.Number, AgeUs: c.Age.Microseconds(), Fenced: toMemberRefs(c.Fenced)}
	}
	return out
}

func fromClosedEpochs(closed []*peerpb.ClosedEpoch) []event.ClosedEpoch {
	var out []event.ClosedEpoch
	for _, c := range closed {
		out = append(out, event.ClosedEpoch{Number: c.GetNumber(), Age: fromMicros(c.GetAgeUs()), Fenced: fromMemberRefs(c.GetFenced())})
	}
	return out
}

func fromMicros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// toExecute converts the sub-requests of one request, which differ only in
// attempt, shard and server.
func toExecute(h model.Header, stream event.StreamID, subs []model.SubRequest, left time.Duration) *peerpb.ExecuteRequest {
	first := &subs[0]
	out := &peerpb.ExecuteRequest{
		Header:     toHeader(h),
		Stream:     uint64(stream),
		RequestId:  string(first.RequestID),
		Service:    string(first.Service),
		Caller:     string(first.Caller),
		Class:      uint32(first.Class),
		Idempotent: first.Idempotent,
		TimeoutUs:  left.Microseconds(),
		Query:      first.Query,
		Key:        first.Key,
		TopK:       uint32(first.TopK),
		Snapshot:   toSnapshot(first.Snapshot),
		Subs:       make([]*peerpb.SubRequest, len(subs)),
	}
	for i := range subs {
		s := &subs[i]
		out.Subs[i] = &peerpb.SubRequest{Attempt: uint64(s.Attempt), Shard: string(s.Shard), Server: string(s.Server)}
	}
	return out
}

func fromExecute(in *peerpb.ExecuteRequest) Execute {
	header := fromHeader(in.GetHeader())
	common := model.SubRequest{
		RequestID:  model.RequestID(in.GetRequestId()),
		Service:    model.ServiceName(in.GetService()),
		Caller:     model.CallerName(in.GetCaller()),
		Class:      model.Class(in.GetClass()),
		Idempotent: in.GetIdempotent(),
		Query:      in.GetQuery(),
		Key:        in.GetKey(),
		TopK:       int(in.GetTopK()),
		Snapshot:   fromSnapshot(in.GetSnapshot()),
	}
	subs := make([]model.SubRequest, len(in.GetSubs()))
	for i, s := range in.GetSubs() {
		subs[i] = common
		subs[i].Attempt = model.AttemptID(s.GetAttempt())
		subs[i].Shard = model.ShardName(s.GetShard())
		subs[i].Server = model.ServerName(s.GetServer())
	}
	stream := event.Stream{From: header.From, ID: event.StreamID(in.GetStream())}
	return Execute{Stream: stream, Header: header, Subs: subs, Left: fromMicros(in.GetTimeoutUs())}
}

func toResult(h model.Header, r *model.SubResult) *peerpb.ExecuteResponse {
	out := &peerpb.ExecuteResponse{
		Header:        toHeader(h),
		Attempt:       uint64(r.Attempt),
		Shard:         string(r.Shard),
		Server:        string(r.Server),
		Snapshot:      toSnapshot(r.Snapshot),
		Outcome:       uint32(r.Outcome),
		Items:         make([]*peerpb.Item, len(r.Items)),
		Versions:      r.Versions,
		ServiceTimeUs: r.ServiceTime.Microseconds(),
		QueueTimeUs:   r.QueueTime.Microseconds(),
		Count:         uint32(r.Count),
		RetryAfterUs:  r.RetryAfter.Microseconds(),
	}
	for i := range r.Items {
		item := &r.Items[i]
		out.Items[i] = &peerpb.Item{Id: item.ID, Score: item.Score, Doc: item.Doc}
	}
	return out
}

func fromResult(in *peerpb.ExecuteResponse) model.SubResult {
	items := make([]model.Item, len(in.GetItems()))
	for i, item := range in.GetItems() {
		items[i] = model.Item{ID: item.GetId(), Score: item.GetScore(), Doc: item.GetDoc()}
	}
	return model.SubResult{
		Attempt:     model.AttemptID(in.GetAttempt()),
		Shard:       model.ShardName(in.GetShard()),
		Server:      model.ServerName(in.GetServer()),
		Snapshot:    fromSnapshot(in.GetSnapshot()),
		Outcome:     fromOutcome(in.GetOutcome()),
		Items:       items,
		Count:       int(in.GetCount()),
		Versions:    in.GetVersions(),
		ServiceTime: fromMicros(in.GetServiceTimeUs()),
		QueueTime:   fromMicros(in.GetQueueTimeUs()),
		RetryAfter:  fromMicros(in.GetRetryAfterUs()),
	}
}

// fromOutcome converts an outcome. One that this version does not know becomes
// OutcomeLost, which does not rule out that the attempt ran.
func fromOutcome(v uint32) model.Outcome {
	if v == uint32(model.OutcomeUnknown) || v > uint32(model.OutcomeLost) {
		return model.OutcomeLost
	}
	return model.Outcome(v)
}

func setMember(h *peerpb.HeartbeatRequest, m model.Member) {
	h.FailureDomain = string(m.FailureDomain)
	h.PeerAddress = m.PeerAddress
	h.CallerAddress = m.CallerAddress
	h.Leaving = m.Leaving
}

func fromMember(h *peerpb.HeartbeatRequest) model.Member {
	return model.Member{
		MemberRef:     fromHeader(h.GetHeader()).From,
		FailureDomain: model.FailureDomain(h.GetFailureDomain()),
		PeerAddress:   h.GetPeerAddress(),
		CallerAddress: h.GetCallerAddress(),
		Leaving:       h.GetLeaving(),
	}
}

func toServerReports(reports []model.ServerReport) []*peerpb.ServerReport {
	out := make([]*peerpb.ServerReport, len(reports))
	for i := range reports {
		r := &reports[i]
		out[i] = &peerpb.ServerReport{
			Server:           string(r.Server),
			Owner:            string(r.Owner.VM),
			OwnerIncarnation: uint64(r.Owner.Incarnation),
			Sequence:         r.Sequence,
			Usable:           r.Usable,
			Limit:            uint32(max(r.Limit, 0)),
			Load:             uint32(max(r.Load, 0)),
			Serves:           toServings(r.Serves),
		}
	}
	return out
}

func toServings(serves []model.Serving) []*peerpb.Serving {
	out := make([]*peerpb.Serving, len(serves))
	for i, s := range serves {
		out[i] = &peerpb.Serving{Layout: string(s.Layout), Shard: string(s.Shard), Versions: s.Versions}
	}
	return out
}

func fromServerReports(reports []*peerpb.ServerReport) []model.ServerReport {
	var out []model.ServerReport
	for _, r := range reports {
		owner := model.MemberRef{VM: model.VM(r.GetOwner()), Incarnation: model.Incarnation(r.GetOwnerIncarnation())}
		out = append(out, model.ServerReport{
			Server:   model.ServerName(r.GetServer()),
			Owner:    owner,
			Sequence: r.GetSequence(),
			Usable:   r.GetUsable(),
			Limit:    int(r.GetLimit()),
			Load:     int(r.GetLoad()),
			Serves:   fromServings(r.GetServes()),
		})
	}
	return out
}

func fromServings(serves []*peerpb.Serving) []model.Serving {
	var out []model.Serving
	for _, s := range serves {
		out = append(out, model.Serving{
			Layout:   model.LayoutName(s.GetLayout()),
			Shard:    model.ShardName(s.GetShard()),
			Versions: s.GetVersions(),
		})
	}
	return out
}

func toMemberReports(reports []model.MemberReport) []*peerpb.MemberReport {
	out := make([]*peerpb.MemberReport, len(reports))
	for i := range reports {
		r := &reports[i]
		out[i] = &peerpb.MemberReport{
			Vm:            string(r.VM),
			Incarnation:   uint64(r.Incarnation),
			Sequence:      r.Sequence,
			FailureDomain: string(r.FailureDomain),
			PeerAddress:   r.PeerAddress,
			CallerAddress: r.CallerAddress,
			Serving:       r.Serving,
			Leaving:       r.Leaving,
		}
	}
	return out
}

func fromMemberReports(reports []*peerpb.MemberReport) []model.MemberReport {
	var out []model.MemberReport
	for _, r := range reports {
		ref := model.MemberRef{VM: model.VM(r.GetVm()), Incarnation: model.Incarnation(r.GetIncarnation())}
		out = append(out, model.MemberReport{
			Member: model.Member{
				MemberRef:     ref,
				FailureDomain: model.FailureDomain(r.GetFailureDomain()),
				PeerAddress:   r.GetPeerAddress(),
				CallerAddress: r.GetCallerAddress(),
				Leaving:       r.GetLeaving(),
			},
			Sequence: r.GetSequence(),
			Serving:  r.GetServing(),
		})
	}
	return out
}

func toServerNames(servers []model.ServerName) []string {
	out := make([]string, len(servers))
	for i, s := range servers {
		out[i] = string(s)
	}
	return out
}

func fromServerNames(servers []string) []model.ServerName {
	out := make([]model.ServerName, len(servers))
	for i, s := range servers {
		out[i] = model.ServerName(s)
	}
	return out
}

func toForward(h model.Header, r *model.Request, left time.Duration) *peerpb.ForwardRequest {
	return &peerpb.ForwardRequest{
		Header:    toHeader(h),
		RequestId: string(r.ID),
		Service:   string(r.Service),
		Caller:    string(r.Caller),
		Class:     uint32(r.Class),
		TimeoutUs: left.Microseconds(),
		Query:     r.Query,
		Key:       r.Key,
		TopK:      uint32(r.TopK),
	}
}

// fromForward converts a forwarded request. Idempotent stays false: only
// requests that are not idempotent are bound to a daemon and forwarded.
func fromForward(in *peerpb.ForwardRequest) Forward {
	return Forward{
		Header: fromHeader(in.GetHeader()),
		Request: model.Request{
			ID:      model.RequestID(in.GetRequestId()),
			Service: model.ServiceName(in.GetService()),
			Caller:  model.CallerName(in.GetCaller()),
			Class:   model.Class(in.GetClass()),
			Query:   in.GetQuery(),
			Key:     in.GetKey(),
			TopK:    int(in.GetTopK()),
		},
		Left: fromMicros(in.GetTimeoutUs()),
	}
}
