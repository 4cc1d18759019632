package edged_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/edge"
	"github.com/pistachiousher/pistachiousher/platform/standin"
)

// Guards against a restarted daemon that uses what was withdrawn: a removed leaf, a
// removed route, an evacuated failure domain. The store is down, so the daemon
// learns everything from another daemon.
func TestRestartedDaemonUsesNothingWithdrawn(t *testing.T) {
	s := newSite(t)
	removed := s.leaf("i-left", "one", standin.Behavior{Body: []byte("left")})
	s.leaf("i-stays", "one", standin.Behavior{Body: []byte("stays")})
	evacuated := s.leaf("i-evacuated", "one", standin.Behavior{Body: []byte("evacuated")})
	s.store.PutServer(gateway.Server{ID: "i-evacuated", Service: "one", Address: evacuated.Address(), FailureDomain: "b", Slots: 2})
	s.configure(route("/one/", "one"), route("/gone/", "one"))
	d1, d2 := s.daemon(1), s.daemon(2)
	eventually(t, startTimeout, "ready", func() bool { return d1.ready() && d2.ready() })
	s.store.Delete(string(edge.KindServers), "i-left")
	s.store.Put(string(edge.KindEvacuations), "b", struct{}{})
	s.configure(route("/one/", "one"))
	changeInForce := func(d *daemon) bool {
		return d.call("GET", "/gone/x", "q", time.Second, "").Status == http.StatusNotFound
	}
	eventually(t, startTimeout, "the change is in force", func() bool { return changeInForce(d1) && changeInForce(d2) })
	time.Sleep(500 * time.Millisecond)
	before := len(removed.Arrivals()) + len(evacuated.Arrivals())
	s.store.SetDown(true)
	d2.stop()
	d2.start()
	eventually(t, 2*startTimeout, "ready without the store", d2.ready)
	for i := range 30 {
		if a := d2.call("GET", "/one/x", fmt.Sprint(i), time.Second, ""); a.Status != http.StatusOK || a.Body != "stays" {
			t.Fatalf("answer %+v", a)
		}
		if !changeInForce(d2) {
			t.Fatal("a withdrawn route is in use")
		}
	}
	if n := len(removed.Arrivals()) + len(evacuated.Arrivals()) - before; n > 0 {
		t.Errorf("%d requests to leafs that were removed or evacuated", n)
	}
}
