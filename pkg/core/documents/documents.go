// Package documents decides which versions of the bundle, the controls and the
// epoch a daemon has in force, and from which peer or the platform it fetches
// newer ones. A version in force never goes back, whatever the platform or a peer
// serves.
package documents

import (
	"bytes"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// panelCheckInterval bounds the time until this daemon notices that it joined or
// left the panel, which decides whether it watches the platform.
const panelCheckInterval = 500 * time.Millisecond

// kinds lists the kinds of documents in the order in which a daemon asks for them.
var kinds = [...]event.DocumentKind{event.DocumentBundle, event.DocumentControls, event.DocumentEpoch}

// Config is empty: the reducer has no settings.
type Config struct{}

// View gives the documents reducer read access to the state of other reducers.
type View interface {
	Header() model.Header
	OnPanel() bool
	HasEpoch() bool
	// Seeds returns the peer addresses that the daemon asks at startup.
	Seeds() []string
}

// documentState holds the document of one kind that is in force, and how far the
// startup and the fetch of a newer version have come.
type documentState struct {
	kind    event.DocumentKind
	doc     event.Document
	fetch   fetch
	startup startup
	// watching: the runtime keeps a watch on the platform object.
	watching bool
}

// State holds the documents of one daemon. It is not safe for concurrent use.
type State struct {
	view      View
	states    [len(kinds)]documentState
	ready     bool
	startedAt model.Time
	nextWake  model.Time
}

// New returns a State without documents. Start must be called first.
func New(_ Config, view View) *State {
	s := &State{view: view, nextWake: model.Never}
	for i, k := range kinds {
		s.states[i].kind = k
	}
	return s
}

// Start asks the platform and all seeds for the documents.
func (s *State) Start(m event.Meta, out *effect.List) {
	s.startedAt = m.Now
	for i := range s.states {
		s.askSources(m.Now, &s.states[i], out)
	}
	s.update(m, out)
}

// Tick starts fetches, retries and confirmations that are due.
func (s *State) Tick(m event.Meta, out *effect.List) { s.update(m, out) }

// NextWake returns when the next Tick is due.
func (s *State) NextWake() model.Time { return s.nextWake }

func (s *State) update(m event.Meta, out *effect.List) {
	s.updateWatches(out)
	for i := range s.states {
		s.updateFetch(m.Now, &s.states[i], out)
	}
	s.updateStartup(m, out)
	s.nextWake = m.Now.Add(panelCheckInterval)
	for i := range s.states {
		s.nextWake = min(s.nextWake, s.nextFetchWake(m.Now, &s.states[i]))
	}
	if !s.ready {
		s.nextWake = min(s.nextWake, m.Now.Add(startupCheckInterval))
	}
}

func (s *State) stateOf(kind event.DocumentKind) *documentState {
	for i := range s.states {
		if s.states[i].kind == kind {
			return &s.states[i]
		}
	}
	return nil
}

// versionInForce returns the version in force. For the epoch that is the
// membership reducer's, which knows an epoch that this daemon wrote before the
// document arrives here.
func (s *State) versionInForce(ds *documentState) uint64 {
	if ds.kind == event.DocumentEpoch {
		return max(ds.doc.Version, s.view.Header().Epoch)
	}
	return ds.doc.Version
}

// Bundle returns the bundle in force, nil if there is none yet.
func (s *State) Bundle() *model.Bundle { return s.stateOf(event.DocumentBundle).doc.Bundle }

// Controls returns the controls in force, nil if there are none yet.
func (s *State) Controls() *model.Controls { return s.stateOf(event.DocumentControls).doc.Controls }

// Versions returns the versions of bundle and controls in force, 0 for none.
func (s *State) Versions() (bundle, controls uint64) {
	return s.stateOf(event.DocumentBundle).doc.Version, s.stateOf(event.DocumentControls).doc.Version
}

// DocumentArrived handles a document from a peer or the platform.
func (s *State) DocumentArrived(m event.Meta, e event.DocumentArrived, out *effect.List) {
	ds := s.stateOf(e.Document.Kind)
	if ds == nil {
		return
	}
	s.applyIfNewer(ds, e, out)
	s.fetchEnded(m.Now, ds, e.Address, e.Document.Version >= ds.fetch.offered)
	s.sourceAnswered(m.Now, ds, e)
	s.update(m, out)
}

// applyIfNewer puts the document in force if its version is higher. It logs a
// document that is older, or that differs from the one in force under the same
// version, and ignores it.
func (s *State) applyIfNewer(ds *documentState, e event.DocumentArrived, out *effect.List) {
	d := e.Document
	fields := []logevent.Field{
		logevent.Str("kind", ds.kind.String()), logevent.Int("version", d.Version),
		logevent.Int("in_force", ds.doc.Version), logevent.Str("from", sourceName(e.Address)),
	}
	switch {
	case d.Version > ds.doc.Version:
		ds.doc = d
		out.Log(logevent.DocumentInForce, fields...)
	case d.Version < ds.doc.Version, !bytes.Equal(d.Raw, ds.doc.Raw):
		out.Log(logevent.DocumentIgnored, fields...)
	}
}

func sourceName(address string) string {
	if address == "" {
		return "platform"
	}
	return address
}

// DocumentFailed handles the failure of a peer or the platform to give a valid
// document.
func (s *State) DocumentFailed(m event.Meta, e event.DocumentFailed, out *effect.List) {
	ds := s.stateOf(e.Kind)
	if ds == nil {
		return
	}
	if !e.NotFound {
		out.Log(logevent.DocumentFetchFailed, logevent.Str("kind", e.Kind.String()),
			logevent.Str("from", sourceName(e.Address)), logevent.Str("error", e.Err))
	}
	s.fetchEnded(m.Now, ds, e.Address, false)
	s.sourceFailed(m.Now, ds, e)
	s.update(m, out)
}

// DocumentRequested answers a peer with the document in force.
func (s *State) DocumentRequested(_ event.Meta, e event.DocumentRequested, out *effect.List) {
	reply := effect.ReplyDocument{Token: e.Token, Header: s.view.Header()}
	if ds := s.stateOf(e.Kind); ds != nil {
		reply.Version, reply.Raw = ds.doc.Version, ds.doc.Raw
	}
	out.Add(reply)
}

// updateWatches starts or stops the watches on the platform. Only panel members
// and daemons that know no epoch watch it, so that the number of watches does not
// grow with the number of daemons.
func (s *State) updateWatches(out *effect.List) {
	want := s.view.OnPanel() || !s.view.HasEpoch()
	for i := range s.states {
		ds := &s.states[i]
		if ds.watching != want {
			ds.watching = want
			out.Add(effect.WatchDocument{Kind: ds.kind, Stop: !want})
		}
	}
}
