package answerstest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// Serve starts a server that answers each request with raw, closes the connection and is
// closed at the end of the test. It returns its address.
func Serve(t *testing.T, raw string) string {
	t.Helper()
	return serve(t, func(conn net.Conn) { _, _ = io.WriteString(conn, raw) })
}

// ServeEndlessly starts a server that answers each request with head and then with part, again
// and again until the connection is closed. It returns its address.
func ServeEndlessly(t *testing.T, head, part string) string {
	t.Helper()
	return serve(t, func(conn net.Conn) { WriteEndlessly(conn, head, part) })
}

// WriteEndlessly writes head, then part again and again until a write fails.
func WriteEndlessly(w io.Writer, head, part string) {
	block := []byte(strings.Repeat(part, 1+(8<<10)/len(part)))
	_, err := io.WriteString(w, head)
	for err == nil {
		_, err = w.Write(block)
	}
}

// serve starts a server that is closed at the end of the test, and returns its address. For
// each request answer gets the connection, which is closed when it returns.
func serve(t *testing.T, answer func(net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					answer(conn)
				}
			}()
		}
	}()
	return ln.Addr().String()
}
