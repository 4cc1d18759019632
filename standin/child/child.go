// Package child runs the programs of this repository as child processes, for
// tests and measurements. The product itself starts no process.
package child

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Loopback is the address of a free port on the loopback interface.
const Loopback = "127.0.0.1:0"

// ErrProcess is returned when a process failed.
var ErrProcess = errors.New("child: process failed")

const (
	// stopTimeout is the time that a process has to end before it is killed.
	stopTimeout = 10 * time.Second
	// clockTick is the unit of the processor times in /proc, USER_HZ of Linux.
	clockTick = 10 * time.Millisecond
	// firstPort and ports are a range below the one from which Linux takes the
	// ports of outgoing connections, which could take them between the choice
	// and the start of the process.
	firstPort = 17_000
	ports     = 14_000
)

// Build compiles all programs into dir.
func Build(ctx context.Context, dir string) error {
	const commands = "github.com/pistachiousher/pistachiousher/cmd/"
	cmd := exec.CommandContext(ctx, "go", "build", "-buildvcs=false", "-o", dir+string(filepath.Separator),
		commands+"standin", commands+"pistachiousherd", commands+"pistachiousher")
	if out, err := cmd.CombinedOutput(); err != nil {
		return fmt.Errorf("%w: go build: %w\n%s", ErrProcess, err, out)
	}
	return nil
}

// BuildEdge compiles the edge daemon into dir and returns the path of the program.
func BuildEdge(dir string) (string, error) {
	program := filepath.Join(dir, "pistachiousher-edge")
	cmd := exec.Command("go", "build", "-buildvcs=false", "-o", program, "github.com/pistachiousher/pistachiousher/cmd/pistachiousher-edge")
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: go build: %w\n%s", ErrProcess, err, out)
	}
	return program, nil
}

// Process is a started process.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error // valid once done is closed
}

// Start runs a program whose standard error goes to log. It reads the first
// lines of its standard output and returns the last word of each, which is an
// address.
func Start(log io.Writer, lines int, name string, args ...string) (*Process, []string, error) {
	cmd := exec.Command(name, args...)
	cmd.Stderr = log
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrProcess, err)
	}
	if err := cmd.Start(); err != nil {
		return nil, nil, fmt.Errorf("%w: %w", ErrProcess, err)
	}
	p := &Process{cmd: cmd, done: make(chan struct{})}
	in := bufio.NewScanner(stdout)
	var addresses []string
	for len(addresses) < lines && in.Scan() {
		fields := strings.Fields(in.Text())
		addresses = append(addresses, fields[len(fields)-1])
	}
	go p.wait(stdout)
	if len(addresses) < lines {
		p.Kill()
		return nil, nil, fmt.Errorf("%w: %s ended early: %v", ErrProcess, filepath.Base(name), p.err)
	}
	return p, addresses, nil
}

func (p *Process) wait(stdout io.Reader) {
	defer close(p.done)
	// Drains the pipe so that the process cannot block on it.
	_, _ = io.Copy(io.Discard, stdout)
	p.err = p.cmd.Wait()
}

// Signal sends a signal to the process. One that has ended needs none.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Stop ends the process gracefully and reports an error if it had to be killed
// or failed.
func (p *Process) Stop() error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err
	case <-time.After(stopTimeout):
		p.Kill()
		return fmt.Errorf("%w: no end within %v of SIGTERM", ErrProcess, stopTimeout)
	}
}

// Kill ends the process at once.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// CPU returns the processor time that the process has used.
func (p *Process) CPU() (time.Duration, error) {
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

// tierHost is the last byte of the address that FreeAddresses uses.
const tierHost = 250

// OwnIP returns a loopback IP address of this process, with the given last byte.
// The ports of tests that run at once would clash on shared addresses, between
// their choice and the start of a daemon.
func OwnIP(host int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/250%250, pid%250, host)
}

// FreeAddresses returns loopback addresses that nothing listens on.
func FreeAddresses(n int) ([]string, error) { return FreeAddressesOf(OwnIP(tierHost), n) }

// FreeAddressesOf is FreeAddresses for one of the loopback IP addresses.
func FreeAddressesOf(ip string, n int) ([]string, error) {
	var list []string
	for range 100 * n {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(firstPort+rand.IntN(ports))))
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
