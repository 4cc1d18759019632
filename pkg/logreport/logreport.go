// Package logreport summarises the lines that edge daemons log about requests: how many
// were answered in time, by interval and route, and what the others waited for. Lines
// are added one at a time; memory does not grow with their number.
package logreport

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/logevent"
)

const (
	// maxCells bounds the number of pairs of an interval and a route.
	maxCells = 20000
	// maxSubjects bounds the number of leafs, and of daemons, that are counted each by
	// itself.
	maxSubjects = 10000
	// Overflow is the name under which leafs, or daemons, beyond maxSubjects are counted.
	Overflow = "(others)"
	// UnknownCause is the cause of lines that do not name one, as those of older daemons.
	UnknownCause = "unknown"
)

// Line is one line of a daemon's log.
type Line struct {
	// Daemon is the name of the VM that wrote the line.
	Daemon  string
	Time    time.Time
	Message string
	Fields  map[string]any
}

// Counts are numbers of requests by how they ended. Each request is counted once.
type Counts struct {
	// InTime were answered completely within the latency target, Partial within it
	// without some shards, Late after it.
	InTime  int `json:"in_time"`
	Partial int `json:"partial"`
	Late    int `json:"late"`
	// Refused were refused as not run; Failed got an error or a leaf's failure;
	// Abandoned were given up by their callers.
	Refused   int `json:"refused"`
	Failed    int `json:"failed"`
	Abandoned int `json:"abandoned"`
}

// Asked returns the number of all requests.
func (c Counts) Asked() int {
	return c.InTime + c.Partial + c.Late + c.Refused + c.Failed + c.Abandoned
}

// Unserved returns the number of requests that were late, refused or failed.
func (c Counts) Unserved() int { return c.Late + c.Refused + c.Failed }

// Interval is what became of the requests of a route in one interval.
type Interval struct {
	Start time.Time `json:"start"`
	Route string    `json:"route"`
	Counts
	// WaitedFor counts the late, refused and failed requests by cause.
	WaitedFor map[string]int `json:"waited_for,omitempty"`
}

// Subject is a leaf or a daemon that stands out.
type Subject struct {
	Name    string `json:"name"`
	Service string `json:"service,omitempty"`
	// Requests are those that a daemon handled; 0 for a leaf.
	Requests int `json:"requests,omitempty"`
	// Unserved requests were handled by the daemon, or waited for the leaf.
	Unserved int `json:"unserved"`
	// Excess is Unserved beyond what all daemons, or leafs, have on average.
	Excess    float64        `json:"excess"`
	WaitedFor map[string]int `json:"waited_for"`
}

// Report is the summary of all lines.
type Report struct {
	IntervalMS int64 `json:"interval_ms"`
	// Lines is the number of lines of daemons, RequestLines of those about requests.
	Lines        int `json:"lines"`
	RequestLines int `json:"request_lines"`
	// Truncated lines are incomplete, Foreign ones are not those of a daemon; neither is
	// counted among Lines.
	Truncated int `json:"truncated"`
	Foreign   int `json:"foreign"`
	// DaemonCount is the number of daemons with lines about requests.
	DaemonCount int        `json:"daemon_count"`
	Intervals   []Interval `json:"intervals"`
	Totals      []Interval `json:"totals"`
	Leafs       []Subject  `json:"leafs"`
	Daemons     []Subject  `json:"daemons"`
}

type cellKey struct {
	interval int64
	route    string
}

type cell struct {
	Counts
	waitedFor map[string]int
}

type subject struct {
	service            string
	requests, unserved int
	waitedFor          map[string]int
}

// Builder counts lines. It is not safe for concurrent use.
type Builder struct {
	interval                                time.Duration
	cells                                   map[cellKey]*cell
	leafs, daemons                          map[string]*subject
	lines, requestLines, truncated, foreign int
}

// NewBuilder returns a builder for intervals of the given length, which must be
// positive.
func NewBuilder(interval time.Duration) *Builder {
	return &Builder{interval: interval, cells: map[cellKey]*cell{}, leafs: map[string]*subject{}, daemons: map[string]*subject{}}
}

// AddSkipped counts lines that are incomplete, and lines that no daemon wrote.
func (b *Builder) AddSkipped(truncated, foreign int) {
	b.truncated += truncated
	b.foreign += foreign
}

// outcome is how a request ended.
type outcome uint8

const (
	inTime outcome = iota
	partial
	late
	refused
	failed
	abandoned
)

func (c *Counts) add(o outcome, n int) {
	switch o {
	case inTime:
		c.InTime += n
	case partial:
		c.Partial += n
	case late:
		c.Late += n
	case refused:
		c.Refused += n
	case failed:
		c.Failed += n
	case abandoned:
		c.Abandoned += n
	}
}

// Add counts a line. It fails if the logs span too many intervals.
func (b *Builder) Add(l Line) error {
	b.lines++
	event, ok := logevent.ByName(l.Message)
	if !ok {
		return nil
	}
	at := l.Time
	o, n := inTime, 1
	switch event.ID {
	case logevent.EdgeAnswered, logevent.EdgePartial:
		switch {
		case number(l.Fields, "late") > 0:
			o = late
		case number(l.Fields, "missing") > 0:
			o = partial
		}
	case logevent.EdgeRefused:
		o = failed
		if gateway.IsNotRunOutcome(text(l.Fields, "outcome")) {
			o = refused
		}
	case logevent.EdgeAbandoned:
		o = abandoned
	case logevent.EdgeLinesLeftOut:
		n = number(l.Fields, "count")
		if second := number(l.Fields, "second"); second > 0 {
			at = time.Unix(int64(second), 0)
		}
	default:
		return nil
	}
	b.requestLines++
	return b.count(l, at, o, n)
}

