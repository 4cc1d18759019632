package fleet

import (
	"flag"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"
)

// sizeList are the sizes of the fleets that start; by hand also 13, 15 and 82.
var sizeList = flag.String("sizes", "2,14", "sizes of the fleets that start, separated by commas")

func sizes(t *testing.T) (out []int) {
	t.Helper()
	for text := range strings.SplitSeq(*sizeList, ",") {
		size, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, size)
	}
	return out
}

// readyBound is how long after the start, or after the end of a fault of the store, all
// daemons are ready: the contact time, after which they are expected to keep all promises.
const readyBound = contact

// Guards against fleets that are not ready in time when all daemons start.
func TestFleetIsReadyInTime(t *testing.T) {
	const outage = 3 * time.Second
	atOnce := func(s *site) { s.startAll(0) }
	duringOutage := func(begin, end func(*site)) func(*site) {
		return func(s *site) {
			begin(s)
			s.startAll(0)
			time.Sleep(outage)
			end(s)
		}
	}
	during := func(f faults) func(*site) {
		return duringOutage(func(s *site) { s.gate.set(f) }, func(s *site) { s.gate.set(faults{}) })
	}
	for _, c := range []struct {
		name  string
		start func(s *site)
	}{
		{"together", atOnce},
		{"one after the other", func(s *site) { s.startAll(50 * time.Millisecond) }},
		{"while the store is slow", func(s *site) { s.gate.set(faults{Delay: time.Second}); s.startAll(0) }},
		{"while the store takes longer than a call may take", func(s *site) { s.gate.set(faults{Delay: 2500 * time.Millisecond}); s.startAll(0) }},
		{"while the store is silent", during(faults{Silent: true})},
		{"while the store is silent about leafs", during(faults{Silent: true, Kind: "servers"})},
		{"while the store is silent about the configuration", during(faults{Silent: true, Kind: "config"})},
		{"while the store is silent about daemons", func(s *site) { s.gate.set(faults{Silent: true, Kind: "daemons"}); s.startAll(0) }},
		{"while the store refuses calls", during(faults{Refused: true})},
		{"while the store is absent", duringOutage(func(s *site) { s.gate.close() }, func(s *site) { s.gate.serve(s.t, s.gate.address) })},
		{"before the first configuration", duringOutage(func(s *site) { s.store.Delete("config", "main") }, func(s *site) { s.store.PutConfig(configuration(2)) })},
		{"without seeds", func(s *site) {
			s.seeds = nil
			for _, d := range s.daemons {
				d.writeSettings("")
			}
			s.startAll(0)
		}},
		{"again, listed from before", func(s *site) {
			s.startAll(0)
			s.awaitReady(readyBound)
			for _, d := range s.daemons {
				d.kill()
			}
			s.startAll(0)
		}},
	} {
		for _, size := range sizes(t) {
			t.Run(fmt.Sprintf("%s, %d daemons", c.name, size), func(t *testing.T) {
				t.Parallel()
				s := newSite(t, size)
				c.start(s)
				t.Logf("%d daemons that start %s are ready after %v", size, c.name, s.awaitReady(readyBound).Round(10*time.Millisecond))
			})
		}
	}
}
