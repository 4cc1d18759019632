package edge

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"net/url"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// fuzzState is the reducer of a daemon that knows one other daemon.
func fuzzState() *gateway.State {
	return gateway.New(gateway.Options{
		Self:     gateway.DaemonEntry{Name: "d1", Incarnation: 5, PeerAddress: "d1:70", CallerAddress: "d1:80", FailureDomain: "a"},
		RegionOf: map[string]string{"a": "north"}, RetryRatio: 0.2, RetrySlack: 20, MaxSilence: time.Second,
	})
}

// Guards against datagrams that make a daemon panic, drop its own entry or send it with
// an earlier incarnation.
func FuzzGossip(f *testing.F) {
	other := gateway.DaemonEntry{Name: "d2", Incarnation: 7, Counter: 1, CallerAddress: "d2:80", PeerAddress: "d2:70",
		FailureDomain: "b", State: gateway.DaemonReady, ConfigVersion: 3, View: gateway.ViewRevisions{Servers: 9, Evacuations: 5}, Cores: 0.4, CallsPerSecond: 100}
	self := gateway.DaemonEntry{Name: "d1", Incarnation: 9, PeerAddress: "d1:70"}
	greatest := self
	greatest.Incarnation = math.MaxUint64
	for _, entries := range [][]gateway.DaemonEntry{{other}, {other, self}, {other, greatest}, {other, other.WithoutStoredFields()}} {
		data, err := encodeGossip(entries, gateway.Sections{Quota: []gateway.TenantDemand{{Tenant: "x", ArrivalsPerSecond: 1}}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		message, err := decodeGossip(data)
		runtime.ReadMemStats(&after)
		// An empty entry takes two bytes in a datagram.
		if took := after.TotalAlloc - before.TotalAlloc; took > 64<<10+1000*uint64(len(data)) {
			t.Fatalf("%d bytes allocated for a datagram of %d", took, len(data))
		}
		if err != nil {
			return
		}
		s := fuzzState()
		last := uint64(0)
		for i := range 4 {
			now := model.Time(time.Duration(i+1) * time.Second)
			effects := s.Step(now, message)
			effects = append(append([]gateway.Effect(nil), effects...), s.Step(now, gateway.Tick{})...)
			for _, e := range effects {
				g, ok := e.(gateway.Gossip)
				if !ok || len(g.Daemons) == 0 {
					continue
				}
				self := g.Daemons[0]
				if self.Name != "d1" || self.Incarnation < last || self.Incarnation < 5 {
					t.Fatalf("the daemon's own entry is %+v, its incarnation before was %d", self, last)
				}
				last = self.Incarnation
			}
		}
	})
}

// Guards against a field that is lost or mixed up with another in the encoding.
func TestGossipRoundTrip(t *testing.T) {
	want := []gateway.DaemonEntry{
		{Name: "a", Incarnation: 1, Counter: 2, CallerAddress: "1.1.1.1:1", PeerAddress: "1.1.1.1:2", FailureDomain: "d",
			State: gateway.DaemonReady, ConfigVersion: 3, View: gateway.ViewRevisions{Servers: 4, Evacuations: 3, Rollouts: 7}, StoreDown: true, Cores: 0.25, CallsPerSecond: 5},
		{Name: "b", State: gateway.DaemonLeaving}, {Name: "c", State: gateway.DaemonStarting},
	}
	data, err := encodeGossip(want, gateway.Sections{})
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeGossip(data)
	if err != nil || !slices.Equal(got.Daemons, want) {
		t.Errorf("got %+v, %v", got, err)
	}
}

// Guards against a view of another daemon that makes a follower panic or lose
// an object that the view does not delete.
func FuzzView(f *testing.F) {
	f.Add(`{"kinds":{"servers":{"revision":9,"changed":9,"objects":{"i-2":{"name":"i-2","revision":9,"value":{}}},"deleted":{"i-3":8},"since":4}}}`)
	f.Add(`{"kinds":{"servers":{"revision":9,"objects":null,"deleted":null}},"afterOutage":true}`)
	f.Add(`{"kinds":{"config":{"revision":18446744073709551615,"objects":{"main":{"name":"main","value":{"version":7}}}}}}`)
	f.Add(`{"kinds":{"servers":{"revision":2,"era":5,"objects":{"i-1":{"name":"i-1","revision":2,"era":5,"value":{"Sequence":3}}},"deleted":{}}},"era":5}`)
	f.Add(`{"kinds":{"evacuations":{"revision":2,"era":5}},"era":5,"retained":{"servers":{"i-1":{"object":{"name":"i-1","era":4,"value":{"Sequence":9}},"gone":true}},"evacuations":{"a":{"object":{"name":"a","era":4},"sinceMs":-1}}}}`)
	f.Add(`{"retained":{"servers":{"":{"object":{"name":"","value":null}}},"config":{"main":{"object":{"name":"x"}}},"daemons":{"d":{}}}}`)
	f.Fuzz(func(t *testing.T, text string) {
		var view View
		if json.Unmarshal([]byte(text), &view) != nil {
			return
		}
		follower := NewFollower(FollowerConfig{
			Store: &fakeStore{}, Decoder: anyDecoder{}, Post: func(gateway.Event) {},
			OnInvalid: func(Kind, string, error) {}, Turn: func() gateway.WatchTurn { return gateway.WatchTurn{Count: 1, Interval: testWatchInterval} },
		})
		follower.replaceState(KindServers, newKindState([]Object{{Name: "i-1", Revision: 4, Value: json.RawMessage(`{}`)}}, Position{Revision: 5}), sourceList, false)
		have := follower.Positions()
		follower.Adopt("b", view, have)
		known := follower.View(nil).Kinds[KindServers]
		remote, inView := view.Kinds[KindServers]
		_, deleted := remote.Deleted["i-1"]
		replaced := inView && remote.position().compare(have[KindServers]) > 0 && (remote.Era != have[KindServers].Era || remote.Since == 0 || remote.Since > have[KindServers].Revision)
		if _, ok := known.Objects["i-1"]; !ok && !deleted && !replaced {
			t.Fatalf("i-1 is lost; view %+v", view)
		}
		if known.position().compare(have[KindServers]) < 0 {
			t.Fatalf("revision went back to %d", known.Revision)
		}
		// What was adopted can be sent to other daemons.
		if _, err := json.Marshal(follower.View(map[Kind]Position{KindServers: {Revision: math.MaxUint64}})); err != nil {
			t.Fatal(err)
		}
	})
}

// anyDecoder accepts every value.
type anyDecoder struct{}

// HideKeys implements Decoder.
func (anyDecoder) HideKeys(v json.RawMessage, _ bool) (json.RawMessage, error) { return v, nil }

// Config implements Decoder.
func (anyDecoder) Config(json.RawMessage) (*gateway.Config, error) { return &gateway.Config{}, nil }

// Server implements Decoder.
func (anyDecoder) Server(name string, _ json.RawMessage) (gateway.Server, error) {
	return gateway.Server{ID: name, Service: "s", Slots: 1}, nil
}

// Rollout implements Decoder.
func (anyDecoder) Rollout(o Object) (gateway.RolloutOrder, error) {
	return gateway.RolloutOrder{Service: o.Name, Target: "v2", Duration: time.Second}, nil
}

// wholeRequest returns what net/http sends for a request to a leaf.
func wholeRequest(req *http.Request, header, values http.Header, body []byte) (string, error) {
	r := &http.Request{
		Method: req.Method, URL: &url.URL{Scheme: "http", Host: req.Host, Opaque: req.RequestURI}, Host: req.Host,
		Header: header.Clone(), Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}
	for name, list := range values {
		r.Header[name] = list
	}
	if len(body) > 0 {
		r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
	}
	var b bytes.Buffer
	err := r.Write(&b)
	if err != nil {
		return "", err
	}
	return b.String(), nil
}

// Guards against hop-by-hop header fields that reach a leaf, and against a method, path
// or host that changes on the way to it.
func FuzzCallerRequest(f *testing.F) {
	f.Add("GET /a/b?c=d HTTP/1.1\r\nHost: h.example\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nX-Kept: 2\r\n\r\n")
	f.Add("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n3\r\nabc\r\n0\r\nT: 1\r\n\r\n")
	f.Add("POST /a HTTP/1.1\r\nHost: h\r\nb-field: 1\r\nX-Field: 2\r\nUser-Agent: u\r\na: X-Field: \r\nContent-Length: 2\r\n\r\nok")
	f.Add("GET http://h/a HTTP/1.0\r\nkeep-alive: 1\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		req, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		forwarded := forwardedHeader(req.Header)
		for _, name := range connectionHeaders {
			if forwarded.Get(name) != "" {
				t.Fatalf("header %s is forwarded", name)
			}
		}
		values := http.Header{"B-Field": {"12"}, "X-Field": {"a\r\nb "}}
		want, wantErr := wholeRequest(req, forwarded, values, body)
		l := newLeafRequest(req, forwarded, []string{"B-Field", "X-Field"}, body)
		for range 2 {
			var got bytes.Buffer
			if err := l.write(&got, values); (err != nil) != (wantErr != nil) || got.String() != want {
				t.Fatalf("a leaf gets %q, %v, want %q, %v", got.String(), err, want, wantErr)
			}
		}
	})
}
