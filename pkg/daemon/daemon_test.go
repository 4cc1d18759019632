package daemon

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/api"
	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/core/event"
	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/pkg/peer"
	"github.com/pistachiousher/pistachiousher/pkg/runtime"
	"github.com/pistachiousher/pistachiousher/standin/child"
)

// fakeCore answers a query at once, except one with the text "hold", which it
// answers when the daemon is told to stop.
type fakeCore struct{ heldTokens []event.Token }

func (c *fakeCore) Step(e event.Event) []effect.Effect {
	switch b := e.Body.(type) {
	case event.QueryArrived:
		if b.Request.Query == "hold" {
			c.heldTokens = append(c.heldTokens, b.Token)
			return nil
		}
		return []effect.Effect{completeAnswer(b.Token)}
	case event.HeartbeatArrived:
		return []effect.Effect{effect.ReplyHeartbeat{Token: b.Token, Result: model.LeaseGranted}}
	case event.StopRequested:
		var out []effect.Effect
		for _, token := range c.heldTokens {
			out = append(out, completeAnswer(token))
		}
		return append(out, effect.Exit{Reason: b.Reason})
	}
	return nil
}

func completeAnswer(token event.Token) effect.Effect {
	return effect.ReplyQuery{Token: token, Answer: &model.Answer{RequestID: "i", Service: "racuni", Asked: 2, Answered: 2, Complete: true, Attempts: 3}}
}

func (c *fakeCore) NextWake() model.Time { return model.Never }

func (c *fakeCore) Header() model.Header { return model.Header{BundleVersion: 7, Epoch: 8} }

func (c *fakeCore) Status(model.Time) model.DaemonStatus {
	return model.DaemonStatus{Reason: "no lease", Owned: 4}
}

// startDaemon runs a daemon and returns, once it listens, its addresses and the
// channel that gets the result of Run.
func startDaemon(t *testing.T, ctx context.Context, out io.Writer) (Addresses, <-chan error) {
	t.Helper()
	platform := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(platform.Close)
	listening := make(chan Addresses, 1)
	done := make(chan error, 1)
	go func() {
		done <- Run(ctx, Options{
			VM: "vm1", Region: "r1",
			Listen:       Addresses{Caller: "127.0.0.1:0", Peer: "127.0.0.1:0", Admin: "127.0.0.1:0"},
			Platform:     []string{platform.URL},
			PlatformRate: 10, PlatformBurst: 10,
			NewCore:   func(Addresses) (runtime.Core, error) { return new(fakeCore), nil },
			Decode:    func(event.DocumentKind, []byte) (event.Document, error) { return event.Document{}, errors.New("none") },
			LogOutput: out,
			Listening: func(a Addresses) { listening <- a },
		})
	}()
	select {
	case a := <-listening:
		return a, done
	case err := <-done:
		t.Fatalf("daemon ended at once: %v", err)
	case <-time.After(5 * time.Second):
		t.Fatal("daemon does not listen after 5 s")
	}
	return Addresses{}, nil
}

func httpGet(t *testing.T, url string) (int, string) {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

func queryRequest(text string) api.QueryRequest {
	return api.QueryRequest{Caller: "c", RequestID: "i", DeadlineMS: 5000, Query: text, TopK: 1}
}

func awaitExit(t *testing.T, done <-chan error) {
	t.Helper()
	select {
	case err := <-done:
		if err != nil {
			t.Errorf("daemon ended with %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("daemon did not end in 10 s")
	}
}

// Guards against listeners that do not reach the reducer, and against probes
// and metrics that do not show its state.
func TestDaemonServes(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	out := new(child.Output)
	a, done := startDaemon(t, ctx, out)
	answer, versions, err := new(api.Client).Query(ctx, a.Caller, "racuni", queryRequest("q"))
	if err != nil || !answer.Complete || versions != (api.Versions{Bundle: 7, Epoch: 8}) {
		t.Errorf("query: %+v, %+v, %v", answer, versions, err)
	}
	peers := peer.NewClient(nil)
	defer peers.Close()
	if r, err := peers.Heartbeat(ctx, effect.SendHeartbeat{Address: a.Peer}); err != nil || r.Result != model.LeaseGranted {
		t.Errorf("heartbeat: %+v, %v", r, err)
	}
	if status, _ := httpGet(t, "http://"+a.Admin+"/healthz"); status != 200 {
		t.Errorf("/healthz: %d", status)
	}
	if status, body := httpGet(t, "http://"+a.Admin+"/readyz"); status != 503 || !strings.Contains(body, "no lease") {
		t.Errorf("/readyz without a lease: %d %s", status, body)
	}
	_, page := httpGet(t, "http://"+a.Admin+"/metrics")
	for _, line := range []string{
		`pistachiousher_queries_total{class="normal",outcome="complete"} 1`,
		`pistachiousher_events_total{event="HeartbeatArrived"} 1`,
		`pistachiousher_extra_attempts_total 1`,
		`pistachiousher_owned_servers 4`,
		`pistachiousher_epoch 8`,
	} {
		if !strings.Contains(page, line+"\n") {
			t.Errorf("metrics lack %s", line)
		}
	}
	cancel()
	awaitExit(t, done)
	for _, name := range []string{"daemon_started", "daemon_stop_requested", "runtime_exit", "daemon_stopped"} {
		if !strings.Contains(out.String(), `"message":"`+name+`"`) {
			t.Errorf("log lacks %s:\n%s", name, out)
		}
	}
}

// Guards against a planned stop that drops a request: SIGTERM must end the
// daemon only after the answer of a running request is written.
func TestSignalDropsNoRequest(t *testing.T) {
	a, done := startDaemon(t, context.Background(), io.Discard)
	result := make(chan error, 1)
	go func() {
		_, _, err := new(api.Client).Query(context.Background(), a.Caller, "racuni", queryRequest("hold"))
		result <- err
	}()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if _, page := httpGet(t, "http://"+a.Admin+"/metrics"); strings.Contains(page, `events_total{event="QueryArrived"} 1`) {
			break
		}
		if time.Now().After(end) {
			t.Fatal("the request did not arrive in 5 s")
		}
	}
	if err := syscall.Kill(syscall.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := <-result; err != nil {
		t.Errorf("running request: %v", err)
	}
	awaitExit(t, done)
}

// Guards against a daemon that starts with incomplete options.
func TestIncompleteOptionsAreRefused(t *testing.T) {
	if err := Run(context.Background(), Options{VM: "vm1"}); !errors.Is(err, ErrOptions) {
		t.Errorf("%v, want ErrOptions", err)
	}
}
