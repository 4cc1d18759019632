package inbound

import (
	"fmt"
	"io"
	"time"
)

const (
	// refusalTime bounds the time in which a client reads a refusal before its connection
	// is closed, as in net/http.
	refusalTime = 500 * time.Millisecond
	// maxDrained is the number of bytes that are read meanwhile and dropped: closing a
	// connection with unread bytes would take the refusal back.
	maxDrained = 256 << 10
)

// refuse answers with the refusal of the reason, if it has one, and ends the connection.
// scratch is used as a buffer. It returns io.EOF, at which net/http closes the connection
// without a word.
func (c *Conn) refuse(reason Reason, scratch []byte) error {
	c.refused = true
	c.listener.config.OnRefusal(c.RemoteAddr(), reason)
	text, ok := answers[reason]
	if !ok {
		c.Close()
		return io.EOF
	}
	end := time.Now().Add(refusalTime)
	// Errors mean that the client is gone.
	_ = c.Conn.SetDeadline(end)
	_, _ = io.WriteString(c.Conn, text)
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = w.CloseWrite()
	}
	for drained := 0; drained < maxDrained; {
		n, err := c.Conn.Read(scratch)
		if err != nil {
			break
		}
		drained += n
	}
	return io.EOF
}

// answers are the refusals by reason; the connection of other reasons is closed.
var answers = map[Reason]string{
	HeadTooLarge: answer("431 Request Header Fields Too Large", ""),
	EmptyLines:   answer("400 Bad Request", ""),
	// The request was not passed on, so that it has not run and never will.
	HeadMemory: answer("503 Service Unavailable", "Retry-After: 0.100\r\n"),
}

func answer(status, lines string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s\n", status, lines, len(status)+1, status)
}
