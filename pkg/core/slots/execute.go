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
		// A class that only newer daemons know gets the lowest priority.
		t.sub.Class = min(t.sub.Class, model.Bulk)
		s.admitTask(m, t, out)
	}
}

// admitTask starts the task if its server has a free slot and nothing is
// queued. Otherwise it queues or refuses the task.
func (s *State) admitTask(m event.Meta, t *task, out *effect.List) {
	if _, ok := s.tasks[t.key()]; ok {
		out.Log(logevent.SlotsDuplicateAttempt, logevent.Str("from", t.stream.id.From.VM), logevent.Int("attempt", t.sub.Attempt))
		// The first copy may run, so the result must not say that the attempt
		// did not run.
		s.sendResult(t, model.SubResult{Outcome: model.OutcomeFailed}, out)
		return
	}
	v := s.serverFor(m, t.sub.Server)
	if v == nil {
		s.sendResult(t, model.SubResult{Outcome: model.OutcomeNotOwner}, out)
		return
	}
	t.server = v
	if outcome := s.checkAdmission(m, t); outcome != model.OutcomeOK {
		s.refuseTask(m, t, outcome, out)
		return
	}
	s.tasks[t.key()] = t
	t.stream.tasks = append(t.stream.tasks, t)
	if v.queue.length == 0 && v.canStart(v.limit(s.view.Daemons())) {
		s.startTask(m, t, out)
		return
	}
	s.enqueue(m, t, out)
}

// checkAdmission returns OutcomeOK, or the outcome with which to refuse the
// task.
func (s *State) checkAdmission(m event.Meta, t *task) model.Outcome {
	v := t.server
	if v.needsOwner() && !s.view.MayAct(m.Now, v.name) {
		return model.OutcomeNotOwner
	}
	if v.drain.active() {
		return model.OutcomeDrained
	}
	if t.sub.Deadline <= v.pausedUntil {
		return model.OutcomeExpired
	}
	limit := v.limit(s.view.Daemons())
	ahead := max(0, v.queue.tasksAhead(t.sub.Class)+v.slotsInUse()+1-limit)
	idle := v.running == 0 && v.queue.length == 0 || v.routing() == model.RoutingDirect
	if v.missesDeadline(m.Now, t.sub.Deadline, ahead, limit, idle) {
		return model.OutcomeExpired
	}
	return model.OutcomeOK
}

// enqueue adds the task to its server's queue. If the queue is full, it
// refuses the task that chooseVictim selects, possibly the new one.
func (s *State) enqueue(m event.Meta, t *task, out *effect.List) {
	v := t.server
	share := v.share(t.sub.Caller)
	if v.queue.length >= v.queueLimit() {
		victim := v.queue.chooseVictim(t, share, v.queueLimit())
		if victim == nil {
			s.refuseTask(m, t, model.OutcomeQueueFull, out)
			return
		}
		s.refuseQueued(m, victim, model.OutcomeQueueFull, out)
	}
	t.state = taskQueued
	v.queue.push(t, share)
	s.deadlines.push(t)
}

// dequeue removes a task from its server's queue.
func (s *State) dequeue(t *task) {
	t.server.queue.remove(t)
	s.deadlines.remove(t)
}

// startQueued starts queued tasks while the server has free slots.
func (s *State) startQueued(m event.Meta, v *server, out *effect.List) {
	if v.queue.length == 0 {
		return
	}
	limit := v.limit(s.view.Daemons())
	for v.canStart(limit) {
		t := v.queue.pop()
		if t == nil {
			return
		}
		s.deadlines.remove(t)
		if v.missesDeadline(m.Now, t.sub.Deadline, 0, limit, v.running == 0) {
			s.refuseTask(m, t, model.OutcomeExpired, out)
			continue
		}
		s.startTask(m, t, out)
	}
}

