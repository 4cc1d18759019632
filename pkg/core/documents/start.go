package documents

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// startupCheckInterval is how often a daemon that is not ready checks what it
	// still lacks.
	startupCheckInterval = 50 * time.Millisecond
	// seedTimeout is how long a starting daemon waits for seeds that do not answer.
	seedTimeout = 2 * time.Second
	// askBackoffMin and askBackoffMax bound the wait until the platform and the
	// seeds are asked again if they gave no document.
	askBackoffMin = time.Second
	askBackoffMax = 8 * time.Second
	// confirmTimeout is the time without an answer after which a confirmation is
	// repeated.
	confirmTimeout = 20 * time.Second
)

// startup holds what the platform and the seeds told a starting daemon about one
// kind of document.
type startup struct {
	// unansweredSeeds are the seeds that have not answered since askedAt.
	unansweredSeeds map[string]bool
	askedAt         model.Time
	// readPending: the platform has not answered yet. notFound: it has no such
	// document.
	readPending bool
	notFound    bool
	backoff     time.Duration
	// fromPeer: a peer gave this document, so the version in force is at least as
	// new as that peer's.
	fromPeer bool
	// platformCopy is the copy read from the platform. If no peer gives the
	// document, the copy has to be confirmed as current.
	platformCopy  event.Document
	objectVersion uint64
	confirmed     bool
	// confirmingVersion is the object version whose confirmation is under way, 0 if
	// none is; confirmDeadline is when that confirmation times out.
	confirmingVersion uint64
	confirmDeadline   model.Time
	retryAt           model.Time
}

// askSources asks the platform and all seeds for the document.
func (s *State) askSources(now model.Time, ds *documentState, out *effect.List) {
	st := &ds.startup
	st.askedAt = now
	st.unansweredSeeds = make(map[string]bool)
	st.backoff = min(max(2*st.backoff, askBackoffMin), askBackoffMax)
	st.readPending = true
	out.Add(effect.ReadDocument{Kind: ds.kind})
	for _, a := range s.view.Seeds() {
		if st.unansweredSeeds[a] {
			continue
		}
		st.unansweredSeeds[a] = true
		out.Add(effect.FetchDocument{Kind: ds.kind, Address: a})
	}
}

func (s *State) sourceAnswered(now model.Time, ds *documentState, e event.DocumentArrived) {
	st := &ds.startup
	if e.Address != "" {
		delete(st.unansweredSeeds, e.Address)
		st.fromPeer = true
		return
	}
	st.readPending = false
	st.notFound = false
	if e.ObjectVersion > st.objectVersion {
		// An earlier confirmation stays valid: whatever changed the object after
		// it, such as this daemon's own confirming rewrite, is newer.
		st.platformCopy, st.objectVersion = e.Document, e.ObjectVersion
	}
}

func (s *State) sourceFailed(now model.Time, ds *documentState, e event.DocumentFailed) {
	st := &ds.startup
	if e.Address != "" {
		delete(st.unansweredSeeds, e.Address)
		return
	}
	st.readPending = false
	if e.NotFound {
		st.notFound = true
	}
}

// seedWaitOver reports whether every seed has answered or seedTimeout has passed.
func (st *startup) seedWaitOver(now model.Time) bool {
	return len(st.unansweredSeeds) == 0 || now >= st.askedAt.Add(seedTimeout)
}

// updateStartup checks whether the bundle and the controls in force are the
// newest, and requests what is missing for that. While no epoch is known it also
// asks for the epoch again. A daemon that is ready stays ready: from then on the
// panel refuses a lease to a daemon with an old version.
func (s *State) updateStartup(m event.Meta, out *effect.List) {
	if !s.view.HasEpoch() {
		s.askSourcesAgain(m.Now, s.stateOf(event.DocumentEpoch), out)
	}
	if s.ready {
		return
	}
	bundle := s.ensureNewest(m.Now, s.stateOf(event.DocumentBundle), out)
	controls := s.ensureNewest(m.Now, s.stateOf(event.DocumentControls), out)
	if !bundle || !controls || s.Bundle() == nil {
		return
	}
	s.ready = true
	b, c := s.Versions()
	out.Log(logevent.DocumentsReady, logevent.Int("bundle", b), logevent.Int("controls", c))
}

// ensureNewest reports whether the version in force is known to be the newest. If
// only the platform gave a copy, that copy may be stale, so it is confirmed first.
func (s *State) ensureNewest(now model.Time, ds *documentState, out *effect.List) bool {
	st := &ds.startup
	if !st.seedWaitOver(now) || ds.fetch.offered > s.versionInForce(ds) {
		return false
	}
	// A peer that gave a bundle is a running daemon. If it gave no controls, there
	// are none in force.
	if s.stateOf(event.DocumentBundle).startup.fromPeer {
		return true
	}
	if st.objectVersion == 0 {
		if st.notFound && ds.kind != event.DocumentBundle {
			return true
		}
		s.askSourcesAgain(now, ds, out)
		return false
	}
	if !st.confirmed {
		s.requestConfirmation(now, ds, out)
	}
	return st.confirmed
}

// askSourcesAgain asks the platform and the seeds again once the back-off is over.
func (s *State) askSourcesAgain(now model.Time, ds *documentState, out *effect.List) {
	st := &ds.startup
	if st.readPending && now < st.askedAt.Add(askBackoffMax) || now < st.askedAt.Add(st.backoff) {
		return
	}
	s.askSources(now, ds, out)
}

func (s *State) requestConfirmation(now model.Time, ds *documentState, out *effect.List) {
	st := &ds.startup
	if st.confirmingVersion != 0 && now < st.confirmDeadline || now < st.retryAt {
		return
	}
	st.confirmingVersion = st.objectVersion
	st.confirmDeadline = now.Add(confirmTimeout)
	out.Add(effect.ConfirmDocument{Kind: ds.kind, Raw: st.platformCopy.Raw, ObjectVersion: st.objectVersion})
}

// DocumentConfirmed handles the outcome of a confirmation. A conflict means that
// the copy was stale, so the object is read again.
func (s *State) DocumentConfirmed(m event.Meta, e event.DocumentConfirmed, out *effect.List) {
	ds := s.stateOf(e.Kind)
	if ds == nil || ds.startup.confirmingVersion == 0 {
		return
	}
	st := &ds.startup
	confirmedVersion := st.confirmingVersion
	st.confirmingVersion = 0
	switch {
	case e.Err == "" && !e.Conflict:
		st.confirmed = true
		out.Log(logevent.DocumentConfirmed, logevent.Str("kind", e.Kind.String()), logevent.Int("version", st.platformCopy.Version))
	case confirmedVersion == st.objectVersion:
		out.Log(logevent.DocumentConfirmFailed, logevent.Str("kind", e.Kind.String()), logevent.Str("error", e.Err))
		// Also read the object again after an error, whose outcome is unknown: the
		// rewrite may have taken effect and changed the object's version.
		st.retryAt = m.Now.Add(askBackoffMin)
		st.readPending = true
		out.Add(effect.ReadDocument{Kind: ds.kind})
	}
	s.update(m, out)
}

// Ready reports whether, since startup, the newest bundle and controls that the
// daemon could learn of have been in force. Once true it stays true.
func (s *State) Ready() bool { return s.ready }
