// Package documents decides which versions of the bundle, the controls and the
// epoch a daemon has in force and from where it fetches newer ones. A version
// in force only ever rises, whatever the platform or a peer serves.
package documents

import (
	"bytes"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// checkInterval bounds how long it stays unnoticed that this daemon joined or
// left the panel, which decides whether it watches the platform.
const checkInterval = 500 * time.Millisecond

// kinds in the order in which they are asked for.
var kinds = [...]event.DocumentKind{event.DocumentBundle, event.DocumentControls, event.DocumentEpoch}

// Config has no settings at present.
type Config struct{}

// View is what documents reads of other reducers.
type View interface {
	Header() model.Header
	OnPanel() bool
	HasEpoch() bool
	// Seeds are peer addresses to ask at the start.
	Seeds() []string
}

// holder is what this daemon has and knows of one kind of document.
type holder struct {
	kind  event.DocumentKind
	doc   event.Document
	fetch fetch
	start start
	// watching: the runtime keeps a watch on the platform object.
	watching bool
}

// State is the documents of one daemon. It is not safe for concurrent use.
type State struct {
	view    View
	holders [len(kinds)]holder
	ready   bool
	started model.Time
	next    model.Time
}

// New returns the state before Start.
func New(_ Config, view View) *State {
	s := &State{view: view, next: model.Never}
	for i, k := range kinds {
		s.holders[i].kind = k
	}
	return s
}

// Start asks all sources for the documents.
func (s *State) Start(m event.Meta, out *effect.List) {
	s.started = m.Now
	for i := range s.holders {
		s.askSources(m.Now, &s.holders[i], out)
	}
	s.step(m, out)
}

// Tick does what is due.
func (s *State) Tick(m event.Meta, out *effect.List) { s.step(m, out) }

// NextWake returns when the next Tick is due.
func (s *State) NextWake() model.Time { return s.next }

func (s *State) step(m event.Meta, out *effect.List) {
	s.updateWatches(out)
	for i := range s.holders {
		s.updateFetch(m.Now, &s.holders[i], out)
	}
	s.updateStart(m, out)
	s.next = m.Now.Add(checkInterval)
	for i := range s.holders {
		s.next = min(s.next, s.wakeFetch(m.Now, &s.holders[i]))
	}
	if !s.ready {
		s.next = min(s.next, m.Now.Add(startPoll))
	}
}

func (s *State) holder(kind event.DocumentKind) *holder {
	for i := range s.holders {
		if s.holders[i].kind == kind {
			return &s.holders[i]
		}
	}
	return nil
}

// have returns the version in force. The epoch in force is membership's, which
// has it before the document when this daemon wrote it.
func (s *State) have(h *holder) uint64 {
	if h.kind == event.DocumentEpoch {
		return max(h.doc.Version, s.view.Header().Epoch)
	}
	return h.doc.Version
}

// Bundle returns the bundle in force, nil at first.
func (s *State) Bundle() *model.Bundle { return s.holder(event.DocumentBundle).doc.Bundle }

// Controls returns the controls in force, nil at first.
func (s *State) Controls() *model.Controls { return s.holder(event.DocumentControls).doc.Controls }

// Versions returns the versions of bundle and controls in force, 0 for none.
func (s *State) Versions() (bundle, controls uint64) {
	return s.holder(event.DocumentBundle).doc.Version, s.holder(event.DocumentControls).doc.Version
}

// DocumentArrived takes a document from a peer or the platform.
func (s *State) DocumentArrived(m event.Meta, e event.DocumentArrived, out *effect.List) {
	h := s.holder(e.Document.Kind)
	if h == nil {
		return
	}
	s.putInForce(h, e, out)
	s.fetchEnded(m.Now, h, e.Address, e.Document.Version >= h.fetch.offered)
	s.sourceAnswered(m.Now, h, e)
	s.step(m, out)
}

// putInForce replaces the document in force by a newer one.
func (s *State) putInForce(h *holder, e event.DocumentArrived, out *effect.List) {
	d := e.Document
	fields := []logevent.Field{
		logevent.Str("kind", h.kind.String()), logevent.Int("version", d.Version),
		logevent.Int("in_force", h.doc.Version), logevent.Str("from", source(e.Address)),
	}
	switch {
	case d.Version > h.doc.Version:
		h.doc = d
		out.Log(logevent.DocumentInForce, fields...)
	case d.Version < h.doc.Version, !bytes.Equal(d.Raw, h.doc.Raw):
		out.Log(logevent.DocumentIgnored, fields...)
	}
}

func source(address string) string {
	if address == "" {
		return "platform"
	}
	return address
}

// DocumentFailed notes that a source did not give a valid document.
func (s *State) DocumentFailed(m event.Meta, e event.DocumentFailed, out *effect.List) {
	h := s.holder(e.Kind)
	if h == nil {
		return
	}
	if !e.NotFound {
		out.Log(logevent.DocumentFetchFailed, logevent.Str("kind", e.Kind.String()),
			logevent.Str("from", source(e.Address)), logevent.Str("error", e.Err))
	}
	s.fetchEnded(m.Now, h, e.Address, false)
	s.sourceFailed(m.Now, h, e)
	s.step(m, out)
}

// DocumentRequested answers a peer with the document in force.
func (s *State) DocumentRequested(_ event.Meta, e event.DocumentRequested, out *effect.List) {
	reply := effect.ReplyDocument{Token: e.Token, Header: s.view.Header()}
	if h := s.holder(e.Kind); h != nil {
		reply.Version, reply.Raw = h.doc.Version, h.doc.Raw
	}
	out.Add(reply)
}

// updateWatches keeps the platform watched by panel members and by daemons that
// know no epoch, so that the number of watches does not grow with the daemons.
func (s *State) updateWatches(out *effect.List) {
	want := s.view.OnPanel() || !s.view.HasEpoch()
	for i := range s.holders {
		h := &s.holders[i]
		if h.watching != want {
			h.watching = want
			out.Add(effect.WatchDocument{Kind: h.kind, Stop: !want})
		}
	}
}
