package capacity

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"time"
)

// process is a second process of this program, so that the CPU time of the two
// ends of a connection can be told apart.
type process struct {
	cmd   *exec.Cmd
	stdin io.Closer
	addr  Addresses
}

// startProcess starts the program again with the command that calls Serve.
func startProcess(c ServeConfig) (*process, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	p := &process{cmd: exec.Command(self, "serve",
		"-leafs", strconv.Itoa(c.Leafs), "-members", strconv.Itoa(c.Members))}
	for _, n := range c.Services {
		p.cmd.Args = append(p.cmd.Args, "-service", strconv.Itoa(n))
	}
	p.cmd.Stderr = os.Stderr
	if p.stdin, err = p.cmd.StdinPipe(); err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	if err := json.NewDecoder(out).Decode(&p.addr); err != nil {
		p.stop()
		return nil, fmt.Errorf("capacity: addresses of the second process: %w", err)
	}
	return p, nil
}

// stop ends the process, which serves until its input is closed.
func (p *process) stop() {
	p.stdin.Close()
	// Its exit status says nothing about the measurement, which has ended.
	_ = p.cmd.Wait()
}

// usage returns the use of the second process, with its heap if asked for.
func (p *process) usage(heap bool) (Usage, error) {
	var u Usage
	url := "http://" + p.addr.Usage
	if heap {
		url += "?" + heapParam
	}
	resp, err := http.Get(url)
	if err != nil {
		return u, fmt.Errorf("capacity: usage: %w", err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(&u); err != nil {
		return u, fmt.Errorf("capacity: usage: %w", err)
	}
	return u, nil
}

// spent is what both processes used during a run.
type spent struct {
	own, other    time.Duration
	read, written int64 // by the second process
}

// observe runs f and returns what it cost in both processes.
func (p *process) observe(f func() error) (spent, error) {
	before, err := p.usage(false)
	if err != nil {
		return spent{}, err
	}
	start, err := processCPU()
	if err != nil {
		return spent{}, err
	}
	if err := f(); err != nil {
		return spent{}, err
	}
	end, err := processCPU()
	if err != nil {
		return spent{}, err
	}
	after, err := p.usage(false)
	if err != nil {
		return spent{}, err
	}
	return spent{
		own: end - start, other: after.CPU - before.CPU,
		read: after.Read - before.Read, written: after.Written - before.Written,
	}, nil
}

// least observes f repeatedly and takes the least of each value; bytes are
// those of the first run.
func (p *process) least(repeats int, f func() error) (spent, error) {
	var least spent
	for i := range repeats {
		s, err := p.observe(f)
		if err != nil {
			return spent{}, err
		}
		if i == 0 {
			least = s
			continue
		}
		least.own, least.other = min(least.own, s.own), min(least.other, s.other)
	}
	return least, nil
}
