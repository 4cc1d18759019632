package controls

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

func testBundle() *model.Bundle {
	server := func(name, domain string) model.BackendServer {
		return model.BackendServer{Name: model.ServerName(name), FailureDomain: model.FailureDomain(domain)}
	}
	b := &model.Bundle{
		Version: 1,
		Services: []model.Service{{Name: "arhiv", Layouts: []model.Layout{{Name: "l1", Shards: []model.Shard{
			{Name: "s1", Replicas: []model.ServerName{"a", "b"}},
			{Name: "s2", Replicas: []model.ServerName{"b", "c"}},
		}}}}},
		Servers: []model.BackendServer{server("a", "osijek-a"), server("b", "osijek-b"), server("c", "vukovar")},
	}
	b.Index()
	return b
}

func changeBy(author string, since, until int64) Change {
	return Change{Entry: model.ControlEntry{Author: author, Reason: "switch", Since: since, Until: until}}
}

// Guards against commands that are not idempotent, and against one operator
// silently replacing the entry of another.
func TestTakeOutTwiceAndByAnother(t *testing.T) {
	b, start := testBundle(), &model.Controls{Version: 4}
	out, changed, err := TakeOut(start, b, "vukovar", changeBy("ana", 100, 0))
	if err != nil || !changed || out.Version != 5 || !out.DomainOut("vukovar", 100) || len(start.TakeOuts) != 0 {
		t.Fatalf("got %+v, %v, %v", out, changed, err)
	}
	again, changed, err := TakeOut(out, b, "vukovar", changeBy("ana", 200, 0))
	if err != nil || changed || again.Version != 5 {
		t.Errorf("second take-out: got %+v, %v, %v", again, changed, err)
	}
	var conflict *ErrConflict
	if _, _, err = TakeOut(out, b, "vukovar", changeBy("iva", 200, 900)); !errors.As(err, &conflict) || conflict.Present.Author != "ana" || conflict.Wanted.Author != "iva" {
		t.Errorf("take-out by another author: got %v", err)
	}
	if _, _, err = BringBack(out, "vukovar", changeBy("iva", 200, 0)); !errors.As(err, &conflict) {
		t.Errorf("bring-back by another author: got %v", err)
	}
	longer, changed, err := TakeOut(out, b, "vukovar", changeBy("ana", 200, 900))
	if err != nil || !changed || longer.TakeOuts[0].Since != 100 || len(longer.TakeOuts) != 1 {
		t.Errorf("new end by the same author: got %+v, %v, %v", longer, changed, err)
	}
	back, changed, err := BringBack(out, "vukovar", changeBy("ana", 300, 0))
	if err != nil || !changed || back.Version != 6 || back.DomainOut("vukovar", 300) {
		t.Errorf("bring-back: got %+v, %v, %v", back, changed, err)
	}
	if same, changed, err := BringBack(back, "vukovar", changeBy("ana", 400, 0)); err != nil || changed || same.Version != 6 {
		t.Errorf("second bring-back: got %+v, %v, %v", same, changed, err)
	}
}

// Guards against operators who take the last usable replica of a shard out of
// service without intending it.
func TestLastReplica(t *testing.T) {
	b := testBundle()
	c, _, err := Drain(&model.Controls{Version: 1}, b, "c", changeBy("ana", 100, 500))
	if err != nil {
		t.Fatal(err)
	}
	var last *ErrLastReplica
	if _, _, err = TakeOut(c, b, "osijek-b", changeBy("ana", 200, 0)); !errors.As(err, &last) || !strings.Contains(err.Error(), "arhiv/l1/s2") || len(last.Shards) != 1 {
		t.Errorf("got %v, want the shard s2 named", err)
	}
	forced := changeBy("ana", 200, 0)
	forced.Force = true
	if out, changed, err := TakeOut(c, b, "osijek-b", forced); err != nil || !changed || !out.DomainOut("osijek-b", 200) {
		t.Errorf("with force: got %v", err)
	}
	if out, _, err := TakeOut(c, b, "osijek-b", changeBy("ana", 500, 0)); err != nil || len(out.Drains) != 0 {
		t.Errorf("after the drain ended: got %+v, %v", out, err)
	}
	var unknown *ErrUnknown
	if _, _, err = Drain(c, b, "x", changeBy("ana", 200, 0)); !errors.As(err, &unknown) {
		t.Errorf("unknown server: got %v", err)
	}
	if _, _, err = Drain(c, b, "a", changeBy("ana", 200, 100)); !errors.Is(err, ErrInvalid) {
		t.Errorf("end in the past: got %v", err)
	}
}

// Guards against controls that two decoders read differently, which would take
// a failure domain out at some daemons only.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"version":3,"take_outs":[{"failure_domain":"vukovar","author":"ana","reason":"r","since":5,"until":9}],"drains":[{"server":"a","author":"ana","reason":"r","since":5}]}`))
	f.Add([]byte(`{"version":3,"version":4}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		c, err := Decode(raw)
		if err != nil {
			return
		}
		encoded, err := Encode(c)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Decode(encoded)
		if err != nil || !reflect.DeepEqual(c, again) {
			t.Fatalf("%s became %s: %v", raw, encoded, err)
		}
	})
}

// Guards against decoding that accepts version 0, doubled or misspelt keys,
// trailing data, and entries that are incomplete, reversed in time or doubled.
func TestDecodeRefuses(t *testing.T) {
	for _, raw := range []string{
		`{"version":0,"take_outs":[],"drains":[]}`, `{"version":1,"version":2}`, `{"Version":1}`, `{"version":1,"x":1}`, `{"version":1} {}`,
		`{"version":1,"drains":[{"server":"a","reason":"r","since":1}]}`,
		`{"version":1,"drains":[{"server":"a","author":"x","reason":"r","since":2,"until":1}]}`,
		`{"version":1,"drains":[{"server":"a","author":"x","reason":"r","since":1},{"server":"a","author":"y","reason":"r","since":1}]}`,
	} {
		if _, err := Decode([]byte(raw)); !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: got %v", raw, err)
		}
	}
}
