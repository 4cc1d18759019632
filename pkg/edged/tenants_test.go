package edged_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/edged"
	"github.com/pistachiousher/pistachiousher/platform/standin"
)

// requestWithKey sends one request with a key.
func (d *daemon) requestWithKey(path, key string) standin.Answer {
	return d.caller().Ask(d.settings.Listen.Caller, standin.Request{Method: "GET", Path: path, ID: "q", Wait: time.Second, Key: key})
}

// Guards against a leaf that gets a key, or a tenant's name other than that of the key's
// holder, in whatever form the client sent these headers.
func TestLeafGetsTenantInsteadOfKey(t *testing.T) {
	s := newSite(t)
	leaf := s.leaf("i-1", "one", standin.Behavior{Body: []byte("body")})
	public := route("/public/", "one")
	public.Public = true
	s.configureTenants([]standin.Tenant{{Name: "ralo620", Keys: []string{"secret-key"}}}, route("/one/", "one"), public)
	d := s.daemon(1)
	eventually(t, startTimeout, "ready", d.ready)
	const key = standin.KeyHeader + ": secret-key\r\n"
	for name, x := range map[string]struct {
		path, lines string
		status      int
		tenant      string
	}{
		"key":                        {"/one/x", key, 200, "ralo620"},
		"other case":                 {"/one/x", "x-aPI-kEY: secret-key\r\n", 200, "ralo620"},
		"blanks around the key":      {"/one/x", standin.KeyHeader + ": \t secret-key \t\r\n", 200, "ralo620"},
		"stated tenant":              {"/one/x", key + standin.TenantHeader + ": other\r\n", 200, "ralo620"},
		"stated tenant twice":        {"/one/x", key + "x-pistachiousher-tenant: other\r\nX-PISTACHIOUSHER-TENANT: third\r\n", 200, "ralo620"},
		"tenant named in Connection": {"/one/x", key + "Connection: " + standin.TenantHeader + "\r\n" + standin.TenantHeader + ": other\r\n", 200, "ralo620"},
		"key named in Connection":    {"/one/x", key + "Connection: x-api-key, close\r\n", 200, "ralo620"},
		"tenant as a trailer":        {"/one/x", key + "Trailer: " + standin.TenantHeader + "\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n" + standin.TenantHeader + ": other\r\n", 200, "ralo620"},
		"key as a trailer":           {"/one/x", "Trailer: " + standin.KeyHeader + "\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n" + standin.KeyHeader + ": secret-key\r\n", 401, ""},
		"no key":                     {"/one/x", "", 401, ""},
		"only a tenant":              {"/one/x", standin.TenantHeader + ": ralo620\r\n", 401, ""},
		"empty key":                  {"/one/x", standin.KeyHeader + ": \r\n", 401, ""},
		"key twice":                  {"/one/x", key + key, 401, ""},
		"key and an empty one":       {"/one/x", key + standin.KeyHeader + ":\r\n", 401, ""},
		"unknown key":                {"/one/x", standin.KeyHeader + ": secret\r\n", 401, ""},
		"scheme before the key":      {"/one/x", standin.KeyHeader + ": Bearer secret-key\r\n", 401, ""},
		"hash of the key":            {"/one/x", standin.KeyHeader + ": 85dbe15d75ef9308c7ae0f33c7a324cc6f4bf519a2ed2f3027bd33c140a4f9aa\r\n", 401, ""},
		"public":                     {"/public/x", "", 200, ""},
		"public with key and tenant": {"/public/x", key + standin.TenantHeader + ": ralo620\r\n", 200, ""},
		"public with key twice":      {"/public/x", key + key, 200, ""},
		"no route":                   {"/none/x", "", 404, ""},
	} {
		before := len(leaf.Arrivals())
		status := rawStatus(t, d, standin.RequestHead("POST", x.path, host, time.Second)+x.lines)
		arrivals := leaf.Arrivals()[before:]
		switch {
		case status != x.status:
			t.Errorf("%s: status %d, want %d", name, status, x.status)
		case status != http.StatusOK:
			if len(arrivals) > 0 {
				t.Errorf("%s: refused and sent to a leaf", name)
			}
			continue
		case len(arrivals) != 1 || arrivals[0].Tenant != x.tenant || len(arrivals[0].Header.Values(standin.TenantHeader)) > 1:
			t.Errorf("%s: the leaf got %+v, want tenant %q", name, arrivals, x.tenant)
			continue
		}
		for _, a := range arrivals {
			if text := fmt.Sprint(a.Header); strings.Contains(text, "secret-key") || strings.Contains(text, "other") || strings.Contains(text, "third") {
				t.Errorf("%s: the leaf got %s", name, text)
			}
		}
	}
	if strings.Contains(d.log.String(), "secret-key") {
		t.Error("the log contains the key")
	}
}

