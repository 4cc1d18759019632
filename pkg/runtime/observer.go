package runtime

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Observer receives what the loop does, for metrics. Its methods must be cheap
// and safe for concurrent use.
type Observer interface {
	// Step is called after each handled event with the time spent in the core
	// and the number of events still queued.
	Step(body event.Body, took time.Duration, queued int)
	// Answered and Refused are called at the end of a request that a caller sent
	// to this daemon; requests forwarded by peers are not reported.
	Answered(class model.Class, a *model.Answer, took time.Duration)
	Refused(class model.Class, r *model.Refusal)
	// Abandoned is called for a request whose caller left.
	Abandoned(class model.Class)
	// SubResult is called at the end of a sub-request at a backend server.
	SubResult(r *model.SubResult)
	// Message is called at the end of a call to a peer; ok reports whether the
	// peer answered it.
	Message(kind string, ok bool)
}

// noObserver is the Observer of a Loop that was configured without one.
type noObserver struct{}

func (noObserver) Step(event.Body, time.Duration, int)                {}
func (noObserver) Answered(model.Class, *model.Answer, time.Duration) {}
func (noObserver) Refused(model.Class, *model.Refusal)                {}
func (noObserver) Abandoned(model.Class)                              {}
func (noObserver) SubResult(*model.SubResult)                         {}
func (noObserver) Message(string, bool)                               {}
