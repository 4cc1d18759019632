package query

import "github.com/pistachiousher/pistachiousher/pkg/model"

// service is what is remembered of a service between queries.
type service struct {
	running int
	callers map[model.CallerName]int
	latency latency
	hedges  bucket
	retries bucket

	throttles [model.NumClasses]throttle
}

func (s *State) service(name model.ServiceName) *service {
	sv := s.services[name]
	if sv == nil {
		sv = &service{callers: make(map[model.CallerName]int)}
		sv.hedges.burst = hedgeBurst
		sv.retries.burst = retryBurst
		sv.retries.tokens = retryBurst
		s.services[name] = sv
	}
	return sv
}

func (sv *service) enter(caller model.CallerName) {
	sv.running++
	sv.callers[caller]++
}

func (sv *service) leave(caller model.CallerName) {
	sv.running--
	sv.callers[caller]--
	if sv.callers[caller] == 0 {
		delete(sv.callers, caller)
	}
}

// pruneServices forgets idle services and servers that a new bundle no longer
// has.
func (s *State) pruneServices() {
	b := s.view.Bundle()
	if b == nil || b.Version == s.bundleVersion {
		return
	}
	s.bundleVersion = b.Version
	for name, sv := range s.services {
		if _, ok := b.Service(name); !ok && sv.running == 0 {
			delete(s.services, name)
		}
	}
	for name := range s.waits {
		if _, ok := b.Server(name); !ok {
			delete(s.waits, name)
		}
	}
}
