package documents

import (
	"slices"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// fetchTimeout is the time without an answer after which another fetch may
	// start.
	fetchTimeout = 2 * time.Second
	// fetchBackoffMin and fetchBackoffMax bound the wait after a failed fetch.
	fetchBackoffMin = 50 * time.Millisecond
	fetchBackoffMax = 2 * time.Second
	// maxCandidates bounds the number of peers kept as sources of one version.
	maxCandidates = 8
	// maxFailures is the number of failed fetches of a version after which no more
	// are tried until a message names the version again.
	maxFailures = 2 * maxCandidates
)

// fetch is the state of fetching the highest version that peers have named.
type fetch struct {
	// offered is the highest version named in a peer's message, candidates the
	// addresses of the peers that have it.
	offered    uint64
	candidates []string
	// pendingAddress is the peer from which a fetch is under way, empty if none is;
	// deadline is when that fetch times out.
	pendingAddress string
	deadline       model.Time
	// retryAt is the earliest time of the next fetch after a failure.
	retryAt  model.Time
	backoff  time.Duration
	failures int
	// nextCandidate, modulo the number of candidates, is the index of the one to
	// ask next.
	nextCandidate int
}

// Behind reports whether the header names a higher version of any document than
// the one in force.
func (s *State) Behind(h model.Header) bool {
	for i := range s.states {
		if offeredVersion(h, s.states[i].kind) > s.versionInForce(&s.states[i]) {
			return true
		}
	}
	return false
}

func offeredVersion(h model.Header, kind event.DocumentKind) uint64 {
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

// PeerVersions handles the versions in the header of a message from the peer at
// address, and fetches those that are newer than the ones in force.
func (s *State) PeerVersions(m event.Meta, h model.Header, address string, out *effect.List) {
	if address == "" {
		return
	}
	for i := range s.states {
		s.addOffer(&s.states[i], offeredVersion(h, s.states[i].kind), address)
	}
	s.update(m, out)
}

func (s *State) addOffer(ds *documentState, version uint64, address string) {
	f := &ds.fetch
	if version <= s.versionInForce(ds) || version < f.offered {
		return
	}
	if version > f.offered {
		*f = fetch{offered: version, pendingAddress: f.pendingAddress, deadline: f.deadline}
	}
	if len(f.candidates) < maxCandidates && !slices.Contains(f.candidates, address) {
		f.candidates = append(f.candidates, address)
	}
}

// updateFetch starts a fetch if a newer version is offered, no fetch is under way
// and the back-off after a failure is over.
func (s *State) updateFetch(now model.Time, ds *documentState, out *effect.List) {
	f := &ds.fetch
	if s.versionInForce(ds) >= f.offered {
		f.candidates = nil
		return
	}
	if f.pendingAddress != "" && now < f.deadline || now < f.retryAt || len(f.candidates) == 0 {
		return
	}
	f.pendingAddress = f.candidates[f.nextCandidate%len(f.candidates)]
	f.deadline = now.Add(fetchTimeout)
	f.nextCandidate++
	out.Add(effect.FetchDocument{Kind: ds.kind, Address: f.pendingAddress})
}

func (s *State) nextFetchWake(now model.Time, ds *documentState) model.Time {
	f := &ds.fetch
	if s.versionInForce(ds) >= f.offered || len(f.candidates) == 0 {
		return model.Never
	}
	if f.pendingAddress != "" && now < f.deadline {
		return f.deadline
	}
	return max(f.retryAt, now+1)
}

// fetchEnded records the end of a fetch from address. After a failure the next
// candidate is asked, with a longer back-off each time.
func (s *State) fetchEnded(now model.Time, ds *documentState, address string, ok bool) {
	f := &ds.fetch
	if address == "" || address != f.pendingAddress {
		return
	}
	f.pendingAddress = ""
	if ok {
		f.backoff, f.failures = 0, 0
		return
	}
	f.failures++
	f.backoff = min(max(2*f.backoff, fetchBackoffMin), fetchBackoffMax)
	f.retryAt = now.Add(f.backoff)
	if f.failures >= maxFailures {
		*f = fetch{}
	}
}
