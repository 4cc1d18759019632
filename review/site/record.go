package site

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Record is what a trial saw: what was sent, answered and run. It is safe for
// concurrent use.
type Record struct {
	start time.Time

	mu       sync.Mutex
	lines    []string
	requests map[string]*Request
	order    []*Request
}

// Request is one attempt of a client.
type Request struct {
	ID, Method, Path string
	// Safe requests may run more than once.
	Safe bool
	// Daemon is the name of the daemon to which the client sent the request.
	Daemon string
	SentAt time.Time
	// Status is that of the answer; 0 if there is no complete answer.
	Status     int
	AnsweredAt time.Time
	Stamp      string
	Err        string
	// Runs are the times at which leafs began to work on it.
	Runs []Run
}

// Run is one run of a request at a leaf.
type Run struct {
	Leaf, Target, Method string
	At                   time.Time
}

// NewRecord returns an empty record.
func NewRecord() *Record { return &Record{start: time.Now(), requests: map[string]*Request{}} }

// Since returns a time as seconds from the start of the trial.
func (r *Record) Since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// Printf notes a line with the time and prints it.
func (r *Record) Printf(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line)
	fmt.Println(line)
}

func (r *Record) sent(q *Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[q.ID] = q
	r.order = append(r.order, q)
}

func (r *Record) answered(q *Request, status int, stamp, errText string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q.Status, q.Stamp, q.Err, q.AnsweredAt = status, stamp, errText, time.Now()
}

// Ran notes that a leaf has begun to work on a request.
func (r *Record) Ran(id string, run Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q, ok := r.requests[id]; ok {
		q.Runs = append(q.Runs, run)
		return
	}
	q := &Request{ID: id, Runs: []Run{run}, Err: "no client sent this"}
	r.requests[id] = q
	r.order = append(r.order, q)
}

// Requests returns a copy of all requests so far.
func (r *Record) Requests() []Request {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Request, 0, len(r.order))
	for _, q := range r.order {
		c := *q
		c.Runs = append([]Run(nil), q.Runs...)
		out = append(out, c)
	}
	return out
}

// Write writes the record to a file: first the notes, then a line for each request.
func (r *Record) Write(path string) error {
	requests := r.Requests()
	r.mu.Lock()
	defer r.mu.Unlock()
	var b strings.Builder
	for _, line := range r.lines {
		b.WriteString(line + "\n")
	}
	b.WriteString("\nrequests: sent at, id, method and path, daemon; status, answered at, stamp or error; leaf and time of each run\n")
	for _, q := range requests {
		fmt.Fprintf(&b, "%8.3f %s %s %s %s; %d %.3f %s %.80s;", r.Since(q.SentAt), q.ID, q.Method, q.Path, q.Daemon, q.Status, r.Since(q.AnsweredAt), q.Stamp, q.Err)
		for _, run := range q.Runs {
			fmt.Fprintf(&b, " %s@%.3f", run.Leaf, r.Since(run.At))
			if run.Target != q.Path || run.Method != q.Method {
				fmt.Fprintf(&b, " (as %s %s)", run.Method, run.Target)
			}
		}
		b.WriteString("\n")
	}
	return os.WriteFile(path, []byte(b.String()), 0o644)
}
