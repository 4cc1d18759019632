package process

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/cli"
	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/standin/processes"
)

// commandResult is the exit code and the output of an operator command.
type commandResult struct {
	exitCode int
	output   string
}

// runConcurrently runs operator commands at the same time.
func (f *fixture) runConcurrently(commands ...[]string) []commandResult {
	f.Helper()
	results := make([]commandResult, len(commands))
	errs := make([]error, len(commands))
	var wg sync.WaitGroup
	for i, c := range commands {
		wg.Go(func() { results[i].exitCode, results[i].output, errs[i] = f.Command(f.Context(), c...) })
	}
	wg.Wait()
	for _, err := range errs {
		f.failOnError(err)
	}
	return results
}

// Guards against a lost update when two operators roll out different versions
// on the same base at the same time.
func TestConcurrentRollOuts(t *testing.T) {
	f := startTier(t, 3, processes.DefaultRate)
	ctx := t.Context()
	begin := time.Now()
	f.failOnError(f.Propose(ctx, processes.Bundle{Version: 2, HedgePercentile: 90}))
	f.failOnError(f.Propose(ctx, processes.Bundle{Version: 3, Halves: true}))
	rollOut := func(version int) []string {
		return []string{"bundle", "roll-out", "-platform", f.Platform(), "-base", "1", fmt.Sprint(version)}
	}
	results := f.runConcurrently(rollOut(2), rollOut(3))
	decided := time.Now()
	winner := 0
	if results[0].exitCode != int(cli.ExitOK) {
		winner = 1
	}
	won, lost := results[winner], results[1-winner]
	if won.exitCode != int(cli.ExitOK) || lost.exitCode != int(cli.ExitConflict) {
		t.Fatalf("exit codes %d and %d, want one 0 and one 3:\n%s\n%s", results[0].exitCode, results[1].exitCode, won.output, lost.output)
	}
	if !strings.Contains(lost.output, "not 1") {
		t.Errorf("the conflict message does not name base version 1: %s", lost.output)
	}
	active, err := f.ActiveBundle(ctx)
	f.failOnError(err)
	if active != uint64(winner)+2 {
		t.Errorf("version %d is active, want %d, whose roll-out succeeded", active, winner+2)
	}
	time.Sleep(recoveryTarget + 2*time.Second)
	end := time.Now()
	logs := f.stopLoadAndCheck()
	f.wantAllComplete(begin, end)
	wantLayout := processes.LayoutQuarters
	if winner == 1 {
		wantLayout = processes.LayoutHalves
	}
	for _, l := range logs {
		for _, r := range l.Runs {
			if l.Service == processes.ServiceArchive && r.Start.After(decided.Add(recoveryTarget)) && r.Layout != wantLayout {
				t.Errorf("%s ran a request for layout %s after version %d was rolled out", l.Name, r.Layout, winner+2)
			}
		}
	}
}

// Guards against a lost update when one operator takes out a failure domain
// while another drains a server.
func TestConcurrentTakeOutAndDrain(t *testing.T) {
	const (
		domain = model.FailureDomain("vukovar")
		server = model.ServerName("arhiv-7") // Its replica arhiv-8 is in osijek-b.
	)
	f := startTier(t, 3, processes.DefaultRate)
	results := f.runConcurrently(
		[]string{"domain", "take-out", "-platform", f.Platform(), "-author", "ana", "-reason", "switch", string(domain)},
		[]string{"server", "drain", "-platform", f.Platform(), "-author", "iva", "-reason", "disk", string(server)},
	)
	bothDone := time.Now()
	for _, r := range results {
		if r.exitCode != int(cli.ExitOK) {
			t.Fatalf("exit code %d: %s", r.exitCode, r.output)
		}
	}
	time.Sleep(recoveryTarget + 2*time.Second)
	end := time.Now()
	logs := f.stopLoadAndCheck()
	f.wantAllComplete(bothDone.Add(recoveryTarget), end)
	for _, l := range logs {
		if n := l.RunsBetween(bothDone.Add(recoveryTarget), end); n > 0 && (l.Domain == domain || l.Name == server) {
			t.Errorf("%s in %s got %d requests more than %v after both commands", l.Name, l.Domain, n, recoveryTarget)
		}
	}
}

// Guards against new work in a failure domain that was taken out, against lost
// coverage during the change, and against a domain that stays unused after it was
// brought back.
func TestDomainOutAndBack(t *testing.T) {
	const domain = model.FailureDomain("vukovar")
	f := startTier(t, 3, processes.DefaultRate)
	ctx := t.Context()
	begin := time.Now()
	f.failOnError(f.TakeOut(ctx, domain))
	takenOut := time.Now()
	time.Sleep(recoveryTarget + 2*time.Second)
	broughtBack := time.Now()
	f.failOnError(f.BringBack(ctx, domain))
	time.Sleep(recoveryTarget + 2*time.Second)
	end := time.Now()
	logs := f.stopLoadAndCheck()
	f.wantServiceComplete(processes.ServiceArchive, begin, end)
	f.wantServiceComplete(processes.ServiceOrders, takenOut.Add(recoveryTarget), end)
	runsAfterBringBack := 0
	for _, l := range logs {
		if l.Domain != domain {
			continue
		}
		if n := l.RunsBetween(takenOut.Add(recoveryTarget), broughtBack); n > 0 {
			t.Errorf("%s got %d requests more than %v after the take-out", l.Name, n, recoveryTarget)
		}
		runsAfterBringBack += l.RunsBetween(broughtBack.Add(recoveryTarget), end)
	}
	if runsAfterBringBack == 0 {
		t.Errorf("%s got no requests after it was brought back", domain)
	}
}
