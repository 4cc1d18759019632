package runtime

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Observer is told what the loop does, for metrics. Its methods must be cheap
// and safe for concurrent use.
type Observer interface {
	// Step is one event handled, with the time in the core and the number of
	// events still queued.
	Step(body event.Body, took time.Duration, queued int)
	// Answered and Refused end a request of a caller of this daemon.
	Answered(class model.Class, a *model.Answer, took time.Duration)
	Refused(class model.Class, r *model.Refusal)
	// Abandoned is a request whose caller left.
	Abandoned(class model.Class)
	// SubResult is the end of a sub-request at a backend server.
	SubResult(r *model.SubResult)
	// Message is a message sent to a peer and whether it was answered.
	Message(kind string, ok bool)
}

// noObserver ignores everything.
type noObserver struct{}

func (noObserver) Step(event.Body, time.Duration, int)                {}
func (noObserver) Answered(model.Class, *model.Answer, time.Duration) {}
func (noObserver) Refused(model.Class, *model.Refusal)                {}
func (noObserver) Abandoned(model.Class)                              {}
func (noObserver) SubResult(*model.SubResult)                         {}
func (noObserver) Message(string, bool)                               {}
