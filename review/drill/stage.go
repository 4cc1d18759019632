package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/platform/standin"
)

// Figures of the site kontenerpont-kereso-grown.
const (
	contact     = 5000 * time.Millisecond
	configApply = 5000 * time.Millisecond
	grace       = 6 * time.Second
)

// stage has the processes and stand-ins of a case.
type stage struct {
	program string
	trouble bool
	dir     string
	started time.Time
	store   *standin.Store
	server  *httptest.Server
	leafs   map[string]*standin.Leaf
	ports   [5]int
	// network is the first three bytes of the daemons' addresses.
	network string
	daemons []*daemon

	mu     sync.Mutex
	record *os.File
	broken int
}

// daemon is one machine with its process.
type daemon struct {
	name, zone, ip, settings string
	cores                    float64
	cmd                      *exec.Cmd
	exited                   chan struct{}
}

func newStage(program, record string, trouble bool) (*stage, error) {
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "drill")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	s := &stage{
		program: program, trouble: trouble, dir: dir, started: time.Now(), store: standin.NewStore(), leafs: map[string]*standin.Leaf{},
		network: fmt.Sprintf("127.%d.%d", 1+pid/250%250, pid%250), record: out,
	}
	s.server = httptest.NewServer(s.store)
	if err := s.choosePorts(21000 + pid%5000); err != nil {
		return nil, err
	}
	s.note("trouble %v", trouble)
	return s, nil
}

// choosePorts chooses free ports from the given one on. They are the same on all machines and
// below those of outgoing connections.
func (s *stage) choosePorts(from int) error {
	port := from
	for i := range s.ports {
		for ; ; port++ {
			if port >= from+500 {
				return fmt.Errorf("no free ports from %d on", from)
			}
			l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", s.network, port))
			if err == nil {
				l.Close()
				break
			}
		}
		s.ports[i] = port
		port++
	}
	return nil
}

// note writes a line of the record.
func (s *stage) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f s  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// breaks notes something that the rule does not allow.
func (s *stage) breaks(format string, args ...any) {
	s.mu.Lock()
	s.broken++
	s.mu.Unlock()
	s.note("BROKEN  "+format, args...)
}

// end ends all processes and returns the exit code of the case.
func (s *stage) end(err error) int {
	for _, d := range s.daemons {
		if d.cmd != nil {
			_ = d.cmd.Process.Signal(syscall.SIGCONT)
			_ = d.cmd.Process.Kill()
			<-d.exited
		}
	}
	for _, l := range s.leafs {
		l.Close()
	}
	s.server.CloseClientConnections()
	s.server.Close()
	os.RemoveAll(s.dir)
	code := 0
	switch {
	case err != nil:
		s.note("could not run: %v", err)
		code = 2
	case s.broken > 0:
		code = 1
	}
	s.note("%d breaks, exit code %d", s.broken, code)
	fmt.Printf("%d breaks, exit code %d\n", s.broken, code)
	s.record.Close()
	return code
}

// addLeaf starts a leaf and writes its entry.
func (s *stage) addLeaf(id, service, zone string, b standin.Behavior) *standin.Leaf {
	l := standin.StartLeaf(id, b)
	s.leafs[id] = l
	s.store.PutServer(gateway.Server{ID: id, Service: service, Address: l.Address(), FailureDomain: zone, Slots: 2})
	return l
}

func (s *stage) address(d *daemon, port int) string {
	return fmt.Sprintf("%s:%d", d.ip, s.ports[port])
}

func (s *stage) caller(d *daemon) string    { return s.address(d, 0) }
func (s *stage) ready(d *daemon) string     { return s.address(d, 1) }
func (s *stage) directory(d *daemon) string { return s.address(d, 2) }
func (s *stage) admin(d *daemon) string     { return s.address(d, 3) }

