package membership

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// executeEffect does what the runtime and the network do with an effect.
func (n *node) executeEffect(m event.Meta, eff effect.Effect, out *effect.List) {
	sim := n.sim
	switch e := eff.(type) {
	case effect.Log:
		sim.log(logLine(n, e))
	case effect.SendHeartbeat:
		n.sendRequest(e.Peer, e.Timeout, func(t event.Token) event.Body {
			return event.HeartbeatArrived{Token: t, Header: e.Header, Member: e.Member, Resign: e.Resign}
		}, event.HeartbeatFailed{To: e.Peer, Err: "timeout"}, out, m)
	case effect.ReplyHeartbeat:
		n.sendReply(e.Token, func(sent model.Time) event.Body {
			return event.HeartbeatAnswered{SentAt: sent, ForEpoch: e.Header.Epoch, Header: e.Header, Result: e.Result,
				Fenced: e.Fenced, Closed: e.Closed, Uptime: e.Uptime}
		})
	case effect.SendExchange:
		n.sendRequest(e.Peer, time.Second, func(t event.Token) event.Body {
			return event.ExchangeArrived{Token: t, Header: e.Header, Servers: e.Servers, Members: e.Members, Full: e.Full}
		}, nil, out, m)
	case effect.ReplyExchange:
		n.sendReply(e.Token, func(model.Time) event.Body {
			return event.ExchangeAnswered{Header: e.Header, Servers: e.Servers, Members: e.Members}
		})
	case effect.SendHandover:
		n.sendRequest(e.Peer, 300*time.Millisecond, func(t event.Token) event.Body {
			return event.HandoverArrived{Token: t, Header: e.Header, Servers: e.Servers}
		}, event.HandoverAnswered{To: e.Peer, Servers: e.Servers, Err: "timeout"}, out, m)
	case effect.FetchDocument:
		n.sendRequest(model.VM(e.Address), time.Second, func(t event.Token) event.Body {
			return event.DocumentRequested{Token: t, Header: n.state.Header(), Kind: e.Kind}
		}, event.DocumentFailed{Kind: e.Kind, Address: e.Address, Err: "timeout"}, out, m)
	default:
		n.executePlatformEffect(eff)
	}
}

// sendRequest sends a request and schedules the failure event for the case
// that no answer arrives.
func (n *node) sendRequest(to model.VM, timeout time.Duration, request func(event.Token) event.Body, failed event.Body, out *effect.List, m event.Meta) {
	sim := n.sim
	sim.nextToken++
	t := sim.nextToken
	sent := n.localTime()
	epoch := n.state.Epoch()
	done := false
	body := request(t)
	sim.calls[t] = func(reply func(model.Time) event.Body) {
		answer := sim.completeAnswer(reply(sent), body, to, epoch)
		if to == n.vm {
			n.route(m, answer, out)
			return
		}
		if sim.messageLost(to, n.vm) {
			return
		}
		n.deliver(sim.now.Add(sim.latency()+sim.answerDelay), func() event.Body {
			if done {
				return event.Tick{}
			}
			done = true
			return answer
		})
	}
	if to == n.vm {
		// A request to the daemon itself is a direct call, as in pkg/core.
		var inner effect.List
		n.route(m, body, &inner)
		for i := 0; i < len(inner.Effects); i++ {
			n.executeEffect(m, inner.Effects[i], &inner)
		}
		return
	}
	if failed != nil {
		n.deliver(sim.now.Add(timeout), func() event.Body {
			if done {
				return event.Tick{}
			}
			done = true
			return failed
		})
	}
	if dst := sim.findNode(to); dst != nil && !sim.messageLost(n.vm, to) {
		dst.deliver(sim.now.Add(sim.latency()), func() event.Body { return body })
	}
}

// completeAnswer adds what the sender's runtime knows of the request to the
// answer.
func (sim *simulation) completeAnswer(answer, request event.Body, to model.VM, epoch uint64) event.Body {
	switch a := answer.(type) {
	case event.HeartbeatAnswered:
		a.ForEpoch = epoch
		return a
	case event.HandoverAnswered:
		a.To, a.Servers = to, request.(event.HandoverArrived).Servers
		return a
	case event.DocumentArrived:
		kind := request.(event.DocumentRequested).Kind
		if a.Document.Version == 0 {
			return event.DocumentFailed{Kind: kind, Address: string(to), NotFound: true}
		}
		return event.DocumentArrived{Address: string(to), Document: sim.document(kind, int(a.Document.Version))}
	}
	return answer
}

func (n *node) sendReply(t event.Token, body func(sent model.Time) event.Body) {
	if f := n.sim.calls[t]; f != nil {
		delete(n.sim.calls, t)
		f(body)
	}
}

