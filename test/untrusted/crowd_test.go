package untrusted

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/platform/standin"
)

// Slack of what must return to its earlier number: connections that the daemon itself
// keeps to leafs and to the store may have been opened meanwhile, at most two a leaf, each
// with at most one goroutine.
const (
	descriptorSlack = 2*shards + 16
	goroutineSlack  = 2*shards + 16
)

// crowd runs clients at once, each with a connection of its own, and waits until they have
// left. The daemon must stay within its memory and its descriptors, answer an ordinary
// request afterwards and give back what the clients took.
func (d *daemon) crowd(clients int, address string, client func(net.Conn, int)) {
	d.t.Helper()
	fds, goroutines := d.descriptors(), d.goroutines()
	var unread, most atomic.Int64
	stop := make(chan struct{})
	var watcher, wg sync.WaitGroup
	watcher.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(sampleInterval):
				unread.Store(max(unread.Load(), d.unreadBytes()))
				if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.cmd.Process.Pid)); err == nil {
					most.Store(max(most.Load(), int64(len(entries))))
				}
			}
		}
	})
	for i := range clients {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp", address, 10*time.Second)
			if err != nil {
				return
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(settleTime))
			client(conn, i)
		})
	}
	wg.Wait()
	close(stop)
	watcher.Wait()
	select {
	case <-d.ended:
		d.t.Fatal("the process has ended")
	default:
	}
	resident, kernel := d.residentPeak(), unread.Load()
	d.t.Logf("resident at most %.1f MB, unread in the kernel at most %.1f MB, descriptors at most %d", float64(resident)/(1<<20), float64(kernel)/(1<<20), most.Load())
	if resident+kernel > memoryMB<<20 {
		d.t.Errorf("%.1f MB resident and unread, the daemon may use %d MB", float64(resident+kernel)/(1<<20), memoryMB)
	}
	if most.Load() > descriptors {
		d.t.Errorf("%d descriptors, the daemon may use %d", most.Load(), descriptors)
	}
	d.eventually("an ordinary request is answered", d.served)
	d.eventually("descriptors and goroutines are back", func() bool {
		return d.descriptors() <= fds+descriptorSlack && d.goroutines() <= goroutines+goroutineSlack
	})
}

// requestLines returns the start of a request: its request line, host and ID.
func requestLines(path string) string { return methodLines("GET", path) }

func methodLines(method, path string) string {
	return method + " " + path + " HTTP/1.1\nHost: " + host + "\n" + standin.RequestIDHeader + ": odd\n"
}

// manyLines returns a head of exactly size bytes that consists of the shortest lines; with
// distinct set, with as many different names as fit.
func manyLines(path string, size int, distinct bool) []byte {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	b := bytes.NewBufferString(requestLines(path))
	for i := 0; size-b.Len() >= 8; i++ {
		if distinct {
			fmt.Fprintf(b, "%c%c:\n", letters[i%26], letters[i/26%len(letters)])
		} else {
			b.WriteString("ab:\n")
		}
	}
	for size-b.Len() > 6 {
		b.WriteString("x:\n")
	}
	// The last line takes what is left beside the empty line.
	b.WriteString("x:" + strings.Repeat("y", size-b.Len()-4) + "\n\n")
	return b.Bytes()
}

// sendAndWait sends bytes and reads until the daemon closes the connection or answers.
func sendAndWait(c net.Conn, data []byte) {
	if _, err := c.Write(data); err != nil {
		return
	}
	_, _ = c.Read(make([]byte, 1024))
}

// Guards against memory that the parsed heads of requests take while their leaf is busy:
// each is within the limits, and has thousands of lines.
func TestHeadsOfManyLinesAtSlowLeaf(t *testing.T) {
	for _, distinct := range []bool{true, false} {
		t.Run(fmt.Sprintf("distinct=%v", distinct), func(t *testing.T) {
			d := startDaemon(t)
			head := manyLines("/slow/x", 16_000, distinct)
			d.crowd(200, d.caller, func(c net.Conn, _ int) { sendAndWait(c, head) })
		})
	}
}

// Guards against a header that is cloned for each attempt: a query over all shards has as
// many attempts as shards.
func TestHeadsOfManyLinesAtManyShards(t *testing.T) {
	d := startDaemon(t)
	head := manyLines("/all/x", 16_000, true)
	d.crowd(40, d.caller, func(c net.Conn, _ int) { sendAndWait(c, head) })
}

