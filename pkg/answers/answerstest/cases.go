// Package answerstest has answers, as raw bytes, that are none in HTTP/1, and odd ones that
// are, for tests of clients.
package answerstest

import (
	"fmt"
	"strings"
)

// Case is what a server sends before it closes the connection.
type Case struct {
	Name, Raw string
	// Status is that of the answer; 0 if the bytes are no answer.
	Status int
}

// Cases returns cases. lines are header lines that make a client take a success for its
// own, with their line ends; body is a body that it accepts.
func Cases(lines, body string) []Case {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	good := "HTTP/1.1 200 OK\r\n" + lines + length + "\r\n" + body
	line := func(first string) string { return first + "\r\n" + lines + length + "\r\n" + body }
	framed := func(fields, rest string) string { return "HTTP/1.1 200 OK\r\n" + lines + fields + "\r\n" + rest }
	list := []Case{
		{"plain", good, 200},
		{"no reason phrase", line("HTTP/1.1 200 "), 200},
		{"no space after the code", line("HTTP/1.1 200"), 200},
		{"HTTP/1.0", line("HTTP/1.0 200 OK"), 200},
		{"status 599", line("HTTP/1.1 599 Odd"), 599},
		{"informational", "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n" + good, 200},
		{"equal lengths", framed(length+length, body), 200},
		{"chunks", framed("Transfer-Encoding: chunked\r\n", chunks), 200},
		{"no length", framed("Connection: close\r\n", body), 200},
		{"folded line", framed("A: b\r\n c\r\n"+length, body), 200},
		{"304 with a length", "HTTP/1.1 304 Not Modified\r\n" + lines + length + "\r\n", 304},
		{"205 without a body", "HTTP/1.1 205 Reset Content\r\n" + lines + "Content-Length: 0\r\n\r\n", 205},

		{"many informational answers", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 2000) + good, 0},
		{"HTTP/0.9", line("HTTP/0.9 200 OK"), 0},
		{"HTTP/2.0", line("HTTP/2.0 200 OK"), 0},
		{"lower case", line("http/1.1 200 OK"), 0},
		{"two spaces", line("HTTP/1.1  200 OK"), 0},
		{"no version", line("200 OK"), 0},
		{"only a body", body, 0},
		{"long status line", line("HTTP/1.1 200 " + strings.Repeat("x", 64<<10)), 0},
		{"204 with a length", "HTTP/1.1 204 No Content\r\n" + lines + length + "\r\n" + body, 0},
		{"204 with chunks", "HTTP/1.1 204 No Content\r\n" + lines + "Transfer-Encoding: chunked\r\n\r\n" + chunks, 0},
		{"205 with a length", "HTTP/1.1 205 Reset Content\r\n" + lines + length + "\r\n" + body, 0},
		{"205 with chunks", "HTTP/1.1 205 Reset Content\r\n" + lines + "Transfer-Encoding: chunked\r\n\r\n" + chunks, 0},
		{"205 with a body to the end", "HTTP/1.1 205 Reset Content\r\n" + lines + "\r\n" + body, 0},
		{"two lengths", framed(length+"Content-Length: 1\r\n", body), 0},
		{"a list of lengths", framed(fmt.Sprintf("Content-Length: %d, %d\r\n", len(body), len(body)), body), 0},
		{"length and chunks", framed(length+"Transfer-Encoding: chunked\r\n", chunks), 0},
		{"length of minus one", framed("Content-Length: -1\r\n", body), 0},
		{"length of 2^63", framed("Content-Length: 9223372036854775808\r\n", body), 0},
		{"length with a sign", framed(fmt.Sprintf("Content-Length: +%d\r\n", len(body)), body), 0},
		{"empty length", framed("Content-Length:\r\n", body), 0},
		{"folded length", framed(fmt.Sprintf("Content-Length:\r\n %d\r\n", len(body)), body), 0},
		{"blank before the colon of a length", framed("Content-Length : 1\r\n", body), 0},
		{"blank before the colon of chunks", framed("Transfer-Encoding : chunked\r\n", chunks), 0},
		{"other coding", framed("Transfer-Encoding: gzip\r\n", body), 0},
		{"two codings", framed("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", chunks), 0},
		{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + lines + "Transfer-Encoding: chunked\r\n\r\n" + chunks, 0},
		{"NUL in a field", framed("A: b\x00c\r\n"+length, body), 0},
		{"CR in a field", framed("A: b\rc\r\n"+length, body), 0},
		{"line without a colon", framed("A\r\n"+length, body), 0},
		{"body cut off", framed(fmt.Sprintf("Content-Length: %d\r\n", len(body)+1), body), 0},
		{"chunks cut off", framed("Transfer-Encoding: chunked\r\n", strings.TrimSuffix(chunks, "0\r\n\r\n")), 0},
		{"chunk length of 40 digits", framed("Transfer-Encoding: chunked\r\n", strings.Repeat("0", 39)+chunks), 0},
		{"endless chunk extension", framed("Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x;%s", len(body), strings.Repeat("e", 64<<10))), 0},
	}
	for _, code := range []string{"000", "001", "099", "101", "600", "999", "20", "2", "2000", "+20", "-20", "2x0", "0x2"} {
		list = append(list, Case{"status " + code, line("HTTP/1.1 " + code + " Odd"), 0})
	}
	for _, code := range []string{"000", "001", "099"} {
		// Taken for an informational answer, it hides that the success is its body.
		list = append(list, Case{"success behind status " + code, "HTTP/1.1 " + code + " Odd\r\n\r\n" + good, 0})
	}
	return list
}
