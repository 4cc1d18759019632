package documents

import (
	"slices"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// fetchTimeout lets a fetch be repeated whose answer is missing.
	fetchTimeout = 2 * time.Second
	// fetchBackoffMin and fetchBackoffMax bound the wait after a failed fetch.
	fetchBackoffMin = 50 * time.Millisecond
	fetchBackoffMax = 2 * time.Second
	// maxCandidates bounds the peers remembered for one version.
	maxCandidates = 8
	// maxFailures is how often a version is tried before it is given up until a
	// message offers it again.
	maxFailures = 2 * maxCandidates
)

// fetch is the search for the newest version that peers offered.
type fetch struct {
	// offered is the highest version that a message named, candidates the
	// addresses of the peers that have it.
	offered    uint64
	candidates []string
	// pending is the address of the fetch under way until deadline.
	pending  string
	deadline model.Time
	retry    model.Time
	backoff  time.Duration
	failures int
	turn     int
}

// Behind reports whether the header names a version above the one in force.
func (s *State) Behind(h model.Header) bool {
	for i := range s.holders {
		if offered(h, s.holders[i].kind) > s.have(&s.holders[i]) {
			return true
		}
	}
	return false
}

func offered(h model.Header, kind event.DocumentKind) uint64 {
	switch kind {
	case event.DocumentBundle:
		return h.BundleVersion
	case event.DocumentControls:
		return h.ControlsVersion
	case event.DocumentEpoch:
		return h.Epoch
	}
	return 0
}

// PeerVersions takes the versions in the header of a message from the peer at
// address, and fetches what is newer.
func (s *State) PeerVersions(m event.Meta, h model.Header, address string, out *effect.List) {
	if address == "" {
		return
	}
	for i := range s.holders {
		s.offer(&s.holders[i], offered(h, s.holders[i].kind), address)
	}
	s.step(m, out)
}

func (s *State) offer(h *holder, version uint64, address string) {
	f := &h.fetch
	if version <= s.have(h) || version < f.offered {
		return
	}
	if version > f.offered {
		*f = fetch{offered: version, pending: f.pending, deadline: f.deadline}
	}
	if len(f.candidates) < maxCandidates && !slices.Contains(f.candidates, address) {
		f.candidates = append(f.candidates, address)
	}
}

// updateFetch starts a fetch if one is needed and none is under way.
func (s *State) updateFetch(now model.Time, h *holder, out *effect.List) {
	f := &h.fetch
	if s.have(h) >= f.offered {
		f.candidates = nil
		return
	}
	if f.pending != "" && now < f.deadline || now < f.retry || len(f.candidates) == 0 {
		return
	}
	f.pending = f.candidates[f.turn%len(f.candidates)]
	f.deadline = now.Add(fetchTimeout)
	f.turn++
	out.Add(effect.FetchDocument{Kind: h.kind, Address: f.pending})
}

func (s *State) wakeFetch(now model.Time, h *holder) model.Time {
	f := &h.fetch
	if s.have(h) >= f.offered || len(f.candidates) == 0 {
		return model.Never
	}
	if f.pending != "" && now < f.deadline {
		return f.deadline
	}
	return max(f.retry, now+1)
}

// fetchEnded notes the end of a fetch from address. After a failure the next
// candidate is asked, later each time.
func (s *State) fetchEnded(now model.Time, h *holder, address string, ok bool) {
	f := &h.fetch
	if address == "" || address != f.pending {
		return
	}
	f.pending = ""
	if ok {
		f.backoff, f.failures = 0, 0
		return
	}
	f.failures++
	f.backoff = min(max(2*f.backoff, fetchBackoffMin), fetchBackoffMax)
	f.retry = now.Add(f.backoff)
	if f.failures >= maxFailures {
		*f = fetch{}
	}
}
