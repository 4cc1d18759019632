package load

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// ErrProcess is returned when a process of the comparison failed.
var ErrProcess = errors.New("load: process failed")

const (
	loopback = "127.0.0.1:0"
	// stopTimeout is the time that a process has to end before it is killed.
	stopTimeout = 10 * time.Second
	// clockTick is the unit of the processor times in /proc, USER_HZ of Linux.
	clockTick = 10 * time.Millisecond
)

// build compiles the commands that the comparison starts into dir.
func build(ctx context.Context, dir string) error {
	cmd := exec.CommandContext(ctx, "go", "build", "-buildvcs=false", "-o", dir+string(filepath.Separator),
		"github.com/pistachiousher/pistachiousher/cmd/standin",
		"github.com/pistachiousher/pistachiousher/cmd/pistachiousherd")
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

// start runs a command whose standard error goes to log. It reads the first
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
		p.stop()
		return nil, nil, fmt.Errorf("%w: %s ended early, see the log: %v", ErrProcess, filepath.Base(name), p.err)
	}
	return p, addresses, nil
}

func (p *process) wait(stdout io.Reader) {
	defer close(p.done)
	// Drains the pipe so that the process cannot block on it.
	_, _ = io.Copy(io.Discard, stdout)
	p.err = p.cmd.Wait()
}

// stop ends the process by its id, first gracefully.
func (p *process) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// kill ends the process at once.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.done
}

// cpu returns the processor time that the process has used.
func (p *process) cpu() (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrProcess, err)
	}
	// The command name in parentheses may hold spaces; utime and stime are the
	// 12th and 13th fields after it.
	fields := strings.Fields(string(raw[strings.LastIndexByte(string(raw), ')')+1:]))
	if len(fields) < 13 {
		return 0, fmt.Errorf("%w: unexpected /proc stat", ErrProcess)
	}
	var ticks int64
	for _, f := range fields[11:13] {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return 0, fmt.Errorf("%w: %w", ErrProcess, err)
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}
