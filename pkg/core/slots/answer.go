package slots

import (
	"math/bits"
	"slices"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// goneHold is how long a version that a server refused stays out of its
	// reports although its lagging status lists it.
	goneHold = 10 * time.Second
	// promptPollGap is the least time between two status reads.
	promptPollGap = 200 * time.Millisecond
	// signPollGap is the same for reads that look for a sign of life, for which
	// slots wait.
	signPollGap = 20 * time.Millisecond
	// silenceLimit is how long a server may give no sign of life while calls to
	// it are cut off, before it is unusable. Reads of its status alone take
	// three timeouts, 6 s, to show that it is frozen.
	silenceLimit = 500 * time.Millisecond
)

// BackendAnswered ends a call: it frees the slot, learns from the answer and
// passes the result on.
func (s *State) BackendAnswered(m event.Meta, e event.BackendAnswered, out *effect.List) {
	t, ok := s.tasks[attemptKey{e.From, e.Result.Attempt}]
	if !ok || t.state != taskRunning {
		out.Log(logevent.SlotsUnknownAnswer, logevent.Str("from", e.From.VM), logevent.Int("attempt", e.Result.Attempt))
		return
	}
	v := t.server
	s.freeSlot(m, v, e)
	s.learn(m, t, e, out)
	r := e.Result
	r.QueueTime = t.sent.Sub(t.arrived)
	if r.ServiceTime == 0 {
		r.ServiceTime = m.Now.Sub(t.sent)
	}
	s.finish(t, r, out)
	s.pump(m, v, out)
}

// freeSlot gives the slot back, later if the call was cut off: the server may
// not have noticed yet.
func (s *State) freeSlot(m event.Meta, v *server, e event.BackendAnswered) {
	v.running--
	if e.SlotHeld {
		v.held++
		if !v.watched {
			v.watched = true
			s.settling = append(s.settling, settlingSlot{at: m.Now.Add(s.settle), server: v, held: true})
		}
		return
	}
	switch e.Result.Outcome {
	case model.OutcomeCanceled, model.OutcomeTimeout, model.OutcomeFailed, model.OutcomeLost, model.OutcomeUnknown:
		s.settleLater(m, v)
	}
}

// settleLater frees a slot after the time in which servers notice that a call
// was cut off.
func (s *State) settleLater(m event.Meta, v *server) {
	v.settling++
	s.settling = append(s.settling, settlingSlot{at: m.Now.Add(s.settle), server: v})
}

// BackendReleased frees the slot of a call that was cut off. A server that has
// not ended it may be frozen; then the slot waits for a sign of life.
func (s *State) BackendReleased(m event.Meta, e event.BackendReleased, out *effect.List) {
	v, ok := s.servers[e.Server]
	if !ok || v.held == 0 {
		out.Log(logevent.SlotsUnknownAnswer, logevent.Str("server", e.Server))
		return
	}
	v.held--
	if !e.Ended {
		s.settleLater(m, v)
		return
	}
	s.pump(m, v, out)
}

// settleSlots frees the slots of cut-off calls whose time has come. Those of a
// server that has given no sign of life since wait for one: a frozen server has
// not noticed that the calls were cut off, and runs them when it goes on.
func (s *State) settleSlots(m event.Meta, out *effect.List) {
	due := 0
	for due < len(s.settling) && s.settling[due].at <= m.Now {
		due++
	}
	for _, slot := range s.settling[:due] {
		v := slot.server
		silent := v.owned && v.silentSince != 0
		if silent {
			s.awaitSign(m, v, out)
		}
		if silent && !slot.held || slot.held && v.held > 0 {
			slot.at = m.Now.Add(s.settle)
			s.settling = append(s.settling, slot)
			continue
		}
		if slot.held {
			v.watched = false
			continue
		}
		v.settling--
		s.pump(m, v, out)
	}
	s.settling = slices.Delete(s.settling, 0, due)
}

