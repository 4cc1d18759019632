package edge

import (
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/quota"
	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/rollout"
	"github.com/pistachiousher/pistachiousher/pkg/edge/gossippb"
)

const (
	// sectionVersion is the version of each section that this daemon sends and reads.
	sectionVersion = 1
	// maxSectionBytes bounds a section. With all three of them and 19 entries of daemons, a
	// message stays below maxDatagramBytes.
	maxSectionBytes = 3 << 10
	// maxLoanBytes is the part of the section of quotas that loans may use, with which the
	// sender answers the receiver; its own demands use the rest.
	maxLoanBytes = 1 << 10
	// maxProgressBytes is the part of a section that the progress of roll-outs may take;
	// that of one takes about 40 bytes.
	maxProgressBytes = 1 << 10
	// maxRolloutAge bounds the age of an order that is received.
	maxRolloutAge = 24 * time.Hour
	// maxLatencyBuckets bounds the buckets of a histogram that is received.
	maxLatencyBuckets = 64
)

// encodeSections encodes the sections of this daemon; nil if there is nothing to tell.
func encodeSections(x gateway.Sections) *gossippb.Sections {
	out := &gossippb.Sections{}
	if len(x.Quota) > 0 || len(x.QuotaLoans) > 0 {
		loans := encodeList(x.QuotaLoans, maxLoanBytes, encodeLoan)
		out.Quota = &gossippb.QuotaSection{
			Version: sectionVersion, Tenants: encodeList(x.Quota, maxSectionBytes-maxLoanBytes, encodeDemand), Loans: loans,
			EchoIncarnation: x.QuotaEcho.Incarnation, EchoCounter: x.QuotaEcho.Counter,
		}
	}
	if len(x.Rollouts)+len(x.Progress) > 0 {
		progress := encodeList(x.Progress, maxProgressBytes, encodeProgress)
		out.Rollouts = &gossippb.RolloutSection{Version: sectionVersion, Progress: progress, Evidence: encodeList(x.Rollouts, maxSectionBytes-maxProgressBytes, encodeEvidence)}
	}
	if len(x.Capacity) > 0 {
		out.Capacity = &gossippb.CapacitySection{Version: sectionVersion, Leafs: encodeList(x.Capacity, maxSectionBytes, encodeCapacity)}
	}
	if out.Quota == nil && out.Rollouts == nil && out.Capacity == nil {
		return nil
	}
	return out
}

// encodeList encodes the first entries of a list that fit into limit bytes.
func encodeList[T any, M proto.Message](list []T, limit int, encode func(T) M) []M {
	var out []M
	size := 0
	for _, x := range list {
		m := encode(x)
		// An entry has a tag of one byte and a length of up to three.
		size += proto.Size(m) + 4
		if size > limit {
			break
		}
		out = append(out, m)
	}
	return out
}

func encodeDemand(d gateway.TenantDemand) *gossippb.TenantDemand {
	return &gossippb.TenantDemand{Tenant: d.Tenant, ArrivalsPerSecond: float32(d.ArrivalsPerSecond), WorkPerSecond: float32(d.WorkPerSecond), WantedShare: float32(d.WantedShare)}
}

func encodeLoan(l quota.Loan) *gossippb.TenantLoan {
	return &gossippb.TenantLoan{Tenant: l.Tenant, Share: float32(l.Share)}
}

// decodeQuota decodes the section of quotas into out.
func decodeQuota(q *gossippb.QuotaSection, out *gateway.Sections) {
	for _, d := range q.GetTenants() {
		if isName(d.GetTenant()) && isAmount(float64(d.GetArrivalsPerSecond())) && isAmount(float64(d.GetWorkPerSecond())) && isShare(float64(d.GetWantedShare())) {
			out.Quota = append(out.Quota, gateway.TenantDemand{
				Tenant: d.GetTenant(), ArrivalsPerSecond: float64(d.GetArrivalsPerSecond()), WorkPerSecond: float64(d.GetWorkPerSecond()), WantedShare: float64(d.GetWantedShare()),
			})
		}
	}
	for _, l := range q.GetLoans() {
		if isName(l.GetTenant()) && isShare(float64(l.GetShare())) {
			out.QuotaLoans = append(out.QuotaLoans, quota.Loan{Tenant: l.GetTenant(), Share: float64(l.GetShare())})
		}
	}
	out.QuotaEcho = quota.Echo{Incarnation: q.GetEchoIncarnation(), Counter: q.GetEchoCounter()}
}

