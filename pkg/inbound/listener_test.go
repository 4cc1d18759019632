package inbound

import (
	"net/http"
	"testing"
	"time"
)

// Guards against idle connections that keep out others, and against one with an open
// request that is closed for them.
func TestIdleConnectionsMakeRoom(t *testing.T) {
	block, entered := make(chan struct{}), make(chan struct{}, 1)
	s := startServer(t, 8<<20, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			entered <- struct{}{}
			<-block
		}
	}, 3)
	open := dial(t, s)
	if _, err := open.Write([]byte("GET /wait HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	<-entered
	for range 10 {
		dial(t, s)
	}
	client := &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
	resp, err := client.Get(s.URL)
	if err != nil {
		t.Fatalf("a request beside idle connections: %v", err)
	}
	resp.Body.Close()
	close(block)
	if got := statuses(open); len(got) != 1 || got[0] != http.StatusOK {
		t.Errorf("the open request: %v", got)
	}
}
