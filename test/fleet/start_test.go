package fleet

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/edge"
	"github.com/pistachiousher/pistachiousher/platform/standin"
)

// readyAnswer returns the status and the body of the answer to the platform's readiness check.
func (d *daemon) readyAnswer() (int, string) {
	resp, err := d.site.client.Get("http://" + d.address(1) + standin.ReadyPath)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(body)
}

// Guards against daemons that are not ready and do not say why: in their log, on their
// readiness answer and in their status.
func TestNotReadyIsExplained(t *testing.T) {
	for _, c := range []struct {
		name string
		// prepare causes the fault before the daemons start.
		prepare func(t *testing.T, s *site)
		want    []string
	}{
		{"the store is absent", func(_ *testing.T, s *site) { s.gate.close() }, []string{"no configuration", "no list of leafs", "connection refused"}},
		{"the store is silent", func(_ *testing.T, s *site) { s.gate.set(faults{Silent: true}) }, []string{"no configuration", "no list of leafs", "no answer within 2s"}},
		{"the store refuses calls", func(_ *testing.T, s *site) { s.gate.set(faults{Refused: true}) }, []string{"no configuration", "no list of leafs", "status 503"}},
		{"the store is silent about leafs", func(_ *testing.T, s *site) { s.gate.set(faults{Silent: true, Kind: "servers"}) }, []string{"no list of leafs", "no answer within 2s"}},
		{"the store has no configuration", func(_ *testing.T, s *site) { s.store.Delete(string(edge.KindConfig), "main") }, []string{"no configuration", "the store has none"}},
		{"the configuration is not one", func(_ *testing.T, s *site) { s.store.Put(string(edge.KindConfig), "main", 7) }, []string{"no configuration", "invalid object"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 2)
			c.prepare(t, s)
			s.startAll(0)
			for _, d := range s.daemons {
				d.checkExplained(c.want)
			}
		})
	}
}

// checkExplained waits until a daemon explains in all three ways why it is not ready.
func (d *daemon) checkExplained(want []string) {
	t := d.site.t
	t.Helper()
	const within = 8 * time.Second
	var code int
	var body, logged, status string
	for begin := time.Now(); time.Since(begin) < within; time.Sleep(50 * time.Millisecond) {
		code, body = d.readyAnswer()
		logged = ""
		for line := range strings.Lines(d.output.String()) {
			if strings.Contains(line, "edge_not_ready") {
				logged = line
			}
		}
		reply, err := d.status()
		status = fmt.Sprint(reply.Status.NotReady, err)
		if code == 503 && containsAll(body, want) && containsAll(logged, want) && containsAll(status, want) {
			return
		}
	}
	t.Errorf("%s does not explain with %q why it is not ready: readiness %d %q, log %q, status %s", d.name, want, code, body, logged, status)
}

func containsAll(text string, parts []string) bool {
	for _, part := range parts {
		if !strings.Contains(text, part) {
			return false
		}
	}
	return true
}

// Guards against daemons that end at their start and do not say what they lack.
func TestStartFailureIsExplained(t *testing.T) {
	for _, c := range []struct {
		name string
		// prepare causes the fault and may return limits as the shell sets them.
		prepare func(t *testing.T, d *daemon) (limits string)
		want    func(d *daemon) []string
	}{
		{"the settings are missing", func(t *testing.T, d *daemon) string { return must(t, os.Remove(d.settingsPath)) },
			func(d *daemon) []string { return []string{"edge_start_failed", d.settingsPath, "no such file"} }},
		{"the settings are invalid", func(t *testing.T, d *daemon) string { d.writeSettings("quorum: 3\n"); return "" },
			func(*daemon) []string { return []string{"edge_start_failed", "invalid settings", "quorum"} }},
		{"an address of another machine", func(t *testing.T, d *daemon) string { d.ip = "192.0.2.7"; d.writeSettings(""); return "" },
			func(d *daemon) []string {
				return []string{"edge_start_failed", d.address(0), "cannot assign requested address"}
			}},
		{"too few descriptors", func(*testing.T, *daemon) string { return "ulimit -n 8" },
			func(*daemon) []string { return []string{"edge_start_failed", "too many open files"} }},
		{"too little memory", func(*testing.T, *daemon) string { return "ulimit -v 100000" },
			func(*daemon) []string { return []string{"memory"} }},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			d := newSite(t, 1).daemons[0]
			d.startLimited(c.prepare(t, d))
			d.checkEnds(10*time.Second, c.want(d))
		})
	}
}

func must(t *testing.T, err error) string {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	return ""
}

// startLimited starts the process of a daemon with limits that the shell sets.
func (d *daemon) startLimited(limits string) {
	if limits == "" {
		d.start()
		return
	}
	d.run(exec.Command("sh", "-c", limits+` && exec "$0" -settings "$1"`, program, d.settingsPath))
}

// checkEnds waits for the failure of a process that says what it lacks.
func (d *daemon) checkEnds(within time.Duration, want []string) {
	t := d.site.t
	t.Helper()
	select {
	case <-d.exited:
	case <-time.After(within):
		t.Fatalf("runs still after %v; wrote:\n%s", within, lastLines(d.output.String()))
	}
	if d.cmd.ProcessState.ExitCode() == 0 {
		t.Errorf("ended without an error")
	}
	if output := d.output.String(); !containsAll(output, want) {
		t.Errorf("does not say %q; wrote:\n%s", want, lastLines(output))
	}
}

// Guards against daemons that end at their start because an earlier process still holds one of
// their addresses, and against ones that wait for it without a word or without an end.
func TestAddressInUse(t *testing.T) {
	hold := func(network string, port int) func(d *daemon) (io.Closer, error) {
		return func(d *daemon) (io.Closer, error) {
			if network == "udp" {
				return net.ListenPacket(network, d.address(port))
			}
			return net.Listen(network, d.address(port))
		}
	}
	for name, take := range map[string]func(d *daemon) (io.Closer, error){
		"callers": hold("tcp", 0), "readiness": hold("tcp", 1), "directory": hold("tcp", 2), "admin": hold("tcp", 3), "views": hold("tcp", 4), "gossip": hold("udp", 4),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSite(t, 2)
			freed, kept := s.daemons[0], s.daemons[1]
			holder := map[*daemon]io.Closer{}
			for _, d := range s.daemons {
				h, err := take(d)
				if err != nil {
					t.Fatal(err)
				}
				holder[d] = h
				t.Cleanup(func() { h.Close() })
			}
			s.startAll(0)
			time.Sleep(stop / 2)
			holder[freed].Close()
			s.daemons = []*daemon{freed}
			s.awaitReady(readyBound)
			kept.checkEnds(stop+2*time.Second, []string{"edge_address_in_use", "edge_start_failed", "address already in use"})
			if output := freed.output.String(); !strings.Contains(output, "edge_address_in_use") {
				t.Errorf("waits without a word; wrote:\n%s", lastLines(output))
			}
		})
	}
}

// Guards against a fleet that is not ready because the daemons that ran before have not ended
// yet.
func TestStartWhileEarlierDaemonsStop(t *testing.T) {
	s := newSite(t, 14)
	s.startAll(0)
	s.awaitReady(readyBound)
	for _, d := range s.daemons {
		_ = d.cmd.Process.Signal(syscall.SIGTERM)
	}
	s.startAll(0)
	t.Logf("ready after %v", s.awaitReady(stop+readyBound))
	for _, d := range s.daemons {
		if d.hasExited() {
			t.Errorf("%s has ended; wrote:\n%s", d.name, lastLines(d.output.String()))
		}
	}
}
