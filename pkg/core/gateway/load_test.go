package gateway

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// simLeaf is a leaf with slots and a queue that pauses from time to time.
type simLeaf struct {
	running int
	queue   []CallID
	slow    float64
	// phase is when its pauses begin, modulo pauseEvery.
	phase time.Duration
}

// simEvent is the end of an attempt, or the next request if call is 0.
type simEvent struct {
	at   model.Time
	call CallID
}

type simHeap []simEvent

func (h simHeap) Len() int           { return len(h) }
func (h simHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h simHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds an event.
func (h *simHeap) Push(x any) { *h = append(*h, x.(simEvent)) }

// Pop removes the last event.
func (h *simHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// load is the load of a heavy day of the first users' sites, as one daemon sees
// all of it: every query asks all shards of two leafs.
type load struct {
	shards, slots     int
	perSecond         float64
	work, target      time.Duration
	pause, pauseEvery time.Duration
	slowLeafs         int
	slowBy            float64
	// wantInTime is the share of queries to be answered within the latency target,
	// wantParts the mean share of shards in these: a score of 0.95 is asked for on
	// the users' sites, the share of shards counts squared.
	wantInTime          float64
	wantParts           float64
	leastShards         float64
	retrySlack, seconds float64
}

// Guards against decisions that serve callers worse on the heaviest days: too
// many attempts, hedges at the wrong time, leafs that pause or are slow.
func TestHeavyLoad(t *testing.T) {
	for name, l := range map[string]load{
		"counter search": {
			shards: 20, slots: 3, perSecond: 74, work: 28 * time.Millisecond, target: 200 * time.Millisecond,
			pause: 250 * time.Millisecond, pauseEvery: 6 * time.Second, leastShards: 0.89, retrySlack: 56, seconds: 20,
			wantInTime: 0.95, wantParts: 0.97,
		},
		"counter search with slow leafs": {
			shards: 20, slots: 3, perSecond: 74, work: 28 * time.Millisecond, target: 200 * time.Millisecond,
			pause: 250 * time.Millisecond, pauseEvery: 6 * time.Second, leastShards: 0.89, retrySlack: 56, seconds: 20,
			slowLeafs: 6, slowBy: 10, wantInTime: 0.9, wantParts: 0.95,
		},
		"stand lookup": {
			shards: 20, slots: 2, perSecond: 74, work: 15 * time.Millisecond, target: 120 * time.Millisecond,
			pause: 150 * time.Millisecond, pauseEvery: 3600 * time.Millisecond, leastShards: 0.89, retrySlack: 52, seconds: 20,
			wantInTime: 0.95, wantParts: 0.97,
		},
	} {
		t.Run(name, func(t *testing.T) { l.run(t) })
	}
}

func (l load) run(t *testing.T) {
	shards := names("s", l.shards)
	r := scatter("/a/", l.leastShards, shards...)
	r.LatencyTarget = l.target
	w := newWorldWith(t, Options{RetryRatio: 0.2, RetrySlack: l.retrySlack})
	w.configure(1, nil, r)
	w.leafs(2, shards...)
	random := rand.New(rand.NewPCG(3, 4))
	leafs := map[string]*simLeaf{}
	for i, shard := range shards {
		for j := range 2 {
			leaf := &simLeaf{slow: 1, phase: time.Duration(random.Int64N(int64(l.pauseEvery)))}
			if j == 0 && i < l.slowLeafs {
				leaf.slow = l.slowBy
			}
			leafs[fmt.Sprintf("%s-%d", shard, j)] = leaf
		}
	}
	var events simHeap
	heap.Push(&events, simEvent{at: w.now})
	sent, cancelled := 0, map[CallID]bool{}
	arrived := map[QueryID]model.Time{}
	start := func(leaf *simLeaf, id CallID) {
		leaf.running++
		work := time.Duration(float64(l.work) * math.Exp(0.35*random.NormFloat64()-0.06) * leaf.slow)
		at := w.now.Add(work)
		// A pause stops all work of the leaf.
		if into := (time.Duration(at) + leaf.phase) % l.pauseEvery; into < l.pause {
			at = at.Add(l.pause - into)
		}
		heap.Push(&events, simEvent{at: at, call: id})
	}
	collect := func() {
		for _, c := range w.sent[sent:] {
			leaf := leafs[c.Server]
			if leaf.running < l.slots {
				start(leaf, c.Call)
			} else {
				leaf.queue = append(leaf.queue, c.Call)
			}
		}
		sent = len(w.sent)
		for _, e := range w.other {
			if c, ok := e.(CancelCall); ok {
				cancelled[c.Call] = true
			}
		}
		w.other = nil
	}
	end := w.now.Add(time.Duration(l.seconds * float64(time.Second)))
	for len(events) > 0 {
		next := events[0].at
		if wake := w.s.NextWake(); wake < next {
			w.now = max(w.now+1, wake)
			w.post(Tick{})
			collect()
			continue
		}
		e := heap.Pop(&events).(simEvent)
		w.now = max(w.now, e.at)
		if e.call == 0 {
			if w.now < end {
				q := w.request("/a/", 2*time.Second)
				arrived[q] = w.now
				heap.Push(&events, simEvent{at: w.now.Add(time.Duration(random.ExpFloat64() / l.perSecond * float64(time.Second)))})
			}
			collect()
			continue
		}
		c := w.open[e.call]
		leaf := leafs[c.Server]
		leaf.running--
		if len(leaf.queue) > 0 {
			start(leaf, leaf.queue[0])
			leaf.queue = leaf.queue[1:]
		}
		outcome := OutcomeSucceeded
		if cancelled[e.call] {
			outcome = OutcomeCancelled
		}
		w.done(c, outcome)
		collect()
	}
	inTime, parts := 0, 0.0
	for q, at := range arrived {
		merged, ok := w.final[q].(MergeAnswer)
		if ok && w.finalAt[q].Sub(at) <= l.target {
			inTime++
			parts += 1 - float64(merged.Missing)/float64(l.shards)
		}
	}
	extra := float64(len(w.sent)-len(arrived)*l.shards) / float64(len(arrived)*l.shards)
	share, mean := float64(inTime)/float64(len(arrived)), parts/float64(max(1, inTime))
	t.Logf("%d queries: %.3f in time with %.4f of the shards, %.3f extra attempts", len(arrived), share, mean, extra)
	if share < l.wantInTime || mean < l.wantParts {
		t.Errorf("%.3f in time, want %.3f; %.4f of the shards, want %.4f", share, l.wantInTime, mean, l.wantParts)
	}
	if extra > 0.2+l.retrySlack/10*l.seconds/float64(len(arrived)*l.shards) {
		t.Errorf("%.3f extra attempts", extra)
	}
}