// Guards against parsed heads that are held although they are not complete: their clients
// send all but the last line, on each listener.
func TestUnfinishedHeadsOfManyLines(t *testing.T) {
	for _, name := range []string{"caller", "directory", "view"} {
		t.Run(name, func(t *testing.T) {
			d := startDaemon(t)
			address := map[string]string{"caller": d.caller, "directory": d.directory, "view": d.view}[name]
			head := bytes.TrimSuffix(manyLines("/slow/x", 16_000, true), []byte("\n"))
			d.crowd(240, address, func(c net.Conn, _ int) { sendAndWait(c, head) })
		})
	}
}

// Guards against requests that are sent behind a request whose answer takes long: they fill
// the kernel's buffers, which are memory of the VM.
func TestPipelinedBytesBehindSlowRequest(t *testing.T) {
	d := startDaemon(t)
	head := []byte(requestLines("/all/x") + "\n")
	behind := bytes.Repeat(manyLines("/slow/x", 16_000, false), 64)
	d.crowd(1500, d.caller, func(c net.Conn, _ int) {
		if _, err := c.Write(head); err != nil {
			return
		}
		_ = c.SetWriteDeadline(time.Now().Add(work))
		_, _ = c.Write(behind)
	})
}

// Guards against empty lines, heads and chunk extensions without an end.
func TestEndlessRequests(t *testing.T) {
	post := methodLines("POST", "/fast/x")
	for name, x := range map[string]struct{ start, repeated string }{
		"empty lines":                      {"", "\r\n"},
		"empty lines between requests":     {post + "Content-Length: 0\r\n\r\n", "\r\n"},
		"lines":                            {requestLines("/fast/x"), "a:\n"},
		"one line":                         {requestLines("/fast/x") + "a: ", "a"},
		"folded lines":                     {requestLines("/fast/x") + "a: b\n", " c\n"},
		"request target":                   {"GET /", "a"},
		"chunk extensions":                 {post + "Transfer-Encoding: chunked\r\n\r\n1;", "a=b;"},
		"chunks of one byte":               {post + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n"},
		"trailers":                         {post + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "a:\r\n"},
		"a chunk length of very many bits": {post + "Transfer-Encoding: chunked\r\n\r\n", "f"},
	} {
		t.Run(name, func(t *testing.T) {
			d := startDaemon(t)
			block := bytes.Repeat([]byte(x.repeated), 16<<10/len(x.repeated))
			d.crowd(40, d.caller, func(c net.Conn, _ int) {
				_, err := io.WriteString(c, x.start)
				for n := 0; err == nil && n < 16<<20; n += len(block) {
					_, err = c.Write(block)
				}
			})
		})
	}
}

// Guards against answers that are held for clients that do not read them, and against
// connections up to the limit of descriptors.
func TestClientsThatDoNotRead(t *testing.T) {
	d := startDaemon(t)
	head := []byte(requestLines("/large/x") + "\n")
	d.crowd(600, d.caller, func(c net.Conn, _ int) {
		_, _ = c.Write(head)
		time.Sleep(work)
	})
}

// Guards against idle connections whose number ends the process; there are more than the
// daemon keeps.
func TestIdleConnections(t *testing.T) {
	d := startDaemon(t)
	d.crowd(2500, d.caller, func(net.Conn, int) { time.Sleep(work) })
}

// Guards against idle connections that keep out the platform's readiness checks and callers
// that ask for addresses.
func TestIdleConnectionsOnReadyListener(t *testing.T) {
	d := startDaemon(t)
	for range 100 {
		c, err := net.Dial("tcp", d.ready)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, "GET "+standin.ReadyPath+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: settleTime}
	if !standin.Ready(client, d.ready) {
		t.Error("no answer to a readiness check beside 100 idle connections")
	}
}

// Guards against bytes that end the process on any of its listeners, the socket for
// datagrams included.
func TestOddBytesOnEachListener(t *testing.T) {
	d := startDaemon(t)
	get, post := requestLines("/fast/x"), methodLines("POST", "/fast/x")
	texts := []string{
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", "GET", "GET / HTTP/1.1\r\n", "\r\n\r\n\r\n\r\n",
		get + "a\x00b: c\x00d\n\n", get + " a: b\n\n", get + "a\n\n", get + ": a\n\n",
		get + strings.Repeat("Host: a\n", 1000) + "\n", get + strings.Repeat(standin.KeyHeader+": a\n", 1000) + "\n",
		post + strings.Repeat("Content-Length: 1\n", 500) + "\na", post + "Content-Length: 1\nContent-Length: 2\n\na",
		post + "Content-Length: -1\n\n", post + "Content-Length: 9223372036854775808\n\n", post + "Content-Length: 10\nTransfer-Encoding: chunked\n\n0\r\n\r\n",
		post + "Transfer-Encoding: chunked\n\n" + strings.Repeat("f", 40) + "\r\n", post + "Transfer-Encoding: chunked\n\n0\r\n" + strings.Repeat("a:\r\n", 100_000),
		post + "Transfer-Encoding: gzip, chunked\n\n", post + "Expect: 100-continue\nContent-Length: 262144\n\n", post + "Content-Length: 262145\n\n" + strings.Repeat("a", 262_145),
		post + "Content-Length: 262144\n\n" + strings.Repeat("a", 262_143),
	}
	for _, address := range []string{d.caller, d.ready, d.directory, d.admin, d.view} {
		d.crowd(2*len(texts), address, func(c net.Conn, i int) {
			_ = c.SetDeadline(time.Now().Add(work))
			sendAndWait(c, []byte(texts[i%len(texts)]))
		})
	}
	udp, err := net.Dial("udp", d.view)
	if err != nil {
		t.Fatal(err)
	}
	defer udp.Close()
	for _, text := range texts {
		// The socket takes what fits into a datagram.
		_, _ = udp.Write([]byte(text[:min(len(text), 60_000)]))
		_, _ = udp.Write(bytes.Repeat([]byte{0x0a, 0}, 8<<10))
	}
	d.crowd(1, d.caller, func(net.Conn, int) {})
}

// Guards against heads that arrive slowly and are held for ever.
func TestTricklingHeads(t *testing.T) {
	d := startDaemon(t)
	d.crowd(200, d.caller, func(c net.Conn, _ int) {
		head := []byte(requestLines("/fast/x") + strings.Repeat("a:\n", 5000))
		// The daemon closes the connection; without that the loop takes 25 s.
		for i := 0; i < 50 && len(head) > 0; i++ {
			if _, err := c.Write(head[:300]); err != nil {
				return
			}
			head = head[300:]
			time.Sleep(500 * time.Millisecond)
		}
		t.Error("a head is received for 25 s")
	})
}

// Guards against a refusal of requests that are inside the limits, with no other load:
// heads of exactly the largest size in the shortest lines, and odd ones.
func TestOddRequestsInsideLimitsAreServed(t *testing.T) {
	d := startDaemon(t)
	lines := requestLines("/fast/x")
	for _, x := range []struct {
		name string
		head []byte
	}{
		{"distinct names", manyLines("/fast/x", maxHeaderBytes, true)},
		{"one name", manyLines("/fast/x", maxHeaderBytes, false)},
		{"one line", []byte(lines + "a:" + strings.Repeat("b", maxHeaderBytes-len(lines)-4) + "\n\n")},
		{"names without value", []byte(lines + "a:\nb: \nc:\t \n\n")},
		{"folded lines", []byte(lines + "a: b\n c\n\td\n\n")},
		{"bytes above 127", []byte(lines + "a: \xff\xfe\n\n")},
		{"equal lengths", []byte(methodLines("POST", "/fast/x") + "Content-Length: 2\nContent-Length: 2\n\nab")},
		{"a chunked body", []byte(methodLines("POST", "/fast/x") + "Transfer-Encoding: chunked\n\n1;ext=1\r\na\r\n0\r\nx: y\r\n\r\n")},
		{"a long target", manyBytesTarget()},
	} {
		if status := d.status(d.caller, x.head); status != "200" {
			t.Errorf("%s: status %q", x.name, status)
		}
	}
	resolve := standin.ResolvePath + "?name=" + host + "&region=north"
	for _, distinct := range []bool{true, false} {
		if status := d.status(d.directory, manyLines(resolve, maxHeaderBytes, distinct)); status != "200" {
			t.Errorf("directory: status %q", status)
		}
	}
}

// manyBytesTarget returns a head of the largest size that consists of its request target.
func manyBytesTarget() []byte {
	frame := requestLines("/fast/") + "\n"
	return []byte(requestLines("/fast/"+strings.Repeat("a", maxHeaderBytes-len(frame))) + "\n")
}

// status sends bytes and returns the status code of the answer; "" if there is none.
func (d *daemon) status(address string, data []byte) string {
	c, err := net.Dial("tcp", address)
	if err != nil {
		d.t.Error(err)
		return ""
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(settleTime))
	if _, err := c.Write(data); err != nil {
		return ""
	}
	line := make([]byte, len("HTTP/1.1 200"))
	if _, err := io.ReadFull(c, line); err != nil {
		return ""
	}
	return string(line[len("HTTP/1.1 "):])
}
