package fleet

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/platform/standin"
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

// Guards against a configuration of which a part cannot be used and that keeps a fleet from
// serving the rest, or sends requests of that part elsewhere.
func TestConfigurationUsableInPart(t *testing.T) {
	s := newSite(t, 2)
	s.store.PutPartlyUsableConfig(host, "/one/", "one", "/one/bad/", "two")
	s.startAll(0)
	s.awaitReady(readyBound)
	for _, d := range s.daemons {
		for path, want := range map[string]int{"/one/x": 200, "/one/bad/x": 503, "/other/x": 404} {
			if a := s.ask(d, path); a.Status != want {
				t.Errorf("%s answers %s with %+v, want %d", d.name, path, a, want)
			}
		}
		reply, err := d.status()
		if err != nil || len(reply.Status.ConfigFaults) != 2 {
			t.Errorf("%s has the faults %q, %v", d.name, reply.Status.ConfigFaults, err)
		}
	}
}

// Guards against daemons that end because nobody reads their log any more.
func TestReaderOfLogEnds(t *testing.T) {
	s := newSite(t, 2)
	for _, d := range s.daemons {
		reader, writer, err := os.Pipe()
		if err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command(program, "-settings", d.settingsPath)
		cmd.Stdout, cmd.Stderr = writer, writer
		d.run(cmd)
		writer.Close()
		reader.Close()
	}
	s.awaitReady(readyBound)
	// Each change is a log line.
	for version := range uint64(5) {
		s.store.PutConfig(configuration(2 + version))
		time.Sleep(300 * time.Millisecond)
	}
	for _, d := range s.daemons {
		if d.hasExited() || !d.isReady() {
			t.Errorf("%s: ended %v (%v)", d.name, d.hasExited(), d.cmd.ProcessState)
		}
	}
}

// ask sends a request to a daemon.
func (s *site) ask(d *daemon, path string) standin.Answer {
	c := &standin.Caller{Client: s.client, Host: host, Region: region}
	return c.Ask(d.address(0), standin.Request{Method: "GET", Path: path, ID: path, Wait: time.Second})
}