// learn updates what is known of the server from the answer to a call.
func (s *State) learn(m event.Meta, t *task, e event.BackendAnswered, out *effect.List) {
	v := t.server
	took := e.Result.ServiceTime
	if took == 0 {
		took = m.Now.Sub(t.sent)
	}
	if e.Draining {
		s.learnDraining(m, v, e.Cold, out)
		return
	}
	switch e.Result.Outcome {
	case model.OutcomeOK:
		s.learnGood(m, v, took, e.Cold, out)
	case model.OutcomeShed:
		s.learnShed(m, v, e.Cold, out)
	case model.OutcomeVersionGone:
		s.learnAnswer(m, v, e.Cold, out)
		s.versionGone(m, t, out)
	case model.OutcomeCanceled:
		s.learnLatency(v, took, true, out)
		s.learnSilence(m, t, out)
	case model.OutcomeTimeout:
		v.adaptive.decrease()
		s.learnLatency(v, took, true, out)
		s.learnSilence(m, t, out)
	case model.OutcomeExpired:
		// The deadline passed before the call began; it says nothing of the server.
	default:
		s.learnFailure(m, v, e.Cold, out)
	}
}

// learnDraining closes the gate at the server's own word.
func (s *State) learnDraining(m event.Meta, v *server, cold bool, out *effect.List) {
	s.learnAnswer(m, v, cold, out)
	if v.gate.refusedWork(m.Now) {
		s.closeGate(m, v, "server", out)
	}
}

// learnAnswer notes any answer of the server itself. The server's word that it
// is cold restarts the ramp when it is new.
func (s *State) learnAnswer(m event.Meta, v *server, cold bool, out *effect.List) {
	v.lastAnswer, v.known = m.Now, true
	v.signOfLife(m.Now)
	if cold && !v.cold {
		s.restartRamp(v, "cold", out)
	}
	v.cold = cold
}

func (s *State) learnGood(m event.Meta, v *server, took time.Duration, cold bool, out *effect.List) {
	s.learnAnswer(m, v, cold, out)
	v.gate.hold = 0
	s.clearFailures(v, out)
	// The next Tick ends a pause that this answer shows to be needless.
	v.pausedUntil = min(v.pausedUntil, m.Now)
	if s.learnLatency(v, took, false, out) {
		return
	}
	v.adaptive.answered(v.def.Slots)
	if v.ramp.answered(v.def) {
		logRamp(logevent.SlotsRampRaised, v, "answers", out)
		s.updateReport(v)
	}
}

// learnLatency reports whether the service time showed a slow server.
func (s *State) learnLatency(v *server, took time.Duration, partial bool, out *effect.List) bool {
	if !v.latency.observe(took, partial) {
		return false
	}
	v.adaptive.decrease()
	s.restartRamp(v, "slow", out)
	return true
}

func (s *State) learnShed(m event.Meta, v *server, cold bool, out *effect.List) {
	v.shed++
	s.learnAnswer(m, v, cold, out)
	v.adaptive.decrease()
	if v.ramp.shed() {
		logRamp(logevent.SlotsRampLowered, v, "shed", out)
		s.updateReport(v)
	}
}

// learnSilence learns from a call that was cut off whether the server has given
// no sign of life since the call was sent. Its status is then read at once, so
// that a server that is merely slow shows itself.
func (s *State) learnSilence(m event.Meta, t *task, out *effect.List) {
	v := t.server
	if !v.owned || v.lastSign >= t.sent {
		return
	}
	if v.silentSince == 0 {
		v.silentSince = m.Now
	}
	s.awaitSign(m, v, out)
}

