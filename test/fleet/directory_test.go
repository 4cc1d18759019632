package fleet

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/platform/standin"
)

// namingBound is how long after its end a daemon may be named to callers at most.
const namingBound = contact + 3*time.Second

// resolve returns the addresses that the daemon names to callers.
func (d *daemon) resolve() []string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	c := &standin.Caller{Client: d.site.client, Host: host, Region: region}
	return c.Resolve(ctx, d.address(2))
}

// watchNamings asks the daemons until a time who takes callers. It returns how long after its
// end a daemon was named last, and reports those that are named later than allowed.
func (s *site) watchNamings(asked []*daemon, ended map[*daemon]time.Time, until time.Time) (last time.Duration) {
	s.t.Helper()
	var mu sync.Mutex
	late := 0
	var asking sync.WaitGroup
	for _, d := range asked {
		asking.Go(func() {
			for time.Now().Before(until) {
				at := time.Now()
				addresses := d.resolve()
				mu.Lock()
				for gone, end := range ended {
					if age := at.Sub(end); slices.Contains(addresses, gone.address(0)) {
						last = max(last, age)
						if age > namingBound {
							if late++; late <= 3 {
								s.t.Errorf("%s names %s, which ended %v before", d.name, gone.name, age.Round(time.Millisecond))
							}
						}
					}
				}
				mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	asking.Wait()
	if late > 3 {
		s.t.Errorf("%d answers name daemons that ended over %v before", late, namingBound)
	}
	return last
}

// others returns the daemons that are not among the given ones.
func (s *site) others(excluded []*daemon) (out []*daemon) {
	for _, d := range s.daemons {
		if !slices.Contains(excluded, d) {
			out = append(out, d)
		}
	}
	return out
}

// Guards against callers that are sent to daemons that were lost, or that take the place of one
// that leaves although they were lost before (DRAIN).
func TestDirectoryAfterLoss(t *testing.T) {
	for _, size := range sizes(t) {
		// Daemons 0 to 5 are on large VMs and named to callers.
		for name, lost := range map[string][]int{"named daemons": {1, 3, 5}, "others": {7, 10, 13}} {
			if size <= slices.Max(lost) {
				continue
			}
			t.Run(fmt.Sprintf("%d daemons, %s", size, name), func(t *testing.T) {
				t.Parallel()
				s := newSite(t, size)
				s.startAll(0)
				s.awaitReady(readyBound)
				time.Sleep(2 * contact)
				var gone []*daemon
				ended := map[*daemon]time.Time{}
				for _, i := range lost {
					d := s.daemons[i]
					d.kill()
					gone, ended[d] = append(gone, d), time.Now()
				}
				leaving := s.daemons[0]
				time.AfterFunc(namingBound+time.Second, func() { _ = leaving.cmd.Process.Signal(syscall.SIGTERM) })
				last := s.watchNamings(s.others(append(gone, leaving)), ended, time.Now().Add(namingBound+stop+2*time.Second))
				t.Logf("named until %v after the end", last.Round(10*time.Millisecond))
			})
		}
	}
}

// Guards against a daemon that was paused and, when it runs again, sends callers to daemons
// that ended meanwhile: what was sent to it before waits to be read, and its clock stood still.
func TestDirectoryOfPausedDaemon(t *testing.T) {
	const pause = namingBound + 2*time.Second
	s := newSite(t, 14)
	s.startAll(0)
	s.awaitReady(readyBound)
	time.Sleep(contact)
	paused, gone := s.daemons[0], s.daemons[1]
	if addresses := paused.resolve(); !slices.Contains(addresses, gone.address(0)) {
		t.Fatalf("%s names %v, want also %s", paused.name, addresses, gone.name)
	}
	signal := func(number syscall.Signal) {
		if err := paused.cmd.Process.Signal(number); err != nil {
			t.Fatal(err)
		}
	}
	signal(syscall.SIGSTOP)
	time.Sleep(time.Second)
	gone.kill()
	ended := time.Now()
	time.Sleep(pause)
	signal(syscall.SIGCONT)
	resumed, answers, late := time.Now(), 0, 0
	for time.Since(resumed) < contact {
		at := time.Now()
		addresses := paused.resolve()
		if len(addresses) > 0 {
			answers++
		}
		if slices.Contains(addresses, gone.address(0)) {
			if late++; late == 1 {
				t.Errorf("%v after the pause callers are sent to %s, which ended %v before", at.Sub(resumed), gone.name, at.Sub(ended))
			}
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Logf("%d answers, %d with the daemon that ended", answers, late)
	if answers == 0 {
		t.Error("the daemon answers no caller after a pause")
	}
}
