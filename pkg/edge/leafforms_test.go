package edge

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/tenant"
)

// tenantProtocol is a protocol with a key, a tenant's name and two fields of each attempt.
type tenantProtocol struct{ Protocol }

func (tenantProtocol) SetTenant(h http.Header, name string) {
	delete(h, "X-Key")
	delete(h, "X-Tenant")
	if name != "" {
		h["X-Tenant"] = []string{name}
	}
}

func (tenantProtocol) ToLeaf(h http.Header, _ time.Duration, server string) {
	h["X-Server"] = []string{server}
}

// Guards against a key, or a tenant's name that the caller stated, in a request that was
// encoded for a configuration without tenants before one with tenants came into force, and
// the other way round.
func TestRequestFormsFollowTheConfiguration(t *testing.T) {
	caller := &http.Request{Method: "GET", RequestURI: "/a/x", Host: "h.example", Header: http.Header{
		"X-Key": {"secret"}, "X-Tenant": {"stated"}, "X-Other": {"kept"}, "Connection": {"X-Hop"}, "X-Hop": {"dropped"},
	}}
	l := &leafRequests{protocol: tenantProtocol{}, request: caller}
	known := tenant.Identity{Checked: true, Tenant: &tenant.Tenant{Name: "desk"}}
	for _, x := range []struct {
		identity tenant.Identity
		withKey  bool
		tenant   string
	}{
		{identity: tenant.Identity{}, withKey: true, tenant: "stated"},
		{identity: known, tenant: "desk"},
		{identity: tenant.Identity{Checked: true}},
		{identity: tenant.Identity{}, withKey: true, tenant: "stated"},
		{identity: known, tenant: "desk"},
	} {
		values := http.Header{}
		if x.identity.Checked {
			tenantProtocol{}.SetTenant(values, x.identity.Name())
		}
		tenantProtocol{}.ToLeaf(values, time.Second, "i-1")
		var b bytes.Buffer
		if err := l.form(formOf(x.identity)).write(&b, values); err != nil {
			t.Fatal(err)
		}
		got := b.String()
		if strings.Contains(got, "secret") != x.withKey {
			t.Errorf("%+v: key passed on: %q", x.identity, got)
		}
		if want := "X-Tenant: " + x.tenant + "\r\n"; strings.Contains(got, "X-Tenant") != (x.tenant != "") || x.tenant != "" && !strings.Contains(got, want) {
			t.Errorf("%+v: want tenant %q: %q", x.identity, x.tenant, got)
		}
		if !strings.Contains(got, "X-Other: kept\r\n") || !strings.Contains(got, "X-Server: i-1\r\n") || strings.Contains(got, "dropped") {
			t.Errorf("%+v: %q", x.identity, got)
		}
	}
}

// Guards against a path that leafs get in another form than the caller sent it: net/http
// writes "//a/x" as "http://a/x".
func TestTargetIsForwardedUnchanged(t *testing.T) {
	for _, target := range []string{"/", "/a/x?q=//1", "//a/x", "///a//x", "//", "*", "/a%2fx//"} {
		for _, body := range []string{"", "body"} {
			req := &http.Request{Method: "POST", RequestURI: target, Host: "h.example"}
			l := newLeafRequest(req, http.Header{"X-Other": {"kept"}}, []string{"X-Server"}, []byte(body))
			var b bytes.Buffer
			if err := l.write(&b, http.Header{"X-Server": {"i-1"}}); err != nil {
				t.Fatal(err)
			}
			got := b.String()
			if !strings.HasPrefix(got, "POST "+target+" HTTP/1.1\r\nHost: h.example\r\n") || !strings.HasSuffix(got, "\r\n\r\n"+body) || !strings.Contains(got, "X-Server: i-1\r\n") {
				t.Errorf("%q with body %q: %q", target, body, got)
			}
		}
	}
}
