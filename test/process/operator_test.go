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

// result is what a command gave.
type result struct {
	code int
	text string
}

// race runs commands at the same time.
func (f *fixture) race(commands ...[]string) []result {
	f.Helper()
	results := make([]result, len(commands))
	errs := make([]error, len(commands))
	var wg sync.WaitGroup
	for i, c := range commands {
		wg.Go(func() { results[i].code, results[i].text, errs[i] = f.Command(f.Context(), c...) })
	}
	wg.Wait()
	for _, err := range errs {
		f.check(err)
	}
	return results
}

// Guards against a lost update when two operators roll out at once.
func TestRacingRollOuts(t *testing.T) {
	f := start(t, 3, processes.DefaultRate)
	ctx := t.Context()
	begin := time.Now()
	f.check(f.Propose(ctx, processes.Bundle{Version: 2, HedgePercentile: 90}))
	f.check(f.Propose(ctx, processes.Bundle{Version: 3, Halves: true}))
	rollOut := func(version int) []string {
		return []string{"bundle", "roll-out", "-platform", f.Platform(), "-base", "1", fmt.Sprint(version)}
	}
	results := f.race(rollOut(2), rollOut(3))
	decided := time.Now()
	winner := 0
	if results[0].code != int(cli.ExitOK) {
		winner = 1
	}
	won, lost := results[winner], results[1-winner]
	if won.code != int(cli.ExitOK) || lost.code != int(cli.ExitConflict) {
		t.Fatalf("exit codes %d and %d, want one 0 and one 3:\n%s\n%s", results[0].code, results[1].code, won.text, lost.text)
	}
	if !strings.Contains(lost.text, "not 1") {
		t.Errorf("the conflict does not name the base: %s", lost.text)
	}
	active, err := f.ActiveBundle(ctx)
	f.check(err)
	if active != uint64(winner)+2 {
		t.Errorf("version %d is active, %d won", active, winner+2)
	}
	time.Sleep(recovery + 2*time.Second)
	end := time.Now()
	logs := f.finish()
	f.wantAnswered(begin, end)
	wantLayout := processes.LayoutQuarters
	if winner == 1 {
		wantLayout = processes.LayoutHalves
	}
	for _, l := range logs {
		for _, r := range l.Runs {
			if l.Service == processes.ServiceArchive && r.Start.After(decided.Add(recovery)) && r.Layout != wantLayout {
				t.Errorf("%s ran layout %s after version %d won", l.Name, r.Layout, winner+2)
			}
		}
	}
}

// Guards against a take-out and a drain of which one undoes the other.
func TestRacingControls(t *testing.T) {
	const (
		domain = model.FailureDomain("vukovar")
		server = model.ServerName("arhiv-7") // Its replica arhiv-8 is in osijek-b.
	)
	f := start(t, 3, processes.DefaultRate)
	results := f.race(
		[]string{"domain", "take-out", "-platform", f.Platform(), "-author", "ana", "-reason", "switch", string(domain)},
		[]string{"server", "drain", "-platform", f.Platform(), "-author", "iva", "-reason", "disk", string(server)},
	)
	both := time.Now()
	for _, r := range results {
		if r.code != int(cli.ExitOK) {
			t.Fatalf("exit code %d: %s", r.code, r.text)
		}
	}
	time.Sleep(recovery + 2*time.Second)
	end := time.Now()
	logs := f.finish()
	f.wantAnswered(both.Add(recovery), end)
	for _, l := range logs {
		if n := l.RunsBetween(both.Add(recovery), end); n > 0 && (l.Domain == domain || l.Name == server) {
			t.Errorf("%s in %s got %d requests later than %v after both commands", l.Name, l.Domain, n, recovery)
		}
	}
}

// Guards against new work in a failure domain that was taken out, lost coverage
// on the way, and a domain that stays unused after it was brought back.
func TestDomainOutAndBack(t *testing.T) {
	const domain = model.FailureDomain("vukovar")
	f := start(t, 3, processes.DefaultRate)
	ctx := t.Context()
	begin := time.Now()
	f.check(f.TakeOut(ctx, domain))
	out := time.Now()
	time.Sleep(recovery + 2*time.Second)
	back := time.Now()
	f.check(f.BringBack(ctx, domain))
	time.Sleep(recovery + 2*time.Second)
	end := time.Now()
	logs := f.finish()
	f.wantServed(processes.ServiceArchive, begin, end)
	f.wantServed(processes.ServiceOrders, out.Add(recovery), end)
	used := 0
	for _, l := range logs {
		if l.Domain != domain {
			continue
		}
		if n := l.RunsBetween(out.Add(recovery), back); n > 0 {
			t.Errorf("%s got %d requests later than %v after the take-out", l.Name, n, recovery)
		}
		used += l.RunsBetween(back.Add(recovery), end)
	}
	if used == 0 {
		t.Errorf("%s got no work after it was brought back", domain)
	}
}
