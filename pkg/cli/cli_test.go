package cli

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/pistachiousher/pistachiousher/pkg/api"
	"github.com/pistachiousher/pistachiousher/pkg/core/effect"
	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/standin/platform"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){programName: func() {
		env := &Env{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Now: time.Now}
		os.Exit(int(Run(context.Background(), env, os.Args[1:])))
	}})
}

type platformKey struct{}

// Guards against commands that make unintended changes, and against wrong exit
// codes, on which operators' scripts rely.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(e *testscript.Env) error {
			p := platform.New(platform.Options{})
			server := httptest.NewServer(p.Handler())
			e.Defer(server.Close)
			e.Values[platformKey{}] = p
			e.Setenv("PLATFORM", strings.TrimPrefix(server.URL, "http://"))
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exits":        cmdExits,
			"lose-replies": cmdLoseReplies,
			"outage":       cmdOutage,
			"daemon":       cmdDaemon,
			"entry":        cmdEntry,
			"edge-daemon":  cmdEdgeDaemon,
		},
	})
}

// cmdExits runs the program and checks its exit code: exits CODE ARGS...
func cmdExits(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[0])
	ts.Check(err)
	err = ts.Exec(programName, args[1:]...)
	got := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		got = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}

func cmdLoseReplies(ts *testscript.TestScript, _ bool, args []string) {
	n, err := strconv.Atoi(args[0])
	ts.Check(err)
	ts.Value(platformKey{}).(*platform.Server).LoseReplies(n)
}

func cmdOutage(ts *testscript.TestScript, _ bool, args []string) {
	ts.Value(platformKey{}).(*platform.Server).SetOutage(args[0] == "on")
}

// cmdDaemon serves a fixed reply at /statusz and sets a variable to its
// address: daemon VAR BUNDLE CONTROLS SERVING.
func cmdDaemon(ts *testscript.TestScript, _ bool, args []string) {
	body := fmt.Sprintf(`{"vm":"entry-1","bundle_version":%s,"controls_version":%s,"serving":%s,"epoch":2}`, args[1], args[2], args[3])
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, body) }))
	ts.Defer(server.Close)
	ts.Setenv(args[0], strings.TrimPrefix(server.URL, "http://"))
}

// frontend answers every lookup with its own address, and every query with the
// refusal if it is set, or else with a partial answer.
type frontend struct {
	address string
	refusal model.RefusalKind
}

func (f *frontend) Header() model.Header { return model.Header{BundleVersion: 3, Epoch: 2} }

func (f *frontend) Lookup(context.Context, model.ServiceName, model.CallerName) *effect.ReplyLookup {
	return &effect.ReplyLookup{Addresses: []effect.LookupAddress{{VM: "entry-1", Address: f.address, RequestIDPrefix: "entry-1.a.1"}}}
}

func (f *frontend) Query(_ context.Context, r model.Request, _ time.Duration) (*model.Answer, *model.Refusal) {
	if f.refusal != "" {
		return nil, &model.Refusal{RequestID: r.ID, Kind: f.refusal, Reason: "test", RetryAfter: 70 * time.Millisecond}
	}
	missing := []model.MissingShard{{Shard: "s2", Reason: model.MissingDeadline}}
	return &model.Answer{RequestID: r.ID, Service: r.Service, Asked: 2, Answered: 1, Missing: missing, Items: []model.Item{{ID: "i"}}}, nil
}

// cmdEntry serves the caller API and sets a variable to its address:
// entry VAR [REFUSAL].
func cmdEntry(ts *testscript.TestScript, _ bool, args []string) {
	f := &frontend{}
	if len(args) > 1 {
		f.refusal = model.RefusalKind(args[1])
	}
	server := httptest.NewUnstartedServer(api.NewHandler(f))
	f.address = server.Listener.Addr().String()
	server.Start()
	ts.Defer(server.Close)
	ts.Setenv(args[0], f.address)
}

// fakeCaller answers lookups with two daemons, and queries with the elements of
// errs in order.
type fakeCaller struct {
	errs  []error
	asked []string
}

func (f *fakeCaller) Lookup(context.Context, string, model.ServiceName, model.CallerName) (*api.Lookup, error) {
	return &api.Lookup{Addresses: []api.Address{{Address: "1", RequestIDPrefix: "a"}, {Address: "2", RequestIDPrefix: "b"}}}, nil
}

func (f *fakeCaller) Query(_ context.Context, address string, _ model.ServiceName, q api.QueryRequest) (*api.Answer, api.Versions, error) {
	f.asked = append(f.asked, address+" "+string(q.RequestID))
	return nil, api.Versions{}, f.errs[len(f.asked)-1]
}

// Guards against resending a query that may have run, and against an exit code
// which says that it did not run.
func TestQueryIsSentAgainOnlyIfNotSent(t *testing.T) {
	refused := func(kind model.RefusalKind) error { return &api.RefusalError{Refusal: api.Refusal{Kind: kind}} }
	for _, c := range []struct {
		errs  []error
		asked int
		code  ExitCode
	}{
		{[]error{api.ErrUnreachable, api.ErrUnreachable}, 2, ExitNotRun},
		{[]error{api.ErrUnreachable, refused(model.NotRun)}, 2, ExitNotRun},
		{[]error{api.ErrUnknownOutcome}, 1, ExitMayHaveRun},
		{[]error{api.ErrTruncated}, 1, ExitMayHaveRun},
		{[]error{refused(model.MayHaveRun)}, 1, ExitMayHaveRun},
		{[]error{refused(model.Invalid)}, 1, ExitUsage},
	} {
		f := &fakeCaller{errs: c.errs}
		a := queryAction{entry: entryFlags{entries: "127.0.0.1:1", service: "s", caller: "c"}, deadline: time.Second}
		a.request = api.QueryRequest{Caller: "c", DeadlineMS: 1000, TopK: 1}
		_, err := a.sendQuery(context.Background(), f)
		if got := explainError(err); got.Code != c.code || got.Next == "" || len(f.asked) != c.asked {
			t.Errorf("%v: asked %v, %+v", c.errs, f.asked, got)
		}
		if c.asked == 2 && f.asked[1] != "2 b.1" {
			t.Errorf("second daemon got %q, want a request id from its own range", f.asked[1])
		}
	}
}
