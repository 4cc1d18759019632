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

// execute does what the runtime and the network do with an effect.
func (n *node) execute(m event.Meta, eff effect.Effect, out *effect.List) {
	w := n.w
	switch e := eff.(type) {
	case effect.Log:
		w.log(logLine(n, e))
	case effect.SendHeartbeat:
		n.call(e.Peer, e.Timeout, func(t event.Token) event.Body {
			return event.HeartbeatArrived{Token: t, Header: e.Header, Member: e.Member, Resign: e.Resign}
		}, event.HeartbeatFailed{To: e.Peer, Err: "timeout"}, out, m)
	case effect.ReplyHeartbeat:
		n.reply(e.Token, func(sent model.Time) event.Body {
			return event.HeartbeatAnswered{SentAt: sent, ForEpoch: e.Header.Epoch, Header: e.Header, Result: e.Result,
				Fenced: e.Fenced, Closed: e.Closed, Uptime: e.Uptime}
		})
	case effect.SendExchange:
		n.call(e.Peer, time.Second, func(t event.Token) event.Body {
			return event.ExchangeArrived{Token: t, Header: e.Header, Servers: e.Servers, Members: e.Members, Full: e.Full}
		}, nil, out, m)
	case effect.ReplyExchange:
		n.reply(e.Token, func(model.Time) event.Body {
			return event.ExchangeAnswered{Header: e.Header, Servers: e.Servers, Members: e.Members}
		})
	case effect.SendHandover:
		n.call(e.Peer, 300*time.Millisecond, func(t event.Token) event.Body {
			return event.HandoverArrived{Token: t, Header: e.Header, Servers: e.Servers}
		}, event.HandoverAnswered{To: e.Peer, Servers: e.Servers, Err: "timeout"}, out, m)
	case effect.FetchDocument:
		n.call(model.VM(e.Address), time.Second, func(t event.Token) event.Body {
			return event.DocumentRequested{Token: t, Header: n.mem.Header(), Kind: e.Kind}
		}, event.DocumentFailed{Kind: e.Kind, Address: e.Address, Err: "timeout"}, out, m)
	default:
		n.executePlatform(eff)
	}
}

// call sends a request and plans the failure that its missing answer means.
func (n *node) call(to model.VM, timeout time.Duration, request func(event.Token) event.Body, failed event.Body, out *effect.List, m event.Meta) {
	w := n.w
	w.nextToken++
	t := w.nextToken
	sent := n.local()
	epoch := n.mem.Epoch()
	done := false
	body := request(t)
	w.calls[t] = func(reply func(model.Time) event.Body) {
		answer := w.complete(reply(sent), body, to, epoch)
		if to == n.vm {
			n.route(m, answer, out)
			return
		}
		if w.lost(to, n.vm) {
			return
		}
		n.deliver(w.now.Add(w.latency()+w.late), func() event.Body {
			if done {
				return event.Tick{}
			}
			done = true
			return answer
		})
	}
	if to == n.vm {
		// Direct call, as pkg/core does.
		var inner effect.List
		n.route(m, body, &inner)
		for i := 0; i < len(inner.Effects); i++ {
			n.execute(m, inner.Effects[i], &inner)
		}
		return
	}
	if failed != nil {
		n.deliver(w.now.Add(timeout), func() event.Body {
			if done {
				return event.Tick{}
			}
			done = true
			return failed
		})
	}
	if dst := w.find(to); dst != nil && !w.lost(n.vm, to) {
		dst.deliver(w.now.Add(w.latency()), func() event.Body { return body })
	}
}

// complete adds what the caller's runtime knows of the request.
func (w *world) complete(answer, request event.Body, to model.VM, epoch uint64) event.Body {
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
		return event.DocumentArrived{Address: string(to), Document: w.document(kind, int(a.Document.Version))}
	}
	return answer
}

func (n *node) reply(t event.Token, body func(sent model.Time) event.Body) {
	if f := n.w.calls[t]; f != nil {
		delete(n.w.calls, t)
		f(body)
	}
}

func (w *world) lost(from, to model.VM) bool {
	return w.cut[[2]model.VM{from, to}] || w.rng.Float64() < w.loss
}

