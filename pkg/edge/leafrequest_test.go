package edge

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkLeafRequests measures the encoding of the requests of one query to 90 leafs: as
// net/http encodes them from a clone of the header each, and once for all.
func BenchmarkLeafRequests(b *testing.B) {
	const attempts = 90
	values := http.Header{"X-Deadline-Ms": {"400"}, "X-Server": {"i-1a939ceaaa"}}
	fields := []string{"X-Deadline-Ms", "X-Server"}
	for _, lines := range []int{6, 4000} {
		header := http.Header{"User-Agent": {"caller"}, "X-Request-Id": {"9c41d07be2a35f68"}}
		for i := range lines {
			header[fmt.Sprintf("X-%d", i)] = []string{strings.Repeat("v", 10)}
		}
		req := &http.Request{Method: "GET", RequestURI: "/search/x", Host: "parish.example"}
		b.Run(fmt.Sprintf("lines=%d/each", lines), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				for range attempts {
					if _, err := wholeRequest(req, header, values, nil); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
		b.Run(fmt.Sprintf("lines=%d/once", lines), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				l := newLeafRequest(req, header.Clone(), fields, nil)
				var out bytes.Buffer
				for range attempts {
					out.Reset()
					if err := l.write(&out, values); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}
