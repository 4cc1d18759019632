package edge

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/edge/gossippb"
)

// Guards against daemons of two program versions that do not understand each other
// during a rolling update: gossip and views with fields that this version does not
// know, or without fields that were added later.
func TestMessagesOfOtherVersions(t *testing.T) {
	entry := gateway.DaemonEntry{
		Name: "edge-1", Incarnation: 9, Counter: 7, CallerAddress: "10.0.0.1:80", PeerAddress: "10.0.0.1:70",
		FailureDomain: "a", State: gateway.DaemonReady, ConfigVersion: 3, View: gateway.ViewRevisions{Servers: 4, Evacuations: 6}, Cores: 0.4,
	}
	data, err := encodeGossip([]gateway.DaemonEntry{entry}, gateway.Sections{})
	if err != nil {
		t.Fatal(err)
	}
	// A later version adds a field to the message and one to the daemon.
	daemon := protowire.AppendTag(nil, 1, protowire.BytesType)
	daemon = protowire.AppendBytes(daemon, []byte("edge-2"))
	daemon = protowire.AppendTag(daemon, 4000, protowire.Fixed64Type)
	daemon = protowire.AppendFixed64(daemon, 1)
	later := protowire.AppendTag(data, 1, protowire.BytesType)
	later = protowire.AppendBytes(later, daemon)
	later = protowire.AppendTag(later, 99, protowire.BytesType)
	later = protowire.AppendBytes(later, []byte("new"))
	message, err := decodeGossip(later)
	entries := message.Daemons
	if err != nil || len(entries) != 2 || entries[0] != entry || entries[1].Name != "edge-2" {
		t.Errorf("gossip of a later version: %+v, %v", entries, err)
	}
	// An earlier version names no cores, calls or revision.
	earlier := protowire.AppendTag(nil, 1, protowire.BytesType)
	earlier = protowire.AppendBytes(earlier, protowire.AppendBytes(protowire.AppendTag(nil, 1, protowire.BytesType), []byte("edge-3")))
	if message, err := decodeGossip(earlier); err != nil || len(message.Daemons) != 1 || message.Daemons[0].Cores != 0 {
		t.Errorf("gossip of an earlier version: %+v, %v", message, err)
	}
	// An earlier version has one revision for leafs and evacuations, in field 9.
	earlier = protowire.AppendTag(nil, 1, protowire.BytesType)
	earlier = protowire.AppendBytes(earlier, append(protowire.AppendBytes(protowire.AppendTag(nil, 1, protowire.BytesType), []byte("edge-3")), protowire.AppendVarint(protowire.AppendTag(nil, 9, protowire.VarintType), 7)...))
	if message, err := decodeGossip(earlier); err != nil || len(message.Daemons) != 1 || message.Daemons[0].View != (gateway.ViewRevisions{Servers: 7, Evacuations: 7}) {
		t.Errorf("gossip with one revision: %+v, %v", message, err)
	}
	var sent gossippb.Gossip
	if err := proto.Unmarshal(data, &sent); err != nil || sent.GetDaemons()[0].GetViewRevision() != 6 {
		t.Errorf("a daemon of an earlier version gets revision %d, %v; want the greater one", sent.GetDaemons()[0].GetViewRevision(), err)
	}
	for name, view := range map[string]string{
		"later":   `{"kinds":{"servers":{"revision":9,"changed":9,"objects":{"b":{"name":"b","revision":9,"value":1,"new":true}},"deleted":{},"since":0,"more":[1]},"future":{"revision":9}},"new":{}}`,
		"earlier": `{"kinds":{"servers":{"revision":9,"objects":{"b":{"name":"b","revision":9,"value":1}}}}}`,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(view))
		}))
		f := newRecordingFollower(&fakeStore{objects: map[string]Object{}, down: true})
		p := NewPeers(nil, func(gateway.Event) {}, f.Follower, noLag, func(string, error) {})
		got, err := p.requestView(strings.TrimPrefix(server.URL, "http://"), nil, false, false)
		if err != nil {
			t.Fatalf("view of the %s version: %v", name, err)
		}
		f.Adopt("b", got, nil)
		f.awaitLeafs(t, time.Second, "[b]")
		// What was adopted can be sent to other daemons.
		if _, err := json.Marshal(f.View(nil)); err != nil {
			t.Errorf("view of the %s version: %v", name, err)
		}
		f.applyChanges(KindServers, []Change{{Object: Object{Name: "b", Revision: 10}, Deleted: true}}, Position{Revision: 10}, sourceView("b"), false)
		f.awaitLeafs(t, time.Second, "[]")
		server.Close()
	}
}

// Guards against a view that stops the following of a kind, leaves its lock held, or
// hides all later changes.
func TestInvalidViewsAreRefused(t *testing.T) {
	for name, view := range map[string]string{
		"revision":         `{"kinds":{"servers":{"revision":18446744073709551615}}}`,
		"changed":          `{"kinds":{"servers":{"revision":1,"changed":18446744073709551615}}}`,
		"object revision":  `{"kinds":{"servers":{"revision":1,"objects":{"b":{"name":"b","revision":18446744073709551615}}}}}`,
		"deleted revision": `{"kinds":{"servers":{"revision":1,"deleted":{"b":18446744073709551615}}}}`,
		"other name":       `{"kinds":{"servers":{"revision":1,"objects":{"b":{"name":"c","revision":1}}}}}`,
		"not a view":       `[1]`,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = w.Write([]byte(view))
		}))
		p := NewPeers(nil, func(gateway.Event) {}, newRecordingFollower(newFakeStore()).Follower, noLag, func(string, error) {})
		if got, err := p.requestView(strings.TrimPrefix(server.URL, "http://"), nil, false, false); err == nil {
			t.Errorf("%s: accepted: %+v", name, got)
		}
		server.Close()
	}
}
