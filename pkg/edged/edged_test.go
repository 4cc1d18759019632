package edged_test

import (
	"errors"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/edge"
	"github.com/pistachiousher/pistachiousher/pkg/edged"
	"github.com/pistachiousher/pistachiousher/platform"
	"github.com/pistachiousher/pistachiousher/platform/standin"
)

// startTimeout is how long a daemon may take from its start until it serves.
const startTimeout = 2 * time.Second

// paddedRecord returns text cut or padded to a record of 16 bytes.
func paddedRecord(text string) string { return (text + strings.Repeat(".", 16))[:16] }

// Guards against a merged answer with the wrong records, order, stamps or number of
// missing shards.
func TestMergedAnswer(t *testing.T) {
	s := newSite(t)
	s.leaf("i-1", "one", standin.Behavior{Body: []byte(paddedRecord("b") + paddedRecord("d") + "rest")})
	s.leaf("i-2", "two", standin.Behavior{Body: []byte(paddedRecord("c") + paddedRecord("d"))})
	s.configure(shardedRoute("/all/", 3, 0.5, "one", "two", "none"))
	d := s.daemon(1)
	eventually(t, startTimeout, "ready", d.ready)
	a := d.call("GET", "/all/x?q=1", "q1", time.Second, "")
	if a.Status != http.StatusOK || a.Body != paddedRecord("d")+paddedRecord("d")+paddedRecord("c") {
		t.Fatalf("answer %+v", a)
	}
	if !slices.Equal(a.Parts, []string{"i-1.q1", "i-2.q1"}) || a.Missing != 1 {
		t.Errorf("parts %v, %d missing", a.Parts, a.Missing)
	}
}

// Guards against requests that are cut off or refused while a daemon stops: it must
// serve as long as callers may use its address, and answer the requests in flight.
func TestStopAnswersOpenRequests(t *testing.T) {
	s := newSite(t)
	s.leaf("i-1", "one", standin.Behavior{Work: 700 * time.Millisecond, Body: []byte("body")})
	s.configure(route("/one/", "one"))
	d := s.daemon(1)
	eventually(t, startTimeout, "ready", d.ready)
	open := make(chan standin.Answer, 20)
	go func() {
		// Requests start before and throughout the time in which callers may use the
		// address, so that some are open at each step of the shutdown.
		for range cap(open) {
			go func() { open <- d.call("GET", "/one/x", "q", 2*time.Second, "") }()
			time.Sleep(30 * time.Millisecond)
		}
	}()
	time.Sleep(50 * time.Millisecond)
	d.cancel()
	eventually(t, 500*time.Millisecond, "not ready", func() bool { return !d.ready() })
	for range cap(open) {
		if a := <-open; a.Err != nil || a.Status != http.StatusOK || a.Body != "body" {
			t.Errorf("answer %+v", a)
		}
	}
	select {
	case <-d.done:
	case <-time.After(d.settings.StopTimeout):
		t.Error("the daemon did not end in time")
	}
}

// Guards against a configuration that a daemon misses because its watches of the
// store get no more answers: it must be in force 3 s after it was written.
func TestConfigAfterSilentWatch(t *testing.T) {
	s := newSite(t)
	s.leaf("i-1", "one", standin.Behavior{Body: []byte("one")})
	s.leaf("i-2", "two", standin.Behavior{Body: []byte("two")})
	s.configure(route("/r/", "one"))
	daemons := []*daemon{s.daemon(1), s.daemon(2), s.daemon(3)}
	for _, d := range daemons {
		eventually(t, startTimeout, "ready", d.ready)
	}
	s.store.Compact()
	s.configure(route("/r/", "two"))
	changed := time.Now()
	for _, d := range daemons {
		eventually(t, 3*time.Second-time.Since(changed), "new version at "+d.settings.VM, func() bool {
			return d.call("GET", "/r/x", "q", time.Second, "").Body == "two"
		})
	}
}

