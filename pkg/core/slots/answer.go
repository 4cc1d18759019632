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
	// goneVersionHold is how long an index version that the server refused
	// stays out of the reports on it, although its lagging status still lists
	// the version.
	goneVersionHold = 10 * time.Second
	// versionPollGap is the least time since the last status read before an
	// extra one is sent because the server refused an index version.
	versionPollGap = 200 * time.Millisecond
	// silentPollGap is the same for extra reads that check whether a silent
	// server responds. It is shorter because slots stay taken until the server
	// does.
	silentPollGap = 20 * time.Millisecond
	// silenceLimit is how long a server may answer neither calls nor status
	// reads, while calls to it are cut off, before it is unusable. Failed
	// status reads alone take three timeouts, 6 s, to show that it is frozen.
	silenceLimit = 500 * time.Millisecond
)

// BackendAnswered ends a call: it releases the slot, updates what is known of
// the server and sends the result to the entry daemon.
func (s *State) BackendAnswered(m event.Meta, e event.BackendAnswered, out *effect.List) {
	t, ok := s.tasks[attemptKey{e.From, e.Result.Attempt}]
	if !ok || t.state != taskRunning {
		out.Log(logevent.SlotsUnknownAnswer, logevent.Str("from", e.From.VM), logevent.Int("attempt", e.Result.Attempt))
		return
	}
	v := t.server
	s.releaseSlot(m, v, e)
	s.handleOutcome(m, t, e, out)
	r := e.Result
	r.QueueTime = t.sent.Sub(t.arrived)
	if r.ServiceTime == 0 {
		r.ServiceTime = m.Now.Sub(t.sent)
	}
	s.finishTask(t, r, out)
	s.startQueued(m, v, out)
}

// releaseSlot frees the call's slot, later if the call was cut off, because
// the server may not have noticed that yet.
func (s *State) releaseSlot(m event.Meta, v *server, e event.BackendAnswered) {
	v.running--
	if e.SlotHeld {
		v.held++
		if !v.heldTimerSet {
			v.heldTimerSet = true
			s.releasing = append(s.releasing, slotTimer{at: m.Now.Add(s.releaseDelay), server: v, held: true})
		}
		return
	}
	switch e.Result.Outcome {
	case model.OutcomeCanceled, model.OutcomeTimeout, model.OutcomeFailed, model.OutcomeLost, model.OutcomeUnknown:
		s.releaseLater(m, v)
	}
}

// releaseLater frees a slot after releaseDelay, in which servers notice that a
// call was cut off.
func (s *State) releaseLater(m event.Meta, v *server) {
	v.releasing++
	s.releasing = append(s.releasing, slotTimer{at: m.Now.Add(s.releaseDelay), server: v})
}

// BackendReleased frees the held slot of a call that was cut off. If the
// server is not known to have ended the call, it may be frozen; the slot is
// then released after a delay and stays taken while the server is silent.
func (s *State) BackendReleased(m event.Meta, e event.BackendReleased, out *effect.List) {
	v, ok := s.servers[e.Server]
	if !ok || v.held == 0 {
		out.Log(logevent.SlotsUnknownAnswer, logevent.Str("server", e.Server))
		return
	}
	v.held--
	if !e.Ended {
		s.releaseLater(m, v)
		return
	}
	s.startQueued(m, v, out)
}

// releaseDueSlots frees the slots of cut-off calls whose delay has passed.
// Slots of a silent server stay taken until it responds: a frozen server has
// not noticed that the calls were cut off and runs them when it resumes.
func (s *State) releaseDueSlots(m event.Meta, out *effect.List) {
	due := 0
	for due < len(s.releasing) && s.releasing[due].at <= m.Now {
		due++
	}
	for _, slot := range s.releasing[:due] {
		v := slot.server
		silent := v.owned && v.silentSince != 0
		if silent {
			s.checkSilence(m, v, out)
		}
		if silent && !slot.held || slot.held && v.held > 0 {
			slot.at = m.Now.Add(s.releaseDelay)
			s.releasing = append(s.releasing, slot)
			continue
		}
		if slot.held {
			v.heldTimerSet = false
			continue
		}
		v.releasing--
		s.startQueued(m, v, out)
	}
	s.releasing = slices.Delete(s.releasing, 0, due)
}

// handleOutcome updates what is known of the server from the outcome of a
// call.
func (s *State) handleOutcome(m event.Meta, t *task, e event.BackendAnswered, out *effect.List) {
	v := t.server
	took := e.Result.ServiceTime
	if took == 0 {
		took = m.Now.Sub(t.sent)
	}
	if e.Draining {
		s.handleDraining(m, v, e.Cold, out)
		return
	}
	switch e.Result.Outcome {
	case model.OutcomeOK:
		s.handleSuccess(m, v, took, e.Cold, out)
	case model.OutcomeShed:
		s.handleShed(m, v, e.Cold, out)
	case model.OutcomeVersionGone:
		s.handleAnswer(m, v, e.Cold, out)
		s.withdrawVersion(m, t, out)
	case model.OutcomeCanceled:
		s.observeLatency(v, took, true, out)
		s.handleCutOff(m, t, out)
	case model.OutcomeTimeout:
		v.adaptive.decrease()
		s.observeLatency(v, took, true, out)
		s.handleCutOff(m, t, out)
	case model.OutcomeExpired:
		// The deadline passed before the call began, which says nothing about
		// the server.
	default:
		s.handleFailure(m, v, e.Cold, out)
	}
}

// handleDraining stops new work to a server that refused a call as draining.
func (s *State) handleDraining(m event.Meta, v *server, cold bool, out *effect.List) {
	s.handleAnswer(m, v, cold, out)
	if v.drain.serverRefused(m.Now) {
		s.startDrain(m, v, "server", out)
	}
}