// awaitSign reads the status of a silent server, not too often, and takes the
// server to be unusable after the limit.
func (s *State) awaitSign(m event.Meta, v *server, out *effect.List) {
	if m.Now >= v.poll.sentAt.Add(signPollGap) {
		s.sendPoll(m, v, out)
	}
	if m.Now >= v.silentSince.Add(silenceLimit) && v.failures < unusableFailures {
		s.restartRamp(v, "silent", out)
		v.failures = unusableFailures - 1
		s.addFailure(v, out)
	}
}

// signOfLife notes that the server answered something.
func (v *server) signOfLife(now model.Time) { v.lastSign, v.silentSince = now, 0 }

// learnFailure restarts the ramp: a server that fails calls has fallen over
// under its load or was restarted, and comes back cold in both cases.
func (s *State) learnFailure(m event.Meta, v *server, cold bool, out *effect.List) {
	v.cold = cold
	v.adaptive.decrease()
	s.restartRamp(v, "failure", out)
	s.addFailure(v, out)
	if v.failures >= unusableFailures && v.needsOwner() {
		s.pause(m, v)
	}
}

// pause stops starts at the server for a time that grows with its failures.
func (s *State) pause(m event.Meta, v *server) {
	length := maxPause
	if n := v.failures - unusableFailures; n < bits.Len(uint(maxPause/minPause)) {
		length = min(minPause<<n, maxPause)
	}
	if v.pausedUntil == 0 {
		s.paused = append(s.paused, v)
	}
	v.pausedUntil = m.Now.Add(length)
}

// resume starts work at the servers whose pause is over.
func (s *State) resume(m event.Meta, out *effect.List) {
	for i := 0; i < len(s.paused); {
		v := s.paused[i]
		if m.Now < v.pausedUntil {
			i++
			continue
		}
		v.pausedUntil = 0
		s.paused = slices.Delete(s.paused, i, i+1)
		s.pump(m, v, out)
	}
}

// restartRamp takes the server to be cold.
func (s *State) restartRamp(v *server, reason string, out *effect.List) {
	if v.ramp.restart(v.def) {
		logRamp(logevent.SlotsRampStarted, v, reason, out)
		s.updateReport(v)
	}
}

// logRamp logs a change of the ramp where the ramp is in use.
func logRamp(id logevent.ID, v *server, reason string, out *effect.List) {
	if !v.needsOwner() {
		return
	}
	out.Log(id, logevent.Str("server", v.name), logevent.Str("reason", reason), logevent.Int("limit", v.ramp.limit))
}

func (s *State) addFailure(v *server, out *effect.List) {
	v.failures++
	if v.failures == unusableFailures {
		out.Log(logevent.SlotsUnusable, logevent.Str("server", v.name), logevent.Int("failures", v.failures))
		s.updateReport(v)
	}
}

func (s *State) clearFailures(v *server, out *effect.List) {
	failures := v.failures
	v.failures = 0
	if failures >= unusableFailures {
		out.Log(logevent.SlotsUsable, logevent.Str("server", v.name))
		s.updateReport(v)
	}
}

// versionGone takes a refused version out of the reports and reads the
// server's status soon.
func (s *State) versionGone(m event.Meta, t *task, out *effect.List) {
	v := t.server
	g := goneVersion{layout: t.sub.Snapshot.Layout, shard: t.sub.Shard, version: t.sub.Snapshot.IndexVersion, until: m.Now.Add(goneHold)}
	i := slices.IndexFunc(v.gone, g.same)
	if i >= 0 {
		v.gone[i].until = g.until
		return
	}
	v.gone = append(v.gone, g)
	out.Log(logevent.SlotsVersionGone, logevent.Str("server", v.name), logevent.Str("layout", g.layout),
		logevent.Str("shard", g.shard), logevent.Int("version", g.version))
	s.setServes(m, v, v.serves)
	if v.owned && m.Now >= v.poll.sentAt.Add(promptPollGap) {
		s.sendPoll(m, v, out)
	}
}

func (g goneVersion) same(h goneVersion) bool {
	return g.layout == h.layout && g.shard == h.shard && g.version == h.version
}
