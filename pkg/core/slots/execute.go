package slots

import (
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// ExecuteArrived queues or starts the sub-requests of a stream.
func (s *State) ExecuteArrived(m event.Meta, e event.ExecuteArrived, out *effect.List) {
	st := s.streams[e.Stream]
	if st == nil {
		st = &stream{id: e.Stream, tasks: make([]*task, 0, len(e.Subs))}
		s.streams[e.Stream] = st
	}
	st.open += len(e.Subs)
	tasks := make([]task, len(e.Subs))
	for i := range e.Subs {
		t := &tasks[i]
		t.sub, t.stream, t.arrived = e.Subs[i], st, m.Now
		// A class that a newer daemon knows has the lowest priority here.
		t.sub.Class = min(t.sub.Class, model.Bulk)
		s.take(m, t, out)
	}
}

// take admits one sub-request and starts it if its server has a free slot.
func (s *State) take(m event.Meta, t *task, out *effect.List) {
	if _, ok := s.tasks[t.key()]; ok {
		out.Log(logevent.SlotsDuplicateAttempt, logevent.Str("from", t.stream.id.From.VM), logevent.Int("attempt", t.sub.Attempt))
		// The first copy may run, so this one must not say that it did not.
		s.reply(t, model.SubResult{Outcome: model.OutcomeFailed}, out)
		return
	}
	v := s.serverFor(t.sub.Server)
	if v == nil {
		s.reply(t, model.SubResult{Outcome: model.OutcomeNotOwner}, out)
		return
	}
	t.server = v
	if outcome := s.admit(m, t); outcome != model.OutcomeOK {
		s.refuse(m, t, outcome, out)
		return
	}
	s.tasks[t.key()] = t
	t.stream.tasks = append(t.stream.tasks, t)
	if v.queue.length == 0 && v.taken() < v.limit(s.view.Daemons()) {
		s.start(m, t, out)
		return
	}
	s.enqueue(m, t, out)
}

// admit returns OutcomeOK or the reason not to queue the task.
func (s *State) admit(m event.Meta, t *task) model.Outcome {
	v := t.server
	if v.needsOwner() && !s.view.MayAct(m.Now, v.name) {
		return model.OutcomeNotOwner
	}
	if v.gate.closed() {
		return model.OutcomeDrained
	}
	limit := v.limit(s.view.Daemons())
	ahead := max(0, v.queue.ahead(t.sub.Class)+v.taken()+1-limit)
	idle := v.running == 0 && v.queue.length == 0 || v.routing() == model.RoutingDirect
	if v.tooLate(m.Now, t.sub.Deadline, ahead, limit, idle) {
		return model.OutcomeExpired
	}
	return model.OutcomeOK
}

// enqueue adds the task to its server's queue; if that is full, the task that
// gives way is refused.
func (s *State) enqueue(m event.Meta, t *task, out *effect.List) {
	v := t.server
	share := v.share(t.sub.Caller)
	if v.queue.length >= v.queueLimit() {
		victim := v.queue.makeRoom(t, share, v.queueLimit())
		if victim == nil {
			s.refuse(m, t, model.OutcomeQueueFull, out)
			return
		}
		s.refuseQueued(m, victim, model.OutcomeQueueFull, out)
	}
	t.state = taskQueued
	v.queue.push(t, share)
	s.expiring.push(t)
}

// dequeue takes a waiting task out of the queue.
func (s *State) dequeue(t *task) {
	t.server.queue.remove(t)
	s.expiring.remove(t)
}

// pump starts waiting tasks while the server has free slots.
func (s *State) pump(m event.Meta, v *server, out *effect.List) {
	if v.queue.length == 0 {
		return
	}
	limit := v.limit(s.view.Daemons())
	for v.taken() < limit {
		t := v.queue.pop()
		if t == nil {
			return
		}
		s.expiring.remove(t)
		if v.tooLate(m.Now, t.sub.Deadline, 0, limit, v.running == 0) {
			s.refuse(m, t, model.OutcomeExpired, out)
			continue
		}
		s.start(m, t, out)
	}
}

// start sends the task to its server unless this daemon may no longer do so.
func (s *State) start(m event.Meta, t *task, out *effect.List) {
	v := t.server
	deadline := t.sub.Deadline
	if v.needsOwner() {
		if !s.view.MayAct(m.Now, v.name) {
			s.refuse(m, t, model.OutcomeNotOwner, out)
			return
		}
		// The work must have ended at the server before another daemon can
		// become its owner.
		deadline = min(deadline, s.view.LeaseUntil(m.Now))
	}
	t.state, t.sent = taskRunning, m.Now
	v.running++
	out.Add(effect.CallBackend{From: t.stream.id.From, Sub: t.sub, Address: v.def.Address, Deadline: deadline})
}

// refuse ends a task that is not in a queue and was never sent.
func (s *State) refuse(m event.Meta, t *task, outcome model.Outcome, out *effect.List) {
	t.server.refused[outcome]++
	r := model.SubResult{Outcome: outcome, QueueTime: m.Now.Sub(t.arrived)}
	if outcome == model.OutcomeQueueFull || outcome == model.OutcomeExpired {
		r.RetryAfter = t.server.retryAfter(s.view.Daemons())
	}
	s.finish(t, r, out)
}

// refuseQueued ends a waiting task.
func (s *State) refuseQueued(m event.Meta, t *task, outcome model.Outcome, out *effect.List) {
	s.dequeue(t)
	s.refuse(m, t, outcome, out)
}

// refuseAll ends all waiting tasks of a server in the order in which they
// would have started.
func (s *State) refuseAll(m event.Meta, v *server, outcome model.Outcome, out *effect.List) {
	for t := v.queue.pop(); t != nil; t = v.queue.pop() {
		s.expiring.remove(t)
		s.refuse(m, t, outcome, out)
	}
}

// retryAfter estimates when the present queue has drained.
func (v *server) retryAfter(daemons int) time.Duration {
	return waitTime(v.latency.service(), v.queue.length+1, v.limit(daemons))
}

// finish removes the task and sends its result.
func (s *State) finish(t *task, r model.SubResult, out *effect.List) {
	t.state = taskDone
	if s.tasks[t.key()] == t {
		delete(s.tasks, t.key())
	}
	s.reply(t, r, out)
}

// reply sends a result on the task's stream and closes the stream with the
// last one.
func (s *State) reply(t *task, r model.SubResult, out *effect.List) {
	st := t.stream
	st.open--
	if st.open == 0 {
		delete(s.streams, st.id)
	}
	if st.gone {
		return
	}
	r.Attempt, r.Server = t.sub.Attempt, t.sub.Server
	if r.Outcome != model.OutcomeOK {
		r.Shard, r.Snapshot = t.sub.Shard, t.sub.Snapshot
	}
	out.Add(effect.SendSubResult{Stream: st.id, Result: r, Last: st.open == 0})
}

// CancelArrived stops attempts. A waiting one was never sent and ends as
// expired; a running one keeps its slot until the call has ended.
func (s *State) CancelArrived(m event.Meta, e event.CancelArrived, out *effect.List) {
	for _, a := range e.Attempts {
		if t, ok := s.tasks[attemptKey{e.From, a}]; ok {
			s.cancel(m, t, out)
		}
	}
}

func (s *State) cancel(m event.Meta, t *task, out *effect.List) {
	switch {
	case t.state == taskQueued:
		s.dequeue(t)
		s.finish(t, model.SubResult{Outcome: model.OutcomeExpired, QueueTime: m.Now.Sub(t.arrived)}, out)
	case t.state == taskRunning && !t.canceled:
		t.canceled = true
		out.Add(effect.CancelBackend{From: t.stream.id.From, Attempt: t.sub.Attempt})
	}
}

// ExecuteGone cancels what is left of a stream; nobody reads its results.
func (s *State) ExecuteGone(m event.Meta, e event.ExecuteGone, out *effect.List) {
	st := s.streams[e.Stream]
	if st == nil {
		return
	}
	st.gone = true
	for _, t := range st.tasks {
		s.cancel(m, t, out)
	}
}