// Guards against requests that are accepted in the last moments of a shutdown, from
// callers that still use the address, and cut off by the end of the process.
func TestStopAnswersRequestsToOldAddress(t *testing.T) {
	s := newSite(t)
	l := s.leaf("i-1", "one", standin.Behavior{Work: 60 * time.Millisecond, Body: []byte("body")})
	s.configure(route("/one/", "one"))
	d := s.daemon(1)
	eventually(t, startTimeout, "ready", d.ready)
	d.client.Transport.(*http.Transport).DisableKeepAlives = true
	var answered atomic.Int64
	var callers sync.WaitGroup
	d.cancel()
	for ended := false; !ended; {
		time.Sleep(5 * time.Millisecond)
		callers.Go(func() {
			if a := d.call("GET", "/one/x", "q", time.Second, ""); a.Status == http.StatusOK {
				answered.Add(1)
			}
		})
		select {
		case <-d.done:
			ended = true
		default:
		}
	}
	callers.Wait()
	if ran := len(l.Ran()); ran != int(answered.Load()) {
		t.Errorf("%d requests reached the leaf, %d were answered", ran, answered.Load())
	}
}

// Guards against a directory that names a stopping daemon, or only one of several
// daemons.
func TestDirectoryOfTwoDaemons(t *testing.T) {
	s := newSite(t)
	s.leaf("i-1", "one", standin.Behavior{Body: []byte("body")})
	s.configure(route("/one/", "one"))
	a, b := s.daemon(1), s.daemon(2)
	eventually(t, startTimeout, "both are named", func() bool { return len(a.addresses()) == 2 && len(b.addresses()) == 2 })
	b.cancel()
	eventually(t, 500*time.Millisecond, "the stopping daemon is not named", func() bool {
		return len(a.addresses()) == 1 && a.addresses()[0] == a.settings.Listen.Caller
	})
	b.stop()
	b.start()
	eventually(t, startTimeout, "the daemon is named after its restart", func() bool { return len(a.addresses()) == 2 })
}

// Guards against a daemon that starts during an outage of the store and cannot
// serve, although another daemon knows the configuration and the leafs.
func TestStartDuringOutage(t *testing.T) {
	s := newSite(t)
	s.leaf("i-1", "one", standin.Behavior{Body: []byte("body")})
	s.configure(route("/one/", "one"))
	a := s.daemon(1)
	eventually(t, startTimeout, "ready", a.ready)
	s.store.SetDown(true)
	b := s.daemon(2)
	eventually(t, 3*time.Second, "ready during the outage", b.ready)
	for _, d := range []*daemon{a, b} {
		if got := d.call("GET", "/one/x", "q", time.Second, ""); got.Body != "body" {
			t.Errorf("%s: answer %+v", d.settings.VM, got)
		}
	}
	s.store.SetDown(false)
	s.configure(route("/one/", "two"))
	eventually(t, 3*time.Second, "a configuration written after the outage", func() bool {
		return a.call("GET", "/one/x", "q", time.Second, "").Status == http.StatusServiceUnavailable &&
			b.call("GET", "/one/x", "q", time.Second, "").Status == http.StatusServiceUnavailable
	})
}

// Guards against non-idempotent requests that run twice, refusals with the wrong
// status, and a shed request that is refused without a Retry-After header.
func TestNonIdempotentRequestsRunOnce(t *testing.T) {
	s := newSite(t)
	lost := s.leaf("i-1", "lost", standin.Behavior{Lose: true})
	shed := s.leaf("i-2", "shed", standin.Behavior{Shed: true})
	s.configure(
		nonIdempotentRoute("/lost/", "lost"),
		nonIdempotentRoute("/shed/", "shed"),
	)
	d := s.daemon(1)
	eventually(t, startTimeout, "ready", d.ready)
	if a := d.call("POST", "/lost/x", "q1", time.Second, "order"); a.Status != http.StatusBadGateway || a.RetryAfter != "" {
		t.Errorf("lost answer: %+v", a)
	}
	if ran := lost.Ran(); len(ran) != 1 || ran[0].Body != "order" || ran[0].RequestID != "q1" || ran[0].Path != "/lost/x" || ran[0].Method != "POST" {
		t.Errorf("ran %+v", ran)
	}
	if a := d.call("POST", "/shed/x", "q2", time.Second, "order"); a.Status != http.StatusServiceUnavailable || a.RetryAfter == "" {
		t.Errorf("shed request: %+v", a)
	}
	if len(shed.Ran()) != 0 {
		t.Error("a shed request ran")
	}
	if a := d.call("POST", "/none/x", "q3", time.Second, ""); a.Status != http.StatusNotFound {
		t.Errorf("unknown route: %+v", a)
	}
	if a := d.call("POST", "/lost/x", "q4", time.Second, strings.Repeat("x", 1001)); a.Status != http.StatusRequestEntityTooLarge {
		t.Errorf("body over the limit: %+v", a)
	}
	if a := d.call("GET", "/shed/"+strings.Repeat("x", 16384), "q5", time.Second, ""); a.Status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("header over the limit: %+v", a)
	}
	if a := d.call("GET", "/shed/"+strings.Repeat("x", 16000), "q6", time.Second, ""); a.Status != http.StatusServiceUnavailable {
		t.Errorf("header within the limit: %+v", a)
	}
}