// addDaemon adds a machine without starting its process. The settings are what
// deploy/edge.yaml makes of the platform's fields.
func (s *stage) addDaemon(name, zone string, cores float64, memoryMB, descriptors int) {
	d := &daemon{name: name, zone: zone, cores: cores, ip: fmt.Sprintf("%s.%d", s.network, len(s.daemons)+1)}
	d.settings = filepath.Join(s.dir, name+".yaml")
	text := fmt.Sprintf(`vm: %s
failure_domain: %s
regions:
  - {failure_domain: bp-del, region: kozep-mo}
  - {failure_domain: bp-eszak, region: kozep-mo}
  - {failure_domain: pm-kelet, region: kozep-mo}
listen:
  caller: %s
  ready: %s
  directory: %s
  admin: %s
peer_port: %d
seeds: ["%s.1:1","%s.2:1","%s.3:1"]
store: %s
processor: {share: %g, cores: 1}
memory_mb: %d
descriptors: %d
retry: {ratio: 0.2, slack: 204, window: 10s }
stop: %v
contact_loss: %v
quota: {window: 5s, overshoot: 0.1, slack: 20}
`, name, zone, s.caller(d), s.ready(d), s.directory(d), s.admin(d), s.ports[4], s.network, s.network, s.network,
		s.server.Listener.Addr(), cores, memoryMB, descriptors, grace, contact)
	if err := os.WriteFile(d.settings, []byte(text), 0o600); err != nil {
		s.note("settings: %v", err)
	}
	s.daemons = append(s.daemons, d)
}

// start starts the process of a daemon as the deploy file says.
func (s *stage) start(d *daemon) error {
	log, err := os.Create(filepath.Join(s.dir, d.name+".log"))
	if err != nil {
		return err
	}
	defer log.Close()
	d.cmd = exec.Command(s.program)
	d.cmd.Env = []string{"PISTACHIOUSHER_SETTINGS=" + d.settings, "PATH=" + os.Getenv("PATH")}
	d.cmd.Stdout, d.cmd.Stderr = log, log
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.exited = make(chan struct{})
	go func() {
		_ = d.cmd.Wait()
		close(d.exited)
	}()
	return nil
}

func (d *daemon) running() bool {
	select {
	case <-d.exited:
		return false
	default:
		return true
	}
}

// startAll starts all daemons and waits until all are ready and know each other, and then for
// the time between the start of the machines and that of traffic.
func (s *stage) startAll(lead time.Duration) error {
	for _, d := range s.daemons {
		if err := s.start(d); err != nil {
			return err
		}
	}
	client := &http.Client{Timeout: time.Second}
	begin := time.Now()
	for {
		missing := ""
		for _, d := range s.daemons {
			if !standin.Ready(client, s.ready(d)) {
				missing += " " + d.name
			}
		}
		if missing == "" {
			break
		}
		if time.Since(begin) > 20*time.Second {
			return fmt.Errorf("not ready:%s", missing)
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(lead - time.Since(begin))
	s.note("%d daemons are ready, %v after their start", len(s.daemons), time.Since(begin).Round(100*time.Millisecond))
	return nil
}

// status is the part of a daemon's state, as the operator's command shows it, that cases use.
type status struct {
	Status struct {
		Watcher       bool
		ConfigVersion uint64
	} `json:"status"`
}

func (s *stage) status(d *daemon) (out status, err error) {
	client := &http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + s.admin(d) + "/status")
	if err != nil {
		return out, err
	}
	defer resp.Body.Close()
	return out, json.NewDecoder(resp.Body).Decode(&out)
}

// ask sends one request on a connection of its own. It returns the status, 0 without an answer.
func (s *stage) ask(d *daemon, method, host, path, id string, wait time.Duration) (code int, sentAt time.Time) {
	c := &standin.Caller{Host: host, Client: &http.Client{Timeout: wait + time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	sentAt = time.Now()
	a := c.Ask(s.caller(d), standin.Request{Method: method, Path: path, ID: id, Wait: wait, Body: io.Reader(strings.NewReader(""))})
	s.note("request %s %s %s sent to %s: status %d stamp %q", id, method, path, d.name, a.Status, a.Stamp)
	return a.Status, sentAt
}
