package edged_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/edge"
	"github.com/pistachiousher/pistachiousher/platform"
	"github.com/pistachiousher/pistachiousher/platform/standin"
)

// faultyProtocol panics for requests with the id "bad-caller" and answers to the id
// "bad-leaf".
type faultyProtocol struct{ platform.Protocol }

// Caller implements edge.Protocol.
func (p faultyProtocol) Caller(h http.Header) (string, time.Duration) {
	id, wait := p.Protocol.Caller(h)
	if id == "bad-caller" {
		panic("caller")
	}
	return id, wait
}

// FromLeaf implements edge.Protocol.
func (p faultyProtocol) FromLeaf(status int, h http.Header) edge.LeafAnswer {
	a := p.Protocol.FromLeaf(status, h)
	if strings.HasSuffix(a.Stamp, "bad-leaf") {
		panic("answer")
	}
	return a
}

// faultyDecoder panics for the leaf "bad" and for version 2 of the configuration.
// Version 3 is decoded as nil, which makes the reducer panic.
type faultyDecoder struct{ platform.Decoder }

// Server implements edge.Decoder.
func (d faultyDecoder) Server(name string, value json.RawMessage) (gateway.Server, error) {
	if name == "bad" {
		panic("server")
	}
	return d.Decoder.Server(name, value)
}

// Config implements edge.Decoder.
func (d faultyDecoder) Config(value json.RawMessage) (*gateway.Config, error) {
	c, err := d.Decoder.Config(value)
	switch {
	case err == nil && c.Version == 2:
		panic("configuration")
	case err == nil && c.Version == 3:
		return nil, nil
	}
	return c, err
}

// Guards against a panic in the handling of one request, answer, object or message
// that ends the daemon, leaves its lock held, or keeps other objects that were read
// along with it from taking effect.
func TestPanicsAreContained(t *testing.T) {
	s := newSite(t)
	s.leaf("i-1", "one", standin.Behavior{Body: []byte("body")})
	s.configure(route("/one/", "one"))
	s.store.PutServer(gateway.Server{ID: "bad", Service: "one", Address: "127.0.0.1:1", FailureDomain: "a", Slots: 1})
	adapter := platform.Adapter()
	adapter.Protocol, adapter.Decoder = faultyProtocol{}, faultyDecoder{}
	d := s.daemon(1)
	d.stop()
	d.adapter = &adapter
	d.start()
	eventually(t, startTimeout, "ready", d.ready)
	expectServes := func(fault string) {
		t.Helper()
		if a := d.call("GET", "/one/x", "good", time.Second, ""); a.Status != http.StatusOK {
			t.Fatalf("after %s: %+v", fault, a)
		}
	}
	expectServes("a leaf's entry that panics")
	if a := d.call("GET", "/one/x", "bad-caller", time.Second, ""); a.Err == nil {
		t.Errorf("a request that panics: %+v", a)
	}
	expectServes("a request that panics")
	if a := d.call("GET", "/one/x", "bad-leaf", time.Second, ""); a.Status != http.StatusBadGateway {
		t.Errorf("an answer that panics: %+v", a)
	}
	expectServes("an answer that panics")
	s.configure(route("/one/", "one"))
	expectServes("a configuration that panics when it is read")
	s.configure(route("/one/", "one"))
	eventually(t, startTimeout, "a panic in the reducer is logged", func() bool { return strings.Contains(d.log.String(), "edge_panic") })
	expectServes("a configuration that panics in the reducer")
	conn, err := net.Dial("udp", fmt.Sprintf("127.0.0.1:%d", s.peerPort))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	for _, message := range []string{"", "\x00", "\xff\xff\xff\xff", strings.Repeat("\x0a\x00", 4000), strings.Repeat("x", 16000)} {
		if _, err := conn.Write([]byte(message)); err != nil {
			t.Fatal(err)
		}
	}
	expectServes("malformed gossip")
	s.configure(route("/one/", "one"), route("/two/", "one"))
	eventually(t, startTimeout, "the next configuration takes effect", func() bool {
		return d.call("GET", "/two/x", "good", time.Second, "").Status == http.StatusOK
	})
}
