package runtime

import (
	"fmt"

	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
)

// perform carries out one effect without blocking the loop.
func (l *Loop) perform(e effect.Effect) {
	if l.performReply(e) || l.performPeer(e) || l.performBackend(e) || l.performPlatform(e) {
		return
	}
	switch e := e.(type) {
	case effect.Log:
		l.log(e.ID, e.Fields...)
	case effect.Exit:
		l.exit = &e
	default:
		// An effect without an action would silently lose work.
		panic(fmt.Sprintf("runtime: unknown effect %T", e))
	}
}

// performReply passes a reply to the request that waits for it. Like the other
// perform functions, it returns false for effects that are not its own.
func (l *Loop) performReply(e effect.Effect) bool {
	switch r := e.(type) {
	case effect.ReplyQuery:
		l.deliverReply(r.Token, e)
	case effect.ReplyLookup:
		l.deliverReply(r.Token, e)
	case effect.ReplyHeartbeat:
		l.deliverReply(r.Token, e)
	case effect.ReplyExchange:
		l.deliverReply(r.Token, e)
	case effect.ReplyHandover:
		l.deliverReply(r.Token, e)
	case effect.ReplyDocument:
		l.deliverReply(r.Token, e)
	default:
		return false
	}
	return true
}

func (l *Loop) performPeer(e effect.Effect) bool {
	switch e := e.(type) {
	case effect.OpenExecute:
		l.openExecute(e)
	case effect.CloseExecute:
		l.outgoingStreams.cancel(e.Stream)
	case effect.SendCancel:
		l.sendCancel(e)
	case effect.SendSubResult:
		l.sendSubResult(e)
	case effect.ForwardQuery:
		l.forwardQuery(e)
	case effect.SendHeartbeat:
		l.sendHeartbeat(e)
	case effect.SendExchange:
		l.sendExchange(e)
	case effect.SendHandover:
		l.sendHandover(e)
	case effect.FetchDocument:
		l.fetchDocument(e)
	default:
		return false
	}
	return true
}

func (l *Loop) performBackend(e effect.Effect) bool {
	switch e := e.(type) {
	case effect.CallBackend:
		l.callBackend(e)
	case effect.CancelBackend:
		l.backendCalls.cancel(backendCallKey{from: e.From, attempt: e.Attempt})
	case effect.WarmConnections:
		l.cfg.Backends.Warm(e.Server, e.Address, e.Count)
	case effect.PollBackend:
		l.pollBackend(e)
	default:
		return false
	}
	return true
}

func (l *Loop) performPlatform(e effect.Effect) bool {
	switch e := e.(type) {
	case effect.ReadDocument:
		l.readDocument(e)
	case effect.WatchDocument:
		l.watchDocument(e)
	case effect.ReadVMList:
		l.readVMList()
	case effect.WriteEpoch:
		l.writeEpoch(e)
	case effect.ConfirmDocument:
		l.confirmDocument(e)
	default:
		return false
	}
	return true
}
