package processes

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// ErrProcess is returned when a process failed.
var ErrProcess = errors.New("processes: process failed")

const (
	loopback = "127.0.0.1:0"
	// stopTimeout is the time that a process has to end before it is killed.
	stopTimeout = 10 * time.Second
	// firstPort and ports are a range below the one from which Linux takes the
	// ports of outgoing connections, which could take them between the choice
	// and the start of the process.
	firstPort = 17_000
	ports     = 14_000
)

// Build compiles the programs into dir.
func Build(ctx context.Context, dir string) error {
	const commands = "github.com/pistachiousher/pistachiousher/cmd/"
	cmd := exec.CommandContext(ctx, "go", "build", "-buildvcs=false", "-o", dir+string(filepath.Separator),
		commands+"standin", commands+"pistachiousherd", commands+"pistachiousher")
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("%w: go build: %w\n%s", ErrProcess, err, out)
	}
	return nil
}

// process is a started process.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error // valid once done is closed
}

// start runs a program whose standard error goes to log. It reads the first
// lines of its standard output, each of which ends with an address.
func start(log io.Writer, lines int, name string, args ...string) (*process, []string, error) {
	cmd := exec.Command(name, args...)
	cmd.Stderr = log
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrProcess, err)
	}
	if err := cmd.Start(); err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrProcess, err)
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	in := bufio.NewScanner(stdout)
	var addresses []string
	for len(addresses) < lines && in.Scan() {
		fields := strings.Fields(in.Text())
		addresses = append(addresses, fields[len(fields)-1])
	}
	go p.wait(stdout)
	if len(addresses) < lines {
		p.kill()
		return nil, nil, fmt.Errorf("%w: %s ended early: %v", ErrProcess, filepath.Base(name), p.err)
	}
	return p, addresses, nil
}

func (p *process) wait(stdout io.Reader) {
	defer close(p.done)
	// Drains the pipe so that the process cannot block on it.
	_, _ = io.Copy(io.Discard, stdout)
	p.err = p.cmd.Wait()
}

// signal sends a signal to the process. One that has ended needs none.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// stop ends the process gracefully and reports an error if it had to be killed
// or failed.
func (p *process) stop() error {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err
	case <-time.After(stopTimeout):
		p.kill()
		return fmt.Errorf("%w: no end within %v of SIGTERM", ErrProcess, stopTimeout)
	}
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// freeAddresses returns loopback addresses that nothing listens on.
func freeAddresses(n int) ([]string, error) {
	var list []string
	for range 100 * n {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports)))
		if err != nil {
			continue
		}
		defer l.Close() // Open until all are found, so that none is found twice.
		if list = append(list, l.Addr().String()); len(list) == n {
			return list, nil
		}
	}
	return nil, fmt.Errorf("%w: no free ports", ErrProcess)
}
