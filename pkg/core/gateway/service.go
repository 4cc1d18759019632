package gateway

import (
	"slices"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/rollout"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// queueScanInterval is the interval at which queued parts are tried again.
	queueScanInterval = 10 * time.Millisecond
	// defaultConnections is used if the configuration does not say how many connections
	// a leaf accepts.
	defaultConnections = 64
	// reservedConnectionShare is the share of a leaf's connections that is left for
	// daemons that are being replaced: old connections may stay open after their process has ended.
	reservedConnectionShare = 0.1
)

// service is a set of interchangeable leafs.
type service struct {
	name    string
	config  ServiceConfig
	servers []*server
	retries retryBudget
	// reportsSlowdown means that a leaf has reported how long work takes on its VM.
	reportsSlowdown bool
	// queue holds parts that wait for a free connection or for a cold leaf.
	queue []queuedPart
	// rollout is nil if roll-outs are not followed.
	rollout *rollout.State
}

// queuedPart is a part of a query that no leaf could take yet.
type queuedPart struct {
	query *query
	part  int
}

func (s *State) service(name string) *service {
	svc, ok := s.services[name]
	if !ok {
		svc = &service{name: name}
		if s.config != nil {
			svc.config = s.config.Services[name]
		}
		svc.retries = s.newRetryBudget()
		svc.rollout = s.rolloutOf(name)
		s.services[name] = svc
	}
	return svc
}

func (svc *service) removeServer(srv *server) {
	svc.servers = slices.DeleteFunc(svc.servers, func(x *server) bool { return x == srv })
}

// maxConnections is the number of connections that this daemon may have to a leaf.
func (s *State) maxConnections(svc *service) int { return max(1, s.maxIdleConnections(svc)) }

// maxIdleConnections is the number of idle connections that this daemon may keep to a
// leaf. It is 0 if this daemon's share is less than one connection: a leaf that accepts
// fewer connections than there are daemons would otherwise reset those of the daemons
// that carry the traffic.
func (s *State) maxIdleConnections(svc *service) int {
	limit := svc.config.MaxConnections
	if limit <= 0 {
		limit = defaultConnections
	}
	return int(float64(limit) * (1 - reservedConnectionShare) * s.quotaShare())
}

// takeColdToken reports whether a leaf may get a request now, and takes a token for it
// if the leaf is cold. A warm leaf may get any number of requests, a cold one this
// daemon's share of the rate that it can handle.
func (s *State) takeColdToken(srv *server) bool {
	if !s.hasColdToken(srv) {
		return false
	}
	if srv.coldUntil > s.now && srv.svc.config.WarmUpPerSecond > 0 {
		srv.coldTokens--
	}
	return true
}

// hasColdToken refills the tokens of a cold leaf, up to one, and reports whether a
// request may be sent.
func (s *State) hasColdToken(srv *server) bool {
	rate := srv.svc.config.WarmUpPerSecond
	if srv.coldUntil <= s.now || rate <= 0 {
		return true
	}
	gained := s.now.Sub(srv.coldTokensAt).Seconds() * rate * s.quotaShare()
	srv.coldTokens = min(srv.coldTokens+gained, 1)
	srv.coldTokensAt = s.now
	return srv.coldTokens >= 1
}

// enqueuePart queues a part until a connection is free or a cold leaf can take it.
func (s *State) enqueuePart(q *query, i int) {
	p := &q.parts[i]
	p.state = partQueued
	p.queuedBecause = s.busyCause(p.svc)
	if len(p.svc.queue) == 0 {
		s.waitingServices = append(s.waitingServices, p.svc)
	}
	p.svc.queue = append(p.svc.queue, queuedPart{q, i})
}

// scanQueues sends the queued parts of all services that a leaf can take now.
func (s *State) scanQueues() {
	if len(s.waitingServices) == 0 {
		return
	}
	waiting := s.waitingServices
	s.waitingServices = nil
	for _, svc := range waiting {
		s.scanQueue(svc)
		if len(svc.queue) > 0 && !slices.Contains(s.waitingServices, svc) {
			s.waitingServices = append(s.waitingServices, svc)
		}
	}
}

// scanQueue sends queued parts that a leaf can take now, by priority and then by
// arrival. It drops parts that need no attempt any more or have no time left.
func (s *State) scanQueue(svc *service) {
	if len(svc.queue) == 0 {
		return
	}
	slices.SortStableFunc(svc.queue, compareQueued)
	remaining := svc.queue[:0]
	for _, queued := range svc.queue {
		p := &queued.query.parts[queued.part]
		if queued.query.closed || p.state != partQueued || s.now >= queued.query.leafDeadline {
			continue
		}
		srv, result := s.chooseLeaf(svc, queued.query, p)
		if result == leafsBusy {
			remaining = append(remaining, queued)
			continue
		}
		p.state = partOpen
		if result == noLeafLeft {
			s.partFailed(queued.query, queued.part, "no_server")
			continue
		}
		s.sendCall(queued.query, queued.part, srv, false)
	}
	clear(svc.queue[len(remaining):])
	svc.queue = remaining
}

// viewAge returns for how long the list of leafs has not been confirmed; 0 while calls
// to the store succeed.
func (s *State) viewAge() time.Duration {
	if !s.storeDown {
		return 0
	}
	return s.now.Sub(max(s.viewConfirmedAt, model.Time(0)))
}
