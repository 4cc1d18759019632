package query

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// fanOut sets the run's snapshot and plans the first attempt for each asked
// shard.
func (s *State) fanOut(c *eventContext, r *run, choice snapshotChoice) {
	r.snapshot = choice.snapshot
	r.shards = make([]shardRun, 0, choice.asked)
	r.attempts = make([]attempt, 0, choice.asked+choice.asked/8+1)
	for i := range choice.layout.Shards {
		shard := &choice.layout.Shards[i]
		if r.req.Key == "" || shard.Holds(r.req.Key) {
			r.shards = append(r.shards, shardRun{shard: shard, dueAt: model.Never})
		}
	}
	r.openShards = len(r.shards)
	r.answeredShards = 0
	c.out.Log(logevent.QuerySnapshot,
		logevent.Str("request", r.req.ID),
		logevent.Str("layout", r.snapshot.Layout),
		logevent.Int("index_version", r.snapshot.IndexVersion),
		logevent.Int("served", choice.askedServed),
		logevent.Int("asked", choice.asked))
	for i := range r.shards {
		s.tryShard(c, r, i)
	}
}

// sendPlanned sends the planned attempts, with one OpenExecute per owner.
func (s *State) sendPlanned(c *eventContext, r *run) {
	if len(s.planned) == 0 {
		return
	}
	slices.SortFunc(s.planned, func(a, b plannedAttempt) int {
		return cmp.Or(cmp.Compare(a.owner.VM, b.owner.VM), cmp.Compare(a.shard, b.shard))
	})
	s.logRouted(c, r)
	for rest := s.planned; len(rest) > 0; {
		n := 1
		for n < len(rest) && rest[n].owner == rest[0].owner {
			n++
		}
		s.openStream(c, r, rest[:n])
		rest = rest[n:]
	}
	s.planned = s.planned[:0]
}

// openStream opens a stream to one owner and sends it the planned attempts.
func (s *State) openStream(c *eventContext, r *run, planned []plannedAttempt) {
	s.lastStream++
	id := s.lastStream
	st := &stream{run: r, peer: planned[0].owner.VM, address: planned[0].address, pending: len(planned)}
	s.streams[id] = st
	r.streams = append(r.streams, id)
	subs := make([]model.SubRequest, len(planned))
	for i := range planned {
		subs[i] = s.startAttempt(c, r, &planned[i], id)
	}
	c.out.Add(effect.OpenExecute{Stream: id, Peer: st.peer, Address: st.address, Subs: subs})
}

// startAttempt records an attempt and returns its sub-request.
func (s *State) startAttempt(c *eventContext, r *run, p *plannedAttempt, id event.StreamID) model.SubRequest {
	s.lastAttempt++
	s.countAttempt(r, p.kind)
	r.attemptsSent++
	r.attempts = append(r.attempts, attempt{
		id: s.lastAttempt, shard: p.shard, server: p.server, owner: p.owner,
		stream: id, sentAt: c.Now, kind: p.kind,
	})
	sh := &r.shards[p.shard]
	sh.liveAttempts++
	sh.tries++
	sh.hedgeAt = s.hedgeAt(c, r, sh)
	sh.dueAt = r.nextCheck(c.Now, sh)
	s.scheduleWake(r, sh.dueAt)
	return model.SubRequest{
		Attempt:    s.lastAttempt,
		RequestID:  r.req.ID,
		Service:    r.req.Service,
		Caller:     r.req.Caller,
		Class:      r.req.Class,
		Idempotent: r.req.Idempotent,
		Deadline:   r.subDeadline,
		Query:      r.req.Query,
		Key:        r.req.Key,
		TopK:       r.req.TopK,
		Snapshot:   r.snapshot,
		Shard:      sh.shard.Name,
		Server:     p.server,
	}
}

func (s *State) countAttempt(r *run, kind attemptKind) {
	switch kind {
	case attemptFirst:
		s.counts.FirstAttempts++
		r.service.hedgeTokens.refill(1, r.policy.HedgeBudget)
		r.service.retryTokens.refill(1, r.policy.RetryBudget)
	case attemptHedge:
		s.counts.Hedges++
	case attemptRetry:
		s.counts.Retries++
	}
}

// logRouted logs the first attempts in one line that lists the owners with
// their numbers of shards. Hedges and retries are logged separately.
func (s *State) logRouted(c *eventContext, r *run) {
	if s.planned[0].kind != attemptFirst {
		return
	}
	buf := make([]byte, 0, 128)
	for i := 0; i < len(s.planned); {
		n := 1
		for i+n < len(s.planned) && s.planned[i+n].owner == s.planned[i].owner {
			n++
		}
		if i > 0 {
			buf = append(buf, ' ')
		}
		buf = append(buf, s.planned[i].owner.VM...)
		buf = append(buf, ':')
		buf = strconv.AppendInt(buf, int64(n), 10)
		i += n
	}
	c.out.Log(logevent.QueryRouted,
		logevent.Str("request", r.req.ID),
		logevent.Int("shards", len(s.planned)),
		logevent.Str("owners", string(buf)))
}
