package query

import "github.com/pistachiousher/pistachiousher/pkg/model"

// serviceState is the part of a service's state that outlives a single query.
type serviceState struct {
	running         int
	runningByCaller map[model.CallerName]int
	latency         latencyEstimator
	hedgeTokens     tokenBucket
	retryTokens     tokenBucket

	throttles [model.NumClasses]throttle
}

func (s *State) service(name model.ServiceName) *serviceState {
	sv := s.services[name]
	if sv == nil {
		sv = &serviceState{runningByCaller: make(map[model.CallerName]int)}
		sv.hedgeTokens.burst = hedgeBurst
		sv.retryTokens.burst = retryBurst
		sv.retryTokens.tokens = retryBurst
		s.services[name] = sv
	}
	return sv
}

func (sv *serviceState) addRunning(caller model.CallerName) {
	sv.running++
	sv.runningByCaller[caller]++
}

func (sv *serviceState) removeRunning(caller model.CallerName) {
	sv.running--
	sv.runningByCaller[caller]--
	if sv.runningByCaller[caller] == 0 {
		delete(sv.runningByCaller, caller)
	}
}

// pruneRemoved deletes the state of services and servers that a new bundle no
// longer contains. A service with running queries is kept until a later bundle.
func (s *State) pruneRemoved() {
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
	for name := range s.serverTimes {
		if _, ok := b.Server(name); !ok {
			delete(s.serverTimes, name)
		}
	}
}