func (sim *simulation) messageLost(from, to model.VM) bool {
	return sim.cutLinks[[2]model.VM{from, to}] || sim.rng.Float64() < sim.lossRate
}

// latency is about 1.5 ms; if maxExtraLatency is set, some messages arrive
// much later.
func (sim *simulation) latency() time.Duration {
	d := time.Millisecond + time.Duration(sim.rng.Int64N(int64(time.Millisecond)))
	if sim.maxExtraLatency > 0 && sim.rng.IntN(4) == 0 {
		d += time.Duration(sim.rng.Int64N(int64(sim.maxExtraLatency)))
	}
	return d
}

func (n *node) executePlatformEffect(eff effect.Effect) {
	sim := n.sim
	switch e := eff.(type) {
	case effect.ReplyHandover:
		n.sendReply(e.Token, func(model.Time) event.Body { return event.HandoverAnswered{Accepted: e.Accepted} })
	case effect.ReplyDocument:
		n.sendReply(e.Token, func(model.Time) event.Body {
			return event.DocumentArrived{Document: event.Document{Version: e.Version}}
		})
	case effect.ReadVMList:
		body := event.VMListRead{Err: "outage"}
		if !sim.platformDown {
			body.Err = ""
			for _, vm := range slices.Sorted(maps.Keys(sim.listed)) {
				body.VMs = append(body.VMs, model.VMEntry{VM: vm, State: sim.listed[vm]})
			}
		}
		n.deliverLater(body)
	case effect.ReadDocument:
		n.deliverLater(sim.readDocument(e.Kind, sim.rng.IntN(5) == 0))
	case effect.WatchDocument:
		n.watch[e.Kind] = !e.Stop
	case effect.WriteEpoch:
		sim.at(sim.now.Add(sim.latency()), func() { n.deliverLater(sim.writeEpoch(e)) })
	case effect.ConfirmDocument:
		n.deliverLater(event.DocumentConfirmed{Kind: e.Kind, ObjectVersion: e.ObjectVersion, Conflict: e.ObjectVersion != uint64(len(sim.bundles))})
	}
}

// deliverLater delivers an answer of the platform after two message latencies.
func (n *node) deliverLater(body event.Body) {
	n.deliver(n.sim.now.Add(2*n.sim.latency()), func() event.Body { return body })
}

// writeEpoch is the platform's conditional update; its answer may be lost.
func (sim *simulation) writeEpoch(e effect.WriteEpoch) event.Body {
	answer := event.EpochWritten{Number: e.Epoch.Number}
	switch {
	case sim.platformDown:
		answer.Err = "outage"
	case e.ObjectVersion != uint64(len(sim.epochs)):
		answer.Conflict = true
	default:
		sim.epochs = append(sim.epochs, e.Epoch)
		answer.ObjectVersion = uint64(len(sim.epochs))
		sim.notifyWatchers(event.DocumentEpoch)
		if sim.rng.IntN(8) == 0 {
			answer = event.EpochWritten{Number: e.Epoch.Number, Err: "answer lost"}
		}
	}
	return answer
}

// readDocument returns the platform's copy of a document, or the previous
// version if stale is set.
func (sim *simulation) readDocument(kind event.DocumentKind, stale bool) event.Body {
	version := map[event.DocumentKind]int{event.DocumentEpoch: len(sim.epochs), event.DocumentBundle: len(sim.bundles)}[kind]
	if sim.platformDown {
		return event.DocumentFailed{Kind: kind, Err: "outage"}
	}
	if stale && version > 1 {
		version--
	}
	if version == 0 {
		return event.DocumentFailed{Kind: kind, NotFound: true}
	}
	return event.DocumentArrived{Document: sim.document(kind, version), ObjectVersion: uint64(version)}
}

func (sim *simulation) document(kind event.DocumentKind, version int) event.Document {
	d := event.Document{Kind: kind, Version: uint64(version), Raw: []byte(strconv.Itoa(version))}
	if kind == event.DocumentEpoch {
		d.Epoch = sim.epochs[version-1]
	} else {
		d.Bundle = sim.bundles[version-1]
	}
	return d
}

// notifyWatchers sends a changed document to the daemons that watch it.
func (sim *simulation) notifyWatchers(kind event.DocumentKind) {
	for _, n := range sim.nodes {
		if n.watch[kind] && !sim.platformDown {
			n.deliverLater(sim.readDocument(kind, false))
		}
	}
}

func logLine(n *node, e effect.Log) string {
	line := strconv.Itoa(int(n.sim.now/1e6)) + "ms " + n.state.Self().String() + " " + strconv.Itoa(int(e.ID))
	for _, f := range e.Fields {
		line += " " + f.Key + "=" + f.Value()
	}
	return line
}
