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

// fanOut pins the snapshot and picks a replica for each asked shard.
func (s *State) fanOut(c *step, r *run, p pin) {
	r.snapshot = p.snapshot
	r.shards = make([]shardRun, 0, p.asked)
	r.attempts = make([]attempt, 0, p.asked+p.asked/8+1)
	for i := range p.layout.Shards {
		shard := &p.layout.Shards[i]
		if r.req.Key == "" || shard.Holds(r.req.Key) {
			r.shards = append(r.shards, shardRun{shard: shard, dueAt: model.Never})
		}
	}
	r.open = len(r.shards)
	r.answered = 0
	c.out.Log(logevent.QuerySnapshot,
		logevent.Str("request", r.req.ID),
		logevent.Str("layout", r.snapshot.Layout),
		logevent.Int("index_version", r.snapshot.IndexVersion),
		logevent.Int("served", p.askedServed),
		logevent.Int("asked", p.asked))
	for i := range r.shards {
		s.tryAgain(c, r, i)
	}
}

// flush sends the picked attempts, one OpenExecute per owner.
func (s *State) flush(c *step, r *run) {
	if len(s.picks) == 0 {
		return
	}
	slices.SortFunc(s.picks, func(a, b pick) int {
		return cmp.Or(cmp.Compare(a.peer, b.peer), cmp.Compare(a.shard, b.shard))
	})
	s.logRouted(c, r)
	for rest := s.picks; len(rest) > 0; {
		n := 1
		for n < len(rest) && rest[n].peer == rest[0].peer {
			n++
		}
		s.open(c, r, rest[:n])
		rest = rest[n:]
	}
	s.picks = s.picks[:0]
}

// open sends attempts to one owner.
func (s *State) open(c *step, r *run, picks []pick) {
	s.lastStream++
	id := s.lastStream
	st := &stream{run: r, peer: picks[0].peer, address: picks[0].address, waiting: len(picks)}
	s.streams[id] = st
	r.streams = append(r.streams, id)
	subs := make([]model.SubRequest, len(picks))
	for i := range picks {
		subs[i] = s.send(c, r, &picks[i], id)
	}
	c.out.Add(effect.OpenExecute{Stream: id, Peer: st.peer, Address: st.address, Subs: subs})
}

// send records an attempt and returns its sub-request.
func (s *State) send(c *step, r *run, p *pick, id event.StreamID) model.SubRequest {
	s.lastAttempt++
	s.countAttempt(r, p.kind)
	r.sent++
	r.attempts = append(r.attempts, attempt{
		id: s.lastAttempt, shard: p.shard, server: p.server, stream: id, sentAt: c.Now, kind: p.kind,
	})
	sh := &r.shards[p.shard]
	sh.live++
	sh.tries++
	sh.dueAt = s.hedgeAt(c, r, sh)
	s.schedule(r, sh.dueAt)
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
		s.counts.First++
		r.service.hedges.earn(1, r.policy.HedgeBudget)
		r.service.retries.earn(1, r.policy.RetryBudget)
	case attemptHedge:
		s.counts.Hedges++
	case attemptRetry:
		s.counts.Retries++
	}
}

// logRouted logs the first attempts as one line with the owners and their
// numbers of shards; hedges and retries have lines of their own.
func (s *State) logRouted(c *step, r *run) {
	if s.picks[0].kind != attemptFirst {
		return
	}
	buf := make([]byte, 0, 128)
	for i := 0; i < len(s.picks); {
		n := 1
		for i+n < len(s.picks) && s.picks[i+n].peer == s.picks[i].peer {
			n++
		}
		if i > 0 {
			buf = append(buf, ' ')
		}
		buf = append(buf, s.picks[i].peer...)
		buf = append(buf, ':')
		buf = strconv.AppendInt(buf, int64(n), 10)
		i += n
	}
	c.out.Log(logevent.QueryRouted,
		logevent.Str("request", r.req.ID),
		logevent.Int("shards", len(s.picks)),
		logevent.Str("owners", string(buf)))
}
