// Package answers checks that what a server sends is an answer in HTTP/1, before net/http
// reads it. net/http accepts more: status 000 as an informational answer, other versions of
// HTTP, and bodies whose length is stated twice.
package answers

import (
	"bytes"
	"errors"
	"fmt"
	"strconv"

	"github.com/pistachiousher/pistachiousher/pkg/httpframe"
)

// ErrInvalid is wrapped by errors for bytes that are no answer.
var ErrInvalid = errors.New("answers: not an answer in HTTP/1")

// framing tells how the body behind a head is delimited.
type framing struct {
	status int
	// body is delimited by its length or chunks, unless toEnd is set.
	body  httpframe.Body
	toEnd bool
	// empty means that a body must have no bytes.
	empty bool
}

// informational reports whether another answer follows.
func (f *framing) informational() bool { return f.status < 200 }

// checkHead checks a complete head and returns the framing of its body. toHead is set for
// answers to HEAD.
func checkHead(head []byte, toHead bool) (framing, error) {
	line, rest := httpframe.CutLine(head)
	f, old, err := checkStatusLine(line)
	if err != nil {
		return f, err
	}
	if i := controlCharacter(head); i >= 0 {
		return f, invalid("control character", head[i:i+1])
	}
	lengths, codings := 0, 0
	for len(rest) > 0 {
		line, rest = httpframe.CutLine(rest)
		name, value, _ := bytes.Cut(line, []byte(":"))
		isLength := isField(name, "Content-Length")
		if !isLength && !isField(name, "Transfer-Encoding") {
			continue
		}
		if name[len(name)-1] == ' ' || name[len(name)-1] == '\t' || len(rest) > 0 && (rest[0] == ' ' || rest[0] == '\t') {
			return f, invalid("blank or continuation in a field that frames the body", line)
		}
		value = bytes.Trim(value, " \t")
		if isLength {
			n, err := strconv.ParseUint(string(value), 10, 63)
			if err != nil || lengths > 0 && f.body.Length != int64(n) {
				return f, invalid("length", line)
			}
			f.body.Length = int64(n)
			lengths++
			continue
		}
		if codings++; codings > 1 || old || !bytes.EqualFold(value, []byte("chunked")) {
			return f, invalid("transfer coding", line)
		}
		f.body.Chunked = true
	}
	if lengths > 0 && codings > 0 {
		return f, invalid("length and transfer coding", nil)
	}
	return f, f.applyStatus(lengths+codings > 0, toHead)
}

// applyStatus applies the rules of the status: which answers have no body.
func (f *framing) applyStatus(framed, toHead bool) error {
	switch {
	case f.informational(), f.status == 204:
		if f.body.Chunked || f.body.Length > 0 {
			return invalid(fmt.Sprintf("status %d with a body", f.status), nil)
		}
	case toHead, f.status == 304:
		f.body = httpframe.Body{}
	case f.status == 205 && f.body.Length > 0:
		return invalid("status 205 with a body", nil)
	default:
		f.toEnd = !framed
		f.empty = f.status == 205
	}
	return nil
}

// checkStatusLine checks a status line. old is set for HTTP/1.0.
func checkStatusLine(line []byte) (f framing, old bool, err error) {
	const versionBytes, codeEnd = len("HTTP/1.1 "), len("HTTP/1.1 200")
	old = bytes.HasPrefix(line, []byte("HTTP/1.0 "))
	if !old && !bytes.HasPrefix(line, []byte("HTTP/1.1 ")) || len(line) < codeEnd || len(line) > codeEnd && line[codeEnd] != ' ' {
		return f, old, invalid("status line", line)
	}
	for _, c := range line[versionBytes:codeEnd] {
		if c < '0' || c > '9' {
			return f, old, invalid("status line", line)
		}
		f.status = 10*f.status + int(c-'0')
	}
	// This client never asks to switch protocols, so that 101 is no answer to it.
	if f.status < 100 || f.status > 599 || f.status == 101 {
		return f, old, invalid("status", line)
	}
	return f, old, nil
}

// controlCharacter returns the index of the first byte that may not occur in a head, -1 if
// there is none. CR is allowed only at the end of a line.
func controlCharacter(head []byte) int {
	for i, c := range head {
		if c >= ' ' && c != 0x7f || c == '\t' || c == '\n' {
			continue
		}
		if c != '\r' || i+1 < len(head) && head[i+1] != '\n' {
			return i
		}
	}
	return -1
}

// isField reports whether a name, up to blanks behind it, is that of a field.
func isField(name []byte, field string) bool {
	// Most names differ in their first letter or are shorter.
	return len(name) >= len(field) && name[0]|0x20 == field[0]|0x20 && bytes.EqualFold(bytes.TrimRight(name, " \t"), []byte(field))
}

// maxQuoted bounds the bytes of an answer that an error quotes.
const maxQuoted = 60

func invalid(what string, bytes []byte) error {
	return fmt.Errorf("%w: %s %q", ErrInvalid, what, bytes[:min(len(bytes), maxQuoted)])
}
