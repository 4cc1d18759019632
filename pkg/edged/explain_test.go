package edged_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/tenant"
	"github.com/pistachiousher/pistachiousher/pkg/edged"
	"github.com/pistachiousher/pistachiousher/platform/standin"
)

// Guards against an explanation that sends the request, is given at no address that other
// hosts reach, shows or logs the key, or is refused with another status than the request.
func TestExplainSendsNothing(t *testing.T) {
	s := newSite(t)
	leaf := s.leaf("i-1", "one", standin.Behavior{Body: []byte("x")})
	s.configureTenants([]standin.Tenant{{Name: "t1", Keys: []string{"secret-key"}}}, route("/one/", "one"))
	d := s.daemon(1)
	eventually(t, startTimeout, "ready", d.ready)
	explain := func(r gateway.ExplainRequest) (e gateway.Explanation, text string) {
		t.Helper()
		body, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		address := strings.Split(d.settings.Listen.Caller, ":")[0] + fmt.Sprintf(":%d", d.settings.PeerPort)
		resp, err := http.Post("http://"+address+edged.ExplainPath, "application/json", bytes.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		var reply bytes.Buffer
		if _, err := reply.ReadFrom(resp.Body); err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(reply.Bytes(), &e); err != nil {
			t.Fatalf("%v: %.200s", err, reply.String())
		}
		return e, reply.String()
	}
	hash := tenant.HashKey("secret-key").String()
	eventually(t, startTimeout, "the leaf is known", func() bool {
		e, _ := explain(gateway.ExplainRequest{Host: host, Path: "/one/", KeyHash: hash})
		return len(e.Decision.Attempts) == 1
	})
	e, text := explain(gateway.ExplainRequest{Host: host, Path: "/one/x", KeyHash: hash, TimeoutMS: 500})
	if !e.Decision.Admitted || e.Tenant == nil || e.Tenant.Name != "t1" || e.Services[0].Leafs[0].ID != "i-1" {
		t.Errorf("explained as %.1000s", text)
	}
	if strings.Contains(text, hash) || strings.Contains(text, "secret-key") || strings.Contains(d.log.String(), hash) {
		t.Error("the key or its hash is shown")
	}
	if refused, _ := explain(gateway.ExplainRequest{Host: host, Path: "/one/x"}); refused.Decision.Status != http.StatusUnauthorized {
		t.Errorf("without a key: %+v", refused.Decision)
	}
	if n := len(leaf.Arrivals()); n != 0 {
		t.Errorf("%d requests reached the leaf", n)
	}
	eventually(t, time.Second, "explanations are logged", func() bool { return strings.Contains(d.log.String(), "edge_explained") })
	if log := d.log.String(); strings.Contains(log, "edge_answered") || strings.Contains(log, "edge_refused") {
		t.Errorf("an explanation is logged as a request:\n%s", log)
	}
}
