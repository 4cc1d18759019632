package edged

import (
	"net"
	"sync"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/inbound"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
	"github.com/pistachiousher/pistachiousher/pkg/logwriter"
)

// maxRefusalLinesPerSecond bounds the log lines for refused clients, and those for invalid
// answers of leafs, which choose how many there are.
const maxRefusalLinesPerSecond = 5

// lineLimit bounds the lines of a second. It is safe for concurrent use.
type lineLimit struct {
	mu      sync.Mutex
	second  int64
	written int
	leftOut int
}

// allowLine reports whether a line may be written in a second, and how many were left out
// before it.
func (l *lineLimit) allowLine(second int64) (leftOut int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second != l.second {
		l.second, l.written = second, 0
	}
	if l.written >= maxRefusalLinesPerSecond {
		l.leftOut++
		return 0, false
	}
	l.written++
	leftOut, l.leftOut = l.leftOut, 0
	return leftOut, true
}

// refusalLog counts what others send outside the limits or the protocol, and logs some of
// it. It is safe for concurrent use.
type refusalLog struct {
	out     *logwriter.Writer
	metrics *Metrics

	clients, answers lineLimit
}

// refused counts a refusal of a client and writes its line, unless there are too many in
// this second. The reason is one of a fixed set.
func (l *refusalLog) refused(listener, client, reason string) {
	l.metrics.refused.WithLabelValues(listener, reason).Inc()
	leftOut, ok := l.clients.allowLine(time.Now().Unix())
	if !ok {
		return
	}
	l.out.Write(logevent.EdgeClientRefused, []logevent.Field{
		logevent.Str("listener", listener), logevent.Str("client", client), logevent.Str("reason", reason), logevent.Int("left_out", leftOut),
	})
}

// invalidAnswer counts bytes of a leaf that are no answer, and writes a line for some.
func (l *refusalLog) invalidAnswer(service, server string, err error) {
	l.metrics.countInvalid(service)
	leftOut, ok := l.answers.allowLine(time.Now().Unix())
	if !ok {
		return
	}
	l.out.Write(logevent.EdgeAnswerInvalid, []logevent.Field{
		logevent.Str("server", server), logevent.Str("error", err.Error()), logevent.Int("left_out", leftOut),
	})
}

// headSlack is added to the limit of a head: the configuration limits names, values and
// the request line, and here the bytes between them count as well. net/http adds as much.
const headSlack = 4 << 10

// boundHeads bounds the heads of requests on a listener, and its connections unless
// maxConns is 0.
func (d *daemon) boundHeads(name string, ln net.Listener, maxConns int, maxHeadBytes func() int) net.Listener {
	return inbound.Wrap(ln, inbound.Config{
		Budget: d.headBudget, MaxConns: maxConns, MaxHeadBytes: maxHeadBytes, HeadTimeout: headerTimeout, UnreadBytes: 2 * int64(d.settings.receiveBuffer()),
		OnRefusal: func(client net.Addr, reason inbound.Reason) {
			d.refusals.refused(name, client.String(), string(reason))
		},
	})
}

// maxCallerHead returns the limit of the head of a caller's request.
func (d *daemon) maxCallerHead() int { return int(d.callerHeaderLimit.Load()) + headSlack }

// setHeaderLimit applies the limit of a configuration; 0 if it has none.
func (d *daemon) setHeaderLimit(limit int) {
	if limit <= 0 || limit > maxCallerHeaderBytes {
		limit = maxCallerHeaderBytes
	}
	d.callerHeaderLimit.Store(int64(limit))
}
