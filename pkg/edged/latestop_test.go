package edged_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/platform/standin"
)

// Guards against requests that arrive late in a planned stop, on connections that were
// opened before, and are sent to a leaf though the process ends before the leaf's answer:
// they must be refused as not run, and no request that ran may lose its answer.
func TestRequestsLateInAStop(t *testing.T) {
	const work = 400 * time.Millisecond
	s := newSite(t)
	leaf := s.leaf("i-1", "one", standin.Behavior{Work: work, Body: []byte("body")})
	unsafe := nonIdempotentRoute("/unsafe/", "one")
	unsafe.LatencyTarget = 2 * work
	s.configure(route("/one/", "one"), unsafe)
	d := s.daemon(1)
	eventually(t, startTimeout, "ready", d.ready)
	const spacing = 20 * time.Millisecond
	callers := make([]*standin.Caller, d.settings.StopTimeout/spacing)
	for i := range callers {
		conn, err := net.Dial("tcp", d.settings.Listen.Caller)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		callers[i] = &standin.Caller{Host: host, Region: "north", Client: &http.Client{Transport: &http.Transport{
			DialContext: func(context.Context, string, string) (net.Conn, error) { return conn, nil },
		}}}
	}
	started := time.Now()
	d.cancel()
	var asking sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]standin.Answer{}
	for i, caller := range callers {
		asking.Go(func() {
			time.Sleep(time.Until(started.Add(time.Duration(i) * spacing)))
			id := fmt.Sprintf("q-%d", i)
			a := caller.Ask(d.settings.Listen.Caller, standin.Request{Method: "POST", Path: "/unsafe/x", ID: id, Wait: 5 * time.Second, Body: strings.NewReader("b")})
			mu.Lock()
			defer mu.Unlock()
			answers[id] = a
		})
	}
	asking.Wait()
	<-d.done
	ran := map[string]bool{}
	for _, r := range leaf.Ran() {
		ran[r.RequestID] = true
	}
	for i := range callers {
		id := fmt.Sprintf("q-%d", i)
		a := answers[id]
		switch {
		case ran[id] && a.Status != http.StatusOK:
			t.Errorf("sent %v after the stop began: ran, status %d, error %v", time.Duration(i)*spacing, a.Status, a.Err)
		case !ran[id] && a.Err == nil && (a.Status != http.StatusServiceUnavailable || a.RetryAfter == ""):
			t.Errorf("sent %v after the stop began: not run, status %d, Retry-After %q", time.Duration(i)*spacing, a.Status, a.RetryAfter)
		}
	}
	if len(ran) < 10 {
		t.Errorf("only %d requests ran", len(ran))
	}
}
