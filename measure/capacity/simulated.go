package capacity

import (
	"fmt"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core"
	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// simulated is the whole reducer of one ordinary member in simulated time. Its
// panel, peers, platform and backend servers answer at once and as they should.
type simulated struct {
	world    *world
	state    *core.State
	meta     event.Meta
	raw      []byte
	sequence uint64
	queue    []event.Body
	scratch  []effect.Effect
}

func newSimulated(w *world, raw []byte) (*simulated, error) {
	self := w.ordinary()
	s := &simulated{world: w, raw: raw, meta: event.Meta{Now: model.Time(time.Second), Wall: 1_700_000_000_000, Rand: 7}}
	s.state = core.New(core.Config{
		Self: self.MemberRef, Region: regionName, FailureDomain: self.FailureDomain,
		PeerAddress: self.PeerAddress, CallerAddress: self.CallerAddress,
	})
	s.step(event.Started{})
	s.run(3 * time.Second)
	return s, s.check()
}

// check fails unless the daemon serves in the world's epoch, since the cost of
// one that waits for a lease says nothing.
func (s *simulated) check() error {
	status := s.state.Status(s.meta.Now)
	if !status.Ready || !status.HasLease || status.Epoch != s.world.epoch.Number {
		return fmt.Errorf("%w: daemon does not serve in epoch %d: %+v", errReducer, s.world.epoch.Number, status)
	}
	return nil
}

// run advances the time by d.
func (s *simulated) run(d time.Duration) {
	end := s.meta.Now.Add(d)
	for s.state.NextWake() <= end {
		s.set(max(s.meta.Now, s.state.NextWake()))
		s.step(event.Tick{})
	}
	s.set(end)
}

func (s *simulated) set(now model.Time) {
	s.meta.Wall += now.Sub(s.meta.Now).Milliseconds()
	s.meta.Now = now
}

// step handles an event and the answers to its effects.
func (s *simulated) step(body event.Body) {
	s.queue = append(s.queue[:0], body)
	for len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.meta.Rand = s.meta.Rand*6364136223846793005 + 1442695040888963407
		s.scratch = append(s.scratch[:0], s.state.Step(event.Event{Meta: s.meta, Body: next})...)
		for _, e := range s.scratch {
			if answer := s.answer(e); answer != nil {
				s.queue = append(s.queue, answer)
			}
		}
	}
}

// answer returns the event that ends the effect, nil if it has none.
func (s *simulated) answer(e effect.Effect) event.Body {
	switch e := e.(type) {
	case effect.ReadDocument:
		return s.document(e.Kind)
	case effect.ConfirmDocument:
		return event.DocumentConfirmed{Kind: e.Kind, ObjectVersion: e.ObjectVersion + 1}
	case effect.SendHeartbeat:
		return s.grant(e)
	case effect.SendExchange:
		return s.exchange(e)
	case effect.ReadVMList:
		return event.VMListRead{VMs: s.world.vms()}
	case effect.WriteEpoch:
		return event.EpochWritten{Number: e.Epoch.Number, Conflict: true}
	case effect.PollBackend:
		return event.BackendStatus{Server: e.Server, Serves: s.world.serves(e.Server)}
	}
	return nil
}

func (s *simulated) document(kind event.DocumentKind) event.Body {
	switch kind {
	case event.DocumentBundle:
		return event.DocumentArrived{ObjectVersion: 1, Document: event.Document{
			Kind: kind, Version: s.world.bundle.Version, Bundle: s.world.bundle, Raw: s.raw,
		}}
	case event.DocumentEpoch:
		return event.DocumentArrived{ObjectVersion: s.world.epoch.Number, Document: event.Document{
			Kind: kind, Version: s.world.epoch.Number, Epoch: s.world.epoch,
		}}
	}
	return event.DocumentFailed{Kind: kind, NotFound: true, Err: "not found"}
}

func (s *simulated) grant(e effect.SendHeartbeat) event.Body {
	from := s.world.epoch.Panel[0]
	for _, p := range s.world.epoch.Panel {
		if p.VM == e.Peer {
			from = p
		}
	}
	answer := event.HeartbeatAnswered{
		SentAt: s.meta.Now, ForEpoch: e.ForEpoch, Header: s.world.header(from), Result: model.LeaseGranted, Uptime: time.Hour,
	}
	if n := s.world.epoch.Number; n > epochNumber {
		answer.Closed = []event.ClosedEpoch{{Number: n - 1, Age: 2 * time.Second}}
	}
	return answer
}

// reportsPerExchange are the bounds of a message that is not full, from
// pkg/core/membership.
const (
	serversPerExchange = 32
	membersPerExchange = 25
)

// exchange answers with the largest ordinary message, or a full list.
func (s *simulated) exchange(e effect.SendExchange) event.Body {
	s.sequence++
	servers, members := len(s.world.bundle.Servers), len(s.world.epoch.Members)
	if !e.Full {
		servers, members = min(serversPerExchange, servers), min(membersPerExchange, members)
	}
	return event.ExchangeAnswered{
		Header:  s.world.header(s.world.epoch.Panel[0]),
		Servers: s.world.serverReports(servers, s.sequence),
		Members: s.world.memberReports(members, s.sequence),
	}
}

// vms is the platform's VM list.
func (w *world) vms() []model.VMEntry {
	list := make([]model.VMEntry, len(w.epoch.Members))
	for i, m := range w.epoch.Members {
		list[i] = model.VMEntry{VM: m.VM, State: model.VMLive}
	}
	return list
}

// serves is what a backend server says that it serves.
func (w *world) serves(server model.ServerName) []model.Serving {
	return w.reports[w.places[server]].Serves
}