// count adds n requests with the same outcome.
func (b *Builder) count(l Line, at time.Time, o outcome, n int) error {
	key := cellKey{at.UnixNano() / int64(b.interval), text(l.Fields, "route")}
	c := b.cells[key]
	if c == nil {
		if len(b.cells) == maxCells {
			return fmt.Errorf("the logs have more than %d intervals and routes; choose a longer interval", maxCells)
		}
		c = &cell{waitedFor: map[string]int{}}
		b.cells[key] = c
	}
	c.add(o, n)
	daemon := entry(b.daemons, l.Daemon)
	daemon.requests += n
	if o != late && o != refused && o != failed {
		return nil
	}
	cause := cmp.Or(text(l.Fields, "waited_for"), UnknownCause)
	c.waitedFor[cause] += n
	daemon.unserved += n
	daemon.waitedFor[cause] += n
	if server := text(l.Fields, "server"); server != "" {
		leaf := entry(b.leafs, server)
		leaf.service = text(l.Fields, "service")
		leaf.unserved += n
		leaf.waitedFor[cause] += n
	}
	return nil
}

// entry returns the counts of a leaf or daemon, or those of Overflow if there are too
// many.
func entry(all map[string]*subject, name string) *subject {
	x := all[name]
	if x == nil {
		if len(all) >= maxSubjects {
			name = Overflow
		}
		if x = all[name]; x == nil {
			x = &subject{waitedFor: map[string]int{}}
			all[name] = x
		}
	}
	return x
}

// text returns a field of text; "" if it is missing or of another type.
func text(fields map[string]any, key string) string {
	s, _ := fields[key].(string)
	return s
}

// number returns a whole number from 0 to math.MaxInt32, which daemons write as text; 0
// if it is missing, something else or out of range.
func number(fields map[string]any, key string) int {
	switch v := fields[key].(type) {
	case string:
		if n, err := strconv.ParseUint(v, 10, 31); err == nil {
			return int(n)
		}
	case float64:
		if v >= 0 && v <= math.MaxInt32 {
			return int(v)
		}
	}
	return 0
}

// Report returns the summary of the lines so far, with up to top leafs and daemons.
func (b *Builder) Report(top int) *Report {
	r := &Report{
		IntervalMS: b.interval.Milliseconds(), Lines: b.lines, RequestLines: b.requestLines, Truncated: b.truncated, Foreign: b.foreign,
		DaemonCount: len(b.daemons), Intervals: []Interval{}, Totals: []Interval{},
	}
	totals := map[string]*cell{}
	for key, c := range b.cells {
		r.Intervals = append(r.Intervals, Interval{time.Unix(0, key.interval*int64(b.interval)).UTC(), key.route, c.Counts, c.waitedFor})
		total := totals[key.route]
		if total == nil {
			total = &cell{waitedFor: map[string]int{}}
			totals[key.route] = total
		}
		total.Counts = total.plus(c.Counts)
		for cause, n := range c.waitedFor {
			total.waitedFor[cause] += n
		}
	}
	slices.SortFunc(r.Intervals, func(a, b Interval) int {
		return cmp.Or(a.Start.Compare(b.Start), cmp.Compare(a.Route, b.Route))
	})
	for _, route := range slices.Sorted(maps.Keys(totals)) {
		r.Totals = append(r.Totals, Interval{Route: route, Counts: totals[route].Counts, WaitedFor: totals[route].waitedFor})
	}
	r.Leafs = standOut(b.leafs, top, false)
	r.Daemons = standOut(b.daemons, top, true)
	return r
}

func (c Counts) plus(o Counts) Counts {
	return Counts{
		InTime: c.InTime + o.InTime, Partial: c.Partial + o.Partial, Late: c.Late + o.Late,
		Refused: c.Refused + o.Refused, Failed: c.Failed + o.Failed, Abandoned: c.Abandoned + o.Abandoned,
	}
}

// standOut returns up to top entries with more unserved requests than the average, the
// greatest excess first. With byRequest the average is that of a request, otherwise that
// of an entry.
func standOut(all map[string]*subject, top int, byRequest bool) []Subject {
	unserved, base := 0.0, 0.0
	for _, x := range all {
		unserved += float64(x.unserved)
		if byRequest {
			base += float64(x.requests)
		} else {
			base++
		}
	}
	out := []Subject{}
	for name, x := range all {
		expected := unserved / base
		if byRequest {
			expected *= float64(x.requests)
		}
		if excess := float64(x.unserved) - expected; excess > 0 || len(all) == 1 && x.unserved > 0 {
			out = append(out, Subject{Name: name, Service: x.service, Requests: x.requests, Unserved: x.unserved, Excess: excess, WaitedFor: x.waitedFor})
		}
	}
	slices.SortFunc(out, func(a, b Subject) int {
		return cmp.Or(cmp.Compare(b.Excess, a.Excess), cmp.Compare(a.Name, b.Name))
	})
	return out[:min(len(out), top)]
}
