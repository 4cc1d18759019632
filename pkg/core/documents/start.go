package documents

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// startPoll is how often a daemon that is not ready looks what to do next.
	startPoll = 50 * time.Millisecond
	// seedWait is how long a start waits for seeds that do not answer.
	seedWait = 2 * time.Second
	// askBackoffMin and askBackoffMax bound the wait until sources that gave
	// nothing are asked again.
	askBackoffMin = time.Second
	askBackoffMax = 8 * time.Second
	// confirmTimeout lets a confirmation be repeated whose answer is missing.
	confirmTimeout = 20 * time.Second
)

// start is what a new daemon heard about one kind of document.
type start struct {
	// waiting are the seeds that have not answered yet, since asked.
	waiting map[string]bool
	asked   model.Time
	// readPending: the platform has not answered yet. absent: it has none.
	readPending bool
	absent      bool
	backoff     time.Duration
	// fromPeer: a peer gave this document, so that the version in force is as
	// new as that peer's.
	fromPeer bool
	// object is the platform copy that has to be confirmed when no peer gives
	// the document.
	object        event.Document
	objectVersion uint64
	confirmed     bool
	// confirming is the object version being confirmed, 0 if none is.
	confirming   uint64
	confirmUntil model.Time
	retry        model.Time
}

// askSources asks the platform and all seeds.
func (s *State) askSources(now model.Time, h *holder, out *effect.List) {
	st := &h.start
	st.asked = now
	st.waiting = make(map[string]bool)
	st.backoff = min(max(2*st.backoff, askBackoffMin), askBackoffMax)
	st.readPending = true
	out.Add(effect.ReadDocument{Kind: h.kind})
	for _, a := range s.view.Seeds() {
		if st.waiting[a] {
			continue
		}
		st.waiting[a] = true
		out.Add(effect.FetchDocument{Kind: h.kind, Address: a})
	}
}

func (s *State) sourceAnswered(now model.Time, h *holder, e event.DocumentArrived) {
	st := &h.start
	if e.Address != "" {
		delete(st.waiting, e.Address)
		st.fromPeer = true
		return
	}
	st.readPending = false
	st.absent = false
	if e.ObjectVersion > st.objectVersion {
		// A confirmation stays valid: what changed after it, this daemon's own
		// rewrite included, is newer.
		st.object, st.objectVersion = e.Document, e.ObjectVersion
	}
}

func (s *State) sourceFailed(now model.Time, h *holder, e event.DocumentFailed) {
	st := &h.start
	if e.Address != "" {
		delete(st.waiting, e.Address)
		return
	}
	st.readPending = false
	if e.NotFound {
		st.absent = true
	}
}

// seedsHeard reports whether every seed answered or had the time to.
func (st *start) seedsHeard(now model.Time) bool {
	return len(st.waiting) == 0 || now >= st.asked.Add(seedWait)
}

// updateStart finds out whether this daemon has the highest versions that it
// was offered, and does what is missing. Once ready it stays so: from then on
// the panel refuses a lease to a daemon with an old version.
func (s *State) updateStart(m event.Meta, out *effect.List) {
	if !s.view.HasEpoch() {
		s.askAgain(m.Now, s.holder(event.DocumentEpoch), out)
	}
	if s.ready {
		return
	}
	bundle := s.settle(m.Now, s.holder(event.DocumentBundle), out)
	controls := s.settle(m.Now, s.holder(event.DocumentControls), out)
	if !bundle || !controls || s.Bundle() == nil {
		return
	}
	s.ready = true
	b, c := s.Versions()
	out.Log(logevent.DocumentsReady, logevent.Int("bundle", b), logevent.Int("controls", c))
}

// settle reports whether the version in force is known to be the newest. A
// copy that only the platform gave may be stale, so it is confirmed first.
func (s *State) settle(now model.Time, h *holder, out *effect.List) bool {
	st := &h.start
	if !st.seedsHeard(now) || h.fetch.offered > s.have(h) {
		return false
	}
	// A peer with a bundle is a running daemon; if it gave no controls, it has
	// none.
	if s.holder(event.DocumentBundle).start.fromPeer {
		return true
	}
	if st.objectVersion == 0 {
		if st.absent && h.kind != event.DocumentBundle {
			return true
		}
		s.askAgain(now, h, out)
		return false
	}
	if !st.confirmed {
		s.confirm(now, h, out)
	}
	return st.confirmed
}

// askAgain repeats the questions of the start with back-off.
func (s *State) askAgain(now model.Time, h *holder, out *effect.List) {
	st := &h.start
	if st.readPending && now < st.asked.Add(askBackoffMax) || now < st.asked.Add(st.backoff) {
		return
	}
	s.askSources(now, h, out)
}

func (s *State) confirm(now model.Time, h *holder, out *effect.List) {
	st := &h.start
	if st.confirming != 0 && now < st.confirmUntil || now < st.retry {
		return
	}
	st.confirming = st.objectVersion
	st.confirmUntil = now.Add(confirmTimeout)
	out.Add(effect.ConfirmDocument{Kind: h.kind, Raw: st.object.Raw, ObjectVersion: st.objectVersion})
}

// DocumentConfirmed takes the outcome of a confirmation. A conflict means that
// the copy was stale: it is read again.
func (s *State) DocumentConfirmed(m event.Meta, e event.DocumentConfirmed, out *effect.List) {
	h := s.holder(e.Kind)
	if h == nil || h.start.confirming == 0 {
		return
	}
	st := &h.start
	wasFor := st.confirming
	st.confirming = 0
	switch {
	case e.Err == "" && !e.Conflict:
		st.confirmed = true
		out.Log(logevent.DocumentConfirmed, logevent.Str("kind", e.Kind.String()), logevent.Int("version", st.object.Version))
	case wasFor == st.objectVersion:
		out.Log(logevent.DocumentConfirmFailed, logevent.Str("kind", e.Kind.String()), logevent.Str("error", e.Err))
		// After an unknown outcome too: the rewrite may have taken effect and
		// changed the object's version.
		st.retry = m.Now.Add(askBackoffMin)
		st.readPending = true
		out.Add(effect.ReadDocument{Kind: h.kind})
	}
	s.step(m, out)
}

// Ready reports whether the highest version offered at the start is in force.
func (s *State) Ready() bool { return s.ready }