// latency is about 1.5 ms; with slow set, some messages are very late.
func (w *world) latency() time.Duration {
	d := time.Millisecond + time.Duration(w.rng.Int64N(int64(time.Millisecond)))
	if w.slow > 0 && w.rng.IntN(4) == 0 {
		d += time.Duration(w.rng.Int64N(int64(w.slow)))
	}
	return d
}

func (n *node) executePlatform(eff effect.Effect) {
	w := n.w
	switch e := eff.(type) {
	case effect.ReplyHandover:
		n.reply(e.Token, func(model.Time) event.Body { return event.HandoverAnswered{Accepted: e.Accepted} })
	case effect.ReplyDocument:
		n.reply(e.Token, func(model.Time) event.Body {
			return event.DocumentArrived{Document: event.Document{Version: e.Version}}
		})
	case effect.ReadVMList:
		body := event.VMListRead{Err: "outage"}
		if !w.down {
			body.Err = ""
			for _, vm := range slices.Sorted(maps.Keys(w.listed)) {
				body.VMs = append(body.VMs, model.VMEntry{VM: vm, State: w.listed[vm]})
			}
		}
		n.later(body)
	case effect.ReadDocument:
		n.later(w.read(e.Kind, w.rng.IntN(5) == 0))
	case effect.WatchDocument:
		n.watch[e.Kind] = !e.Stop
	case effect.WriteEpoch:
		w.at(w.now.Add(w.latency()), func() { n.later(w.write(e)) })
	case effect.ConfirmDocument:
		n.later(event.DocumentConfirmed{Kind: e.Kind, ObjectVersion: e.ObjectVersion, Conflict: e.ObjectVersion != uint64(len(w.bundles))})
	}
}

// later delivers a platform answer.
func (n *node) later(body event.Body) {
	n.deliver(n.w.now.Add(2*n.w.latency()), func() event.Body { return body })
}

// write is the platform's conditional update; its answer may be lost.
func (w *world) write(e effect.WriteEpoch) event.Body {
	answer := event.EpochWritten{Number: e.Epoch.Number}
	switch {
	case w.down:
		answer.Err = "outage"
	case e.ObjectVersion != uint64(len(w.epochs)):
		answer.Conflict = true
	default:
		w.epochs = append(w.epochs, e.Epoch)
		answer.ObjectVersion = uint64(len(w.epochs))
		w.notify(event.DocumentEpoch)
		if w.rng.IntN(8) == 0 {
			answer = event.EpochWritten{Number: e.Epoch.Number, Err: "answer lost"}
		}
	}
	return answer
}

// read gives the platform's copy, or an older one.
func (w *world) read(kind event.DocumentKind, stale bool) event.Body {
	version := map[event.DocumentKind]int{event.DocumentEpoch: len(w.epochs), event.DocumentBundle: len(w.bundles)}[kind]
	if w.down {
		return event.DocumentFailed{Kind: kind, Err: "outage"}
	}
	if stale && version > 1 {
		version--
	}
	if version == 0 {
		return event.DocumentFailed{Kind: kind, NotFound: true}
	}
	return event.DocumentArrived{Document: w.document(kind, version), ObjectVersion: uint64(version)}
}

func (w *world) document(kind event.DocumentKind, version int) event.Document {
	d := event.Document{Kind: kind, Version: uint64(version), Raw: []byte(strconv.Itoa(version))}
	if kind == event.DocumentEpoch {
		d.Epoch = w.epochs[version-1]
	} else {
		d.Bundle = w.bundles[version-1]
	}
	return d
}

// notify tells the watchers of a changed object.
func (w *world) notify(kind event.DocumentKind) {
	for _, n := range w.nodes {
		if n.watch[kind] && !w.down {
			n.later(w.read(kind, false))
		}
	}
}

func logLine(n *node, e effect.Log) string {
	line := strconv.Itoa(int(n.w.now/1e6)) + "ms " + n.mem.Self().String() + " " + strconv.Itoa(int(e.ID))
	for _, f := range e.Fields {
		line += " " + f.Key + "=" + f.Value()
	}
	return line
}
