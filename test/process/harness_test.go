package process

import (
	"context"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/standin/child"
	"github.com/pistachiousher/pistachiousher/standin/processes"
)

const (
	// recoveryTarget is the time within which coverage must recover after the
	// loss of an owner, a failure domain or server must stop getting new work,
	// and a configuration must be in effect everywhere.
	recoveryTarget = 3 * time.Second
	// warmUp is how long the load runs undisturbed before a failure.
	warmUp = time.Second
	// maxParallelTiers limits the load on the machine.
	maxParallelTiers = "3"
	// logTailBytes is how much of the end of each log a failed test prints.
	logTailBytes = 400000
)

// binDir is the directory of the programs under test.
var binDir string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(run(m))
}

func run(m *testing.M) int {
	if testing.Short() {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "process")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	if err := flag.Set("test.parallel", maxParallelTiers); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if err := child.Build(context.Background(), dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return m.Run()
}

// fixture is a running tier under load.
type fixture struct {
	*testing.T
	*processes.Tier
	load *processes.Load
}

// startTier starts a tier and its load, and returns after warmUp.
func startTier(t *testing.T, daemons, rate int) *fixture {
	t.Helper()
	if testing.Short() {
		t.Skip("starts processes")
	}
	t.Parallel()
	tier, err := processes.Start(t.Context(), processes.Options{Bin: binDir, Dir: t.TempDir(), Daemons: daemons})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tier.Close)
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(tier.LogTail(logTailBytes))
		}
	})
	f := &fixture{T: t, Tier: tier, load: tier.StartLoad(rate)}
	t.Cleanup(f.load.Stop)
	time.Sleep(warmUp)
	return f
}

// stopLoadAndCheck stops the load and checks the invariants that hold in every
// run.
func (f *fixture) stopLoadAndCheck() []processes.ServerLog {
	f.Helper()
	f.load.Stop()
	logs, err := f.Logs(f.Context())
	f.failOnError(err)
	for _, v := range processes.Violations(logs, f.load.Requests()) {
		f.Error(v)
	}
	return logs
}

// failOnError ends the test if err is not nil.
func (f *fixture) failOnError(err error) {
	f.Helper()
	if err != nil {
		f.Fatal(err)
	}
}

// wantAllComplete checks for both services that every request sent in [from, to)
// was answered completely, and that enough requests were sent.
func (f *fixture) wantAllComplete(from, to time.Time) {
	f.Helper()
	f.wantServiceComplete(processes.ServiceArchive, from, to)
	f.wantServiceComplete(processes.ServiceOrders, from, to)
}

// wantServiceComplete does the check of wantAllComplete for one service.
func (f *fixture) wantServiceComplete(service model.ServiceName, from, to time.Time) {
	f.Helper()
	requests := f.load.Between(service, from, to)
	// This is half of the order rate and a quarter of the query rate.
	if minRequests := int(to.Sub(from).Seconds() * processes.DefaultRate / 4); len(requests) < minRequests {
		f.Errorf("%s: %d requests in %v, want at least %d", service, len(requests), to.Sub(from), minRequests)
	}
	incomplete := 0
	for _, r := range requests {
		if r.Complete() {
			continue
		}
		if incomplete++; incomplete <= 5 {
			f.Errorf("%s request %s sent %v after the start of the interval: %s", service, r.ID, r.Sent.Sub(from), describeOutcome(r))
		}
	}
	if incomplete > 0 {
		f.Errorf("%s: %d of %d requests have no complete answer", service, incomplete, len(requests))
	}
}

func describeOutcome(r *processes.Request) string {
	if r.Err != nil {
		return fmt.Sprintf("%v after %v", r.Err, r.Ended.Sub(r.Sent))
	}
	return fmt.Sprintf("%+v after %v", r.Answer.Shards, r.Ended.Sub(r.Sent))
}