// handleAnswer records that the server itself answered. The ramp restarts when
// the server says that it is cold and did not say so before.
func (s *State) handleAnswer(m event.Meta, v *server, cold bool, out *effect.List) {
	v.lastAnswer, v.hasAnswered = m.Now, true
	v.recordContact(m.Now)
	if cold && !v.cold {
		s.restartRamp(v, "cold", out)
	}
	v.cold = cold
}

func (s *State) handleSuccess(m event.Meta, v *server, took time.Duration, cold bool, out *effect.List) {
	s.handleAnswer(m, v, cold, out)
	v.drain.holdTime = 0
	s.clearFailures(v, out)
	// The next Tick ends the pause, as this answer shows that the server works.
	v.pausedUntil = min(v.pausedUntil, m.Now)
	if s.observeLatency(v, took, false, out) {
		return
	}
	v.adaptive.countSuccess(v.def.Slots)
	if v.ramp.countSuccess(v.def) {
		logRamp(logevent.SlotsRampRaised, v, "answers", out)
		s.updateReport(v)
	}
}

// observeLatency records a service time and reports whether it shows that the
// server has become slow. If so, it restarts the ramp.
func (s *State) observeLatency(v *server, took time.Duration, partial bool, out *effect.List) bool {
	if !v.latency.observe(took, partial) {
		return false
	}
	v.adaptive.decrease()
	s.restartRamp(v, "slow", out)
	return true
}

func (s *State) handleShed(m event.Meta, v *server, cold bool, out *effect.List) {
	v.shed++
	s.handleAnswer(m, v, cold, out)
	v.adaptive.decrease()
	if v.ramp.shed() {
		logRamp(logevent.SlotsRampLowered, v, "shed", out)
		s.updateReport(v)
	}
}

// handleCutOff handles a call that was cut off while the server has responded
// to nothing since the call was sent. It reads the server's status at once to
// tell a slow server, which responds, from a frozen one.
func (s *State) handleCutOff(m event.Meta, t *task, out *effect.List) {
	v := t.server
	if !v.owned || v.lastContact >= t.sent {
		return
	}
	if v.silentSince == 0 {
		v.silentSince = m.Now
	}
	s.checkSilence(m, v, out)
}

// checkSilence reads the status of a silent server, at most once per
// silentPollGap, and marks the server as unusable after silenceLimit.
func (s *State) checkSilence(m event.Meta, v *server, out *effect.List) {
	if m.Now >= v.poll.sentAt.Add(silentPollGap) {
		s.sendPoll(m, v, out)
	}
	if m.Now >= v.silentSince.Add(silenceLimit) && v.failures < unusableFailures {
		s.restartRamp(v, "silent", out)
		v.failures = unusableFailures - 1
		s.addFailure(v, out)
	}
}

// recordContact records that the server responded to a call or a status read.
func (v *server) recordContact(now model.Time) { v.lastContact, v.silentSince = now, 0 }

// handleFailure restarts the ramp: a server that fails calls has broken down
// under its load or was restarted, and is cold afterwards in both cases.
func (s *State) handleFailure(m event.Meta, v *server, cold bool, out *effect.List) {
	v.cold = cold
	v.adaptive.decrease()
	s.restartRamp(v, "failure", out)
	s.addFailure(v, out)
	if v.failures >= unusableFailures && v.needsOwner() {
		s.pauseServer(m, v)
	}
}

// pauseServer stops new calls to the server for a time that grows with its
// consecutive failures.
func (s *State) pauseServer(m event.Meta, v *server) {
	length := maxPause
	if n := v.failures - unusableFailures; n < bits.Len(uint(maxPause/minPause)) {
		length = min(minPause<<n, maxPause)
	}
	if v.pausedUntil == 0 {
		s.pausedServers = append(s.pausedServers, v)
	}
	v.pausedUntil = m.Now.Add(length)
}

// resumePaused starts queued work of the servers whose pause is over.
func (s *State) resumePaused(m event.Meta, out *effect.List) {
	for i := 0; i < len(s.pausedServers); {
		v := s.pausedServers[i]
		if m.Now < v.pausedUntil {
			i++
			continue
		}
		v.pausedUntil = 0
		s.pausedServers = slices.Delete(s.pausedServers, i, i+1)
		s.startQueued(m, v, out)
	}
}

// restartRamp treats the server as cold.
func (s *State) restartRamp(v *server, reason string, out *effect.List) {
	if v.ramp.restart(v.def) {
		logRamp(logevent.SlotsRampStarted, v, reason, out)
		s.updateReport(v)
	}
}

// logRamp logs a change of the ramp's limit, unless the routing does not use
// the ramp.
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

// withdrawVersion removes an index version that the server refused from the
// reports and reads the server's status soon.
func (s *State) withdrawVersion(m event.Meta, t *task, out *effect.List) {
	v := t.server
	g := goneVersion{layout: t.sub.Snapshot.Layout, shard: t.sub.Shard, version: t.sub.Snapshot.IndexVersion, until: m.Now.Add(goneVersionHold)}
	i := slices.IndexFunc(v.gone, g.sameVersion)
	if i >= 0 {
		v.gone[i].until = g.until
		return
	}
	v.gone = append(v.gone, g)
	out.Log(logevent.SlotsVersionGone, logevent.Str("server", v.name), logevent.Str("layout", g.layout),
		logevent.Str("shard", g.shard), logevent.Int("version", g.version))
	s.setServes(m, v, v.serves)
	if v.owned && m.Now >= v.poll.sentAt.Add(versionPollGap) {
		s.sendPoll(m, v, out)
	}
}

func (g goneVersion) sameVersion(h goneVersion) bool {
	return g.layout == h.layout && g.shard == h.shard && g.version == h.version
}