// rawStatus sends the first lines of a request, ends it, and returns the status of the
// answer.
func rawStatus(t *testing.T, d *daemon, lines string) int {
	t.Helper()
	conn, err := net.Dial("tcp", d.settings.Listen.Caller)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(conn, lines+"\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("%q: %v", lines, err)
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// Guards against headers that daemons change in a deployment without tenants.
func TestHeadersPassWithoutTenants(t *testing.T) {
	s := newSite(t)
	leaf := s.leaf("i-1", "one", standin.Behavior{Body: []byte("body")})
	s.configure(route("/one/", "one"))
	d := s.daemon(1)
	eventually(t, startTimeout, "ready", d.ready)
	if status := rawStatus(t, d, standin.RequestHead("GET", "/one/x", host, time.Second)+standin.KeyHeader+": k\r\n"+standin.TenantHeader+": t\r\n"); status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	if got := leaf.Arrivals()[0]; got.Header.Get(standin.KeyHeader) != "k" || got.Tenant != "t" {
		t.Errorf("the leaf got %v", got.Header)
	}
}

// Guards against a removed key that is accepted, an added one that is refused, and keys in
// views that daemons send each other, in logs or on pages of the admin address.
func TestKeysFollowStoreAndStayHidden(t *testing.T) {
	s := newSite(t)
	s.leaf("i-1", "one", standin.Behavior{Body: []byte("body")})
	s.configureTenants([]standin.Tenant{{Name: "a", Keys: []string{"secret-key-1"}, RatePerSecond: 1000, Burst: 1000}}, route("/one/", "one"))
	d := s.daemon(1)
	eventually(t, startTimeout, "ready", d.ready)
	if a := d.requestWithKey("/one/x", "secret-key-1"); a.Status != http.StatusOK {
		t.Fatalf("answer %+v", a)
	}
	s.configureTenants([]standin.Tenant{{Name: "a", Keys: []string{"secret-key-2"}}}, route("/one/", "one"))
	eventually(t, 3*time.Second, "the added key is accepted", func() bool { return d.requestWithKey("/one/x", "secret-key-2").Status == http.StatusOK })
	if a := d.requestWithKey("/one/x", "secret-key-1"); a.Status != http.StatusUnauthorized || a.RetryAfter != "" {
		t.Errorf("removed key: %+v", a)
	}
	view := fetch(t, "http://"+peerAddress(d.settings)+"/view")
	if !strings.Contains(view, "keyHashes") || strings.Contains(view, "secret-key") {
		t.Errorf("view %.2000s", view)
	}
	if strings.Contains(d.log.String(), "secret-key") {
		t.Error("the log contains a key")
	}
}

func peerAddress(s *edged.Settings) string {
	ip, _, _ := net.SplitHostPort(s.Listen.Caller)
	return net.JoinHostPort(ip, fmt.Sprint(s.PeerPort))
}

func fetch(t *testing.T, url string) string {
	t.Helper()
	resp, err := http.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

// Guards against requests over the quota that run or get another status, and against a
// Retry-After at which they are refused again.
func TestRequestsOverTheQuota(t *testing.T) {
	s := newSite(t)
	leaf := s.leaf("i-1", "one", standin.Behavior{Body: []byte("body")})
	s.configureTenants([]standin.Tenant{{Name: "a", Keys: []string{"k"}, RatePerSecond: 0.4, Burst: 2}}, route("/one/", "one"))
	d := s.daemon(1)
	eventually(t, startTimeout, "ready", d.ready)
	eventually(t, startTimeout, "a request is served", func() bool { return d.requestWithKey("/one/x", "k").Status == http.StatusOK })
	for range 3 {
		if a := d.requestWithKey("/one/x", "k"); a.Status != http.StatusOK {
			t.Fatalf("answer %+v", a)
		}
	}
	a := d.requestWithKey("/one/x", "k")
	seconds, err := strconv.ParseFloat(a.RetryAfter, 64)
	if a.Status != http.StatusTooManyRequests || err != nil || seconds <= 0 || seconds > 5.2 || len(leaf.Ran()) != 4 {
		t.Fatalf("answer %+v, %d ran", a, len(leaf.Ran()))
	}
	time.Sleep(time.Duration((seconds + 0.01) * float64(time.Second)))
	if a := d.requestWithKey("/one/x", "k"); a.Status != http.StatusOK {
		t.Errorf("after %v s: %+v", seconds, a)
	}
}

// Guards against daemons that do not lend each other what only one of them needs, and against
// more requests in a window than the limit allows.
func TestDaemonsLendQuota(t *testing.T) {
	const (
		window    = 5 * time.Second
		allowance = 7
	)
	s := newSite(t)
	leaf := s.leaf("i-1", "one", standin.Behavior{Body: []byte("body")})
	s.configureTenants([]standin.Tenant{{Name: "a", Keys: []string{"k"}, RatePerSecond: 1, Burst: 2}}, route("/one/", "one"))
	d, other := s.daemon(1), s.daemon(2)
	eventually(t, startTimeout, "ready", func() bool { return d.ready() && other.ready() })
	eventually(t, startTimeout, "both know each other", func() bool { return len(d.addresses()) == 2 && len(other.addresses()) == 2 })
	// inWindow is the number of requests that ran in the latest window.
	inWindow := func() int {
		n := 0
		for _, r := range leaf.Ran() {
			if time.Since(r.At) < window {
				n++
			}
		}
		return n
	}
	// Both daemons together hold seven requests, so that neither holds more than four.
	eventually(t, 4*window, "more runs than one daemon holds", func() bool {
		d.requestWithKey("/one/x", "k")
		return inWindow() > (allowance+1)/2
	})
	for range 20 {
		d.requestWithKey("/one/x", "k")
		other.requestWithKey("/one/x", "k")
	}
	ran := leaf.Ran()
	for i := allowance; i < len(ran); i++ {
		if ran[i].At.Sub(ran[i-allowance].At) < window {
			t.Errorf("more than %d requests ran in a window", allowance)
			break
		}
	}
}