// Guards against a leaf's unsolicited second answer on a reused connection that is
// forwarded as the answer to another request.
func TestUnsolicitedAnswerIsNotForwarded(t *testing.T) {
	s := newSite(t)
	s.leaf("i-1", "one", standin.Behavior{Body: []byte("body"), Extra: true})
	s.configure(route("/one/", "one"))
	d := s.daemon(1)
	eventually(t, startTimeout, "ready", d.ready)
	answered := 0
	for i := range 20 {
		id := "q" + strings.Repeat("x", i)
		a := d.call("GET", "/one/x", id, time.Second, "")
		switch {
		case a.Status == http.StatusOK && a.RequestID == id && a.Body == "body":
			answered++
		case a.Status == http.StatusBadGateway && a.Stamp == "":
			// The connection ended before this request's answer, and the retry budget
			// is spent.
		default:
			t.Errorf("answer to %s: %+v", id, a)
		}
		time.Sleep(time.Duration(i) * 2 * time.Millisecond)
	}
	if answered < 10 {
		t.Errorf("%d of 20 requests were answered, want at least 10", answered)
	}
}

// Guards against a leaf that goes on working after the caller has disconnected.
func TestCallIsCancelledWhenCallerLeaves(t *testing.T) {
	s := newSite(t)
	l := s.leaf("i-1", "one", standin.Behavior{Work: 5 * time.Second})
	s.configure(route("/one/", "one"))
	d := s.daemon(1)
	eventually(t, startTimeout, "ready", d.ready)
	d.client.Timeout = 100 * time.Millisecond
	d.call("GET", "/one/x", "q", 2*time.Second, "")
	eventually(t, 500*time.Millisecond, "the leaf stops", func() bool { return l.Cancelled() == 1 })
	if deadline := l.Ran()[0].Deadline; len(deadline) != 4 || deadline > "2000" {
		t.Errorf("the leaf was given a deadline of %s ms, want four digits and at most 2000", deadline)
	}
}