// isShare reports whether a value is a part of a whole.
func isShare(v float64) bool { return v >= 0 && v <= 1 }

func encodeEvidence(e gateway.VersionEvidence) *gossippb.VersionEvidence {
	return &gossippb.VersionEvidence{
		Service: e.Service, Order: e.Order, Route: e.Route, Target: e.Target, Attempts: e.Attempts, BadAnswers: e.BadAnswers,
		LatencyBuckets: e.Latencies, Leafs: e.Leafs, BadLeafs: e.BadLeafs, Leaf: e.Leaf, SlowAnswers: e.SlowAnswers,
	}
}

func encodeProgress(p gateway.RolloutProgress) *gossippb.RolloutProgress {
	return &gossippb.RolloutProgress{
		Service: p.Service, Order: p.Order, Acting: gossippb.RolloutVerdict(p.Acting), AgeMs: uint64(max(0, p.Age.Milliseconds())), Open: p.Open,
	}
}

func encodeCapacity(c gateway.LeafCapacity) *gossippb.LeafCapacity {
	return &gossippb.LeafCapacity{Leaf: c.Leaf, Limit: c.Limit, BaseLatency: c.BaseLatency}
}

// decodeSections decodes the sections of another daemon. Sections of other versions and
// entries that no daemon can have are left out.
func decodeSections(m *gossippb.Sections) gateway.Sections {
	var out gateway.Sections
	if q := m.GetQuota(); q.GetVersion() == sectionVersion {
		decodeQuota(q, &out)
	}
	if r := m.GetRollouts(); r.GetVersion() == sectionVersion {
		for _, e := range r.GetEvidence() {
			if isName(e.GetService()) && len(e.GetRoute()) <= maxNameBytes && len(e.GetLeaf()) <= maxNameBytes && len(e.GetLatencyBuckets()) <= maxLatencyBuckets && e.GetBadAnswers() <= e.GetAttempts() && e.GetSlowAnswers() <= e.GetBadAnswers() {
				out.Rollouts = append(out.Rollouts, decodeEvidence(e))
			}
		}
		for _, p := range r.GetProgress() {
			if isName(p.GetService()) && p.GetAgeMs() <= uint64(maxRolloutAge.Milliseconds()) && p.GetActing() >= 0 && p.GetActing() <= gossippb.RolloutVerdict_ROLLOUT_VERDICT_ROLLED_BACK {
				out.Progress = append(out.Progress, gateway.RolloutProgress{
					Service: p.GetService(), Order: p.GetOrder(), Acting: rollout.Verdict(p.GetActing()), Age: time.Duration(p.GetAgeMs()) * time.Millisecond, Open: p.GetOpen(),
				})
			}
		}
	}
	if c := m.GetCapacity(); c.GetVersion() == sectionVersion {
		for _, l := range c.GetLeafs() {
			if isName(l.GetLeaf()) && isAmount(l.GetLimit()) && isAmount(l.GetBaseLatency()) {
				out.Capacity = append(out.Capacity, gateway.LeafCapacity{Leaf: l.GetLeaf(), Limit: l.GetLimit(), BaseLatency: l.GetBaseLatency()})
			}
		}
	}
	return out
}

func decodeEvidence(e *gossippb.VersionEvidence) gateway.VersionEvidence {
	return gateway.VersionEvidence{
		Service: e.GetService(), Order: e.GetOrder(), Route: e.GetRoute(), Target: e.GetTarget(), Attempts: e.GetAttempts(), BadAnswers: e.GetBadAnswers(),
		Latencies: e.GetLatencyBuckets(), Leafs: e.GetLeafs(), BadLeafs: e.GetBadLeafs(), Leaf: e.GetLeaf(), SlowAnswers: e.GetSlowAnswers(),
	}
}

func isName(name string) bool { return name != "" && len(name) <= maxNameBytes }

// isAmount reports whether a value is a number of requests or a ratio that a daemon can have
// measured.
func isAmount(v float64) bool { return v >= 0 && v <= math.MaxUint32 }