// startTask sends the task to its server, or refuses it if this daemon may no
// longer act as the owner.
func (s *State) startTask(m event.Meta, t *task, out *effect.List) {
	v := t.server
	deadline := t.sub.Deadline
	if v.needsOwner() {
		if !s.view.MayAct(m.Now, v.name) {
			s.refuseTask(m, t, model.OutcomeNotOwner, out)
			return
		}
		// The call must end before another daemon can become the owner.
		deadline = min(deadline, s.view.LeaseUntil(m.Now))
	}
	t.state, t.sent = taskRunning, m.Now
	v.running++
	out.Add(effect.CallBackend{From: t.stream.id.From, Sub: t.sub, Address: v.def.Address, Deadline: deadline})
}

// refuseTask ends a task that is not queued and was never sent.
func (s *State) refuseTask(m event.Meta, t *task, outcome model.Outcome, out *effect.List) {
	t.server.refused[outcome]++
	r := model.SubResult{Outcome: outcome, QueueTime: m.Now.Sub(t.arrived)}
	if outcome == model.OutcomeQueueFull || outcome == model.OutcomeExpired {
		r.RetryAfter = t.server.retryAfter(s.view.Daemons())
	}
	s.finishTask(t, r, out)
}

// refuseQueued ends a queued task.
func (s *State) refuseQueued(m event.Meta, t *task, outcome model.Outcome, out *effect.List) {
	s.dequeue(t)
	s.refuseTask(m, t, outcome, out)
}

// refuseAllQueued ends all queued tasks of a server in the order in which they
// would have started.
func (s *State) refuseAllQueued(m event.Meta, v *server, outcome model.Outcome, out *effect.List) {
	for t := v.queue.pop(); t != nil; t = v.queue.pop() {
		s.deadlines.remove(t)
		s.refuseTask(m, t, outcome, out)
	}
}

// retryAfter estimates how long it takes until the present queue has been
// worked off.
func (v *server) retryAfter(daemons int) time.Duration {
	return waitTime(v.latency.serviceTime(), v.queue.length+1, v.limit(daemons))
}

// finishTask removes the task and sends its result.
func (s *State) finishTask(t *task, r model.SubResult, out *effect.List) {
	t.state = taskDone
	if s.tasks[t.key()] == t {
		delete(s.tasks, t.key())
	}
	s.sendResult(t, r, out)
}

// sendResult sends a result on the task's stream and closes the stream after
// the last one.
func (s *State) sendResult(t *task, r model.SubResult, out *effect.List) {
	st := t.stream
	st.open--
	if st.open == 0 {
		delete(s.streams, st.id)
	}
	if st.abandoned {
		return
	}
	r.Attempt, r.Server = t.sub.Attempt, t.sub.Server
	if r.Outcome != model.OutcomeOK {
		r.Shard, r.Snapshot = t.sub.Shard, t.sub.Snapshot
	}
	out.Add(effect.SendSubResult{Stream: st.id, Result: r, Last: st.open == 0})
}

// CancelArrived cancels attempts. A queued attempt was never sent and ends as
// expired; a running one keeps its slot until the call has ended.
func (s *State) CancelArrived(m event.Meta, e event.CancelArrived, out *effect.List) {
	for _, a := range e.Attempts {
		if t, ok := s.tasks[attemptKey{e.From, a}]; ok {
			s.cancelTask(m, t, out)
		}
	}
}

func (s *State) cancelTask(m event.Meta, t *task, out *effect.List) {
	switch {
	case t.state == taskQueued:
		s.dequeue(t)
		s.finishTask(t, model.SubResult{Outcome: model.OutcomeExpired, QueueTime: m.Now.Sub(t.arrived)}, out)
	case t.state == taskRunning && !t.canceled:
		t.canceled = true
		out.Add(effect.CancelBackend{From: t.stream.id.From, Attempt: t.sub.Attempt})
	}
}

// ExecuteGone cancels the remaining attempts of a stream whose results nobody
// reads any more.
func (s *State) ExecuteGone(m event.Meta, e event.ExecuteGone, out *effect.List) {
	st := s.streams[e.Stream]
	if st == nil {
		return
	}
	st.abandoned = true
	for _, t := range st.tasks {
		s.cancelTask(m, t, out)
	}
}