// Guards against invalid settings that are accepted or not reported as ErrSettings.
func TestInvalidSettingsAreRejected(t *testing.T) {
	for name, text := range map[string]string{
		"unknown key": "vm: a\nfoo: 1", "no vm": "failure_domain: a", "bad address": "vm: a\nfailure_domain: a\nlisten: {caller: x}",
	} {
		if _, err := edged.ParseSettings(name, []byte(text)); !errors.Is(err, edged.ErrSettings) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against an invalid settings file that ends the daemon, or that is not logged.
func TestSettingsReload(t *testing.T) {
	s := newSite(t)
	s.leaf("i-1", "one", standin.Behavior{Body: []byte("body")})
	s.configure(route("/one/", "one"))
	d := s.daemon(1)
	eventually(t, startTimeout, "ready", d.ready)
	d.stop()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(d.settingsText)
	settings, err := edged.LoadSettings(path)
	if err != nil {
		t.Fatal(err)
	}
	d.settings = settings
	d.start()
	eventually(t, startTimeout, "ready", d.ready)
	sendSIGHUP := func() {
		if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	write("vm: [")
	sendSIGHUP()
	eventually(t, 2*time.Second, "the fault is logged", func() bool { return strings.Contains(d.log.String(), "edge_settings_invalid") })
	write(strings.Replace(d.settingsText, "ratio: 0.2", "ratio: 0.1", 1))
	sendSIGHUP()
	eventually(t, 2*time.Second, "the change is logged", func() bool { return strings.Contains(d.log.String(), "edge_settings_read") })
	if a := d.call("GET", "/one/x", "q", time.Second, ""); a.Status != http.StatusOK {
		t.Errorf("answer %+v", a)
	}
}

// Guards against requests, or a shutdown, that block on a log output that nobody
// reads.
func TestBlockedLogOutput(t *testing.T) {
	s := newSite(t)
	s.leaf("i-1", "one", standin.Behavior{Body: []byte("body")})
	s.configure(route("/one/", "one"))
	d := s.daemon(1)
	eventually(t, startTimeout, "ready", d.ready)
	d.stop()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	defer writer.Close()
	d.logOutput = writer
	d.start()
	eventually(t, startTimeout, "ready", d.ready)
	// The lines of refusals are not limited: these are more than the pipe, the buffer
	// and the queue can hold.
	for i := range 2000 {
		if a := d.call("GET", "/nowhere/"+strings.Repeat("x", 200), "q", time.Second, ""); a.Status != http.StatusNotFound {
			t.Fatalf("refusal %d: %+v", i, a)
		}
	}
	if a := d.call("GET", "/one/x", "q", time.Second, ""); a.Status != http.StatusOK {
		t.Errorf("answer %+v", a)
	}
	d.cancel()
	select {
	case <-d.done:
	case <-time.After(d.settings.StopTimeout):
		t.Error("the daemon did not end in time")
	}
}

// Guards against a daemon that does not write its entry in the store again after
// the entry was deleted, as happens while a daemon is cut off from the others.
func TestDeletedDaemonEntryIsWrittenAgain(t *testing.T) {
	s := newSite(t)
	s.configure(route("/one/", "one"))
	d := s.daemon(1)
	eventually(t, startTimeout, "ready", d.ready)
	store := platform.NewStore(s.storeServer.Listener.Addr().String(), func(edge.Kind, string, string) {})
	listed := func() bool {
		entries, _, err := store.List(t.Context(), edge.KindDaemons, false)
		return err == nil && slices.ContainsFunc(entries, func(o edge.Object) bool { return o.Name == d.settings.VM })
	}
	eventually(t, startTimeout, "the entry is there", listed)
	time.Sleep(200 * time.Millisecond)
	if err := store.Remove(t.Context(), edge.KindDaemons, d.settings.VM); err != nil {
		t.Fatal(err)
	}
	eventually(t, 3*time.Second, "the entry is back", listed)
}

// Guards against a deadline for the leaf that is longer than the time the caller has
// left, when the request's body arrives slowly: the caller's time starts at the header.
func TestSlowBodyCountsAsCallersTime(t *testing.T) {
	const wait, bodyDelay = 1500 * time.Millisecond, 600 * time.Millisecond
	s := newSite(t)
	leaf := s.leaf("i-1", "one", standin.Behavior{Body: []byte("body")})
	s.configure(route("/one/", "one"))
	d := s.daemon(1)
	eventually(t, startTimeout, "ready", d.ready)
	body, bodyWriter := io.Pipe()
	go func() {
		time.Sleep(bodyDelay)
		_, _ = bodyWriter.Write([]byte("text"))
		bodyWriter.Close()
	}()
	a := d.caller().Ask(d.settings.Listen.Caller, standin.Request{Method: "POST", Path: "/one/x", ID: "q", Wait: wait, Body: body})
	if a.Status != http.StatusOK {
		t.Fatalf("answer %+v", a)
	}
	left, err := strconv.Atoi(leaf.Ran()[0].Deadline)
	if most := int((wait - bodyDelay).Milliseconds()); err != nil || left > most {
		t.Errorf("the leaf got %d ms, the caller had %d left (%v)", left, most, err)
	}
}

// Guards against accepted requests that are cut off without an answer when the stop
// timeout ends.
func TestEndOfStopAnswersOpenRequests(t *testing.T) {
	s := newSite(t)
	leaf := s.leaf("i-1", "one", standin.Behavior{Work: 30 * time.Second})
	r := route("/one/", "one")
	r.Timeout, r.MaxAttempts = 30*time.Second, 1
	s.configure(r)
	d := s.daemon(1)
	eventually(t, startTimeout, "ready", d.ready)
	answers := make(chan standin.Answer, 5)
	for range cap(answers) {
		go func() { answers <- d.call("GET", "/one/x", "q", 20*time.Second, "") }()
	}
	eventually(t, time.Second, "the leaf works", func() bool { return len(leaf.Arrivals()) == cap(answers) })
	started := time.Now()
	d.cancel()
	for range cap(answers) {
		if a := <-answers; a.Err != nil || a.Status != http.StatusGatewayTimeout {
			t.Errorf("answer %+v", a)
		}
	}
	<-d.done
	if took := time.Since(started); took > d.settings.StopTimeout {
		t.Errorf("the shutdown took %v, want at most %v", took, d.settings.StopTimeout)
	}
}
