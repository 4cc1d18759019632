package gateway

import (
	"strings"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// notReadyLogDelay is how long a daemon may take to become ready before it logs why it
	// is not.
	notReadyLogDelay = time.Second
	// notReadyLogInterval is the least time between two such lines.
	notReadyLogInterval = 5 * time.Second
	// maxCauseBytes bounds the causes that are shown of a daemon that is not ready.
	maxCauseBytes = 300
)

// StoreObjects are the objects that a call to the store is about, as far as a daemon needs
// them to become ready.
type StoreObjects uint8

// Objects of the store.
const (
	OtherObjects StoreObjects = iota
	ConfigObjects
	ServerObjects
	storeObjectsCount
)

// readiness is what is known about why the daemon is not ready.
type readiness struct {
	// callFailures says why the last call about objects failed; empty if it did not.
	callFailures [storeObjectsCount]string
	// configFault says why there is no configuration, or why the one that was read last
	// cannot be used.
	configFault string
	// logged are the causes that were logged last, at loggedAt; readyLogged means that the
	// daemon's readiness was logged since.
	logged      string
	loggedAt    model.Time
	readyLogged bool
}

// Ready reports whether the daemon may receive requests.
func (s *State) Ready() bool { return s.config != nil && s.serversKnown && !s.stopping }

// NotReady returns what keeps the daemon from receiving requests; nothing if it may.
func (s *State) NotReady() []string {
	var causes []string
	if s.stopping {
		causes = append(causes, "the daemon stops")
	}
	if s.config == nil {
		causes = append(causes, "no configuration: "+s.causeWithout(ConfigObjects, s.readiness.configFault))
	}
	if !s.serversKnown {
		causes = append(causes, "no list of leafs: "+s.causeWithout(ServerObjects, ""))
	}
	return causes
}

// causeWithout says why objects are not known; fault is what is known besides failed calls.
func (s *State) causeWithout(objects StoreObjects, fault string) string {
	failure := s.readiness.callFailures[objects]
	switch {
	case failure != "":
		return failure
	case fault != "":
		return fault
	}
	for _, failure := range s.readiness.callFailures {
		if failure != "" {
			return failure
		}
	}
	return "the store has not answered yet"
}

// callEnded records whether the last call about objects failed, and why.
func (r *readiness) callEnded(e StoreReached) {
	r.callFailures[e.Objects] = ""
	if !e.OK {
		r.callFailures[e.Objects] = shorten(e.Cause)
	}
}

// configUnusable records why the configuration that was read last is not in force.
func (s *State) configUnusable(e ConfigUnusable) { s.readiness.configFault = shorten(e.Cause) }

func shorten(cause string) string {
	return strings.ToValidUTF8(cause[:min(len(cause), maxCauseBytes)], "")
}

// logReadiness logs when the daemon becomes ready, and until then what it lacks.
func (s *State) logReadiness() {
	r := &s.readiness
	switch {
	case r.readyLogged || s.stopping:
		return
	case s.Ready():
		r.readyLogged = true
		s.emit(Log{Kind: LogReady, Duration: time.Duration(s.now)})
		return
	case s.now < model.Time(notReadyLogDelay), r.logged != "" && s.now.Sub(r.loggedAt) < notReadyLogInterval:
		return
	}
	if causes := strings.Join(s.NotReady(), "; "); causes != r.logged {
		r.logged, r.loggedAt = causes, s.now
		s.emit(Log{Kind: LogNotReady, Detail: causes, Duration: time.Duration(s.now)})
	}
}
