package tenant

import (
	"fmt"
	"runtime"
	"testing"
)

func directory(tenants ...*Tenant) *Directory { return NewDirectory(tenants) }

func holder(name string, keys ...string) *Tenant {
	t := &Tenant{Name: name}
	for _, key := range keys {
		t.Keys = append(t.Keys, HashKey(key))
	}
	return t
}

// Guards against a request that runs under the wrong tenant, without a key that it needs,
// or that is denied although its key is held.
func TestIdentify(t *testing.T) {
	d := directory(holder("a", "k1", "k2"), holder("none"), holder("b", "k3", "k1"))
	credential := func(key string) Credential { return Credential{Key: HashKey(key), Present: true} }
	for name, x := range map[string]struct {
		d       *Directory
		c       Credential
		public  bool
		denied  bool
		checked bool
		tenant  string
	}{
		"first key":              {d, credential("k1"), false, false, true, "a"},
		"second key":             {d, credential("k2"), false, false, true, "a"},
		"key of another":         {d, credential("k3"), false, false, true, "b"},
		"unknown key":            {d, credential("k4"), false, true, true, ""},
		"empty key":              {d, credential(""), false, true, true, ""},
		"no key":                 {d, Credential{}, false, true, true, ""},
		"hash without a key":     {d, Credential{Key: HashKey("k1")}, false, true, true, ""},
		"public without key":     {d, Credential{}, true, false, true, ""},
		"public with key":        {d, credential("k1"), true, false, true, ""},
		"public with unknown":    {d, credential("k4"), true, false, true, ""},
		"no tenants, key":        {nil, credential("k1"), false, false, false, ""},
		"no tenants, no key":     {nil, Credential{}, false, false, false, ""},
		"tenants without a key":  {directory(holder("a")), credential("k1"), false, true, true, ""},
		"list without a tenant":  {directory(), Credential{}, false, false, false, ""},
		"key as a tenant's name": {d, credential("a"), false, true, true, ""},
	} {
		got := x.d.Identify(x.c, x.public)
		if got.Denied != x.denied || got.Checked != x.checked || got.Name() != x.tenant {
			t.Errorf("%s: %+v, tenant %q", name, got, got.Name())
		}
	}
}

// Guards against changes of keys that are counted wrongly in the log.
func TestCompareCountsKeys(t *testing.T) {
	old := directory(holder("a", "k1", "k2"), holder("b", "k3"))
	now := directory(holder("b", "k2", "k3"), holder("c", "k4"))
	if got := now.Compare(old); got != (Changes{Added: 1, Removed: 1, Moved: 1}) {
		t.Errorf("changes %+v", got)
	}
	if got := old.Compare(nil); got != (Changes{Added: 3}) {
		t.Errorf("first configuration: %+v", got)
	}
	var none *Directory
	if got := none.Compare(old); got != (Changes{Removed: 3}) {
		t.Errorf("last tenant removed: %+v", got)
	}
}

// Guards against a priority of a route that goes before that of a tenant.
func TestOrder(t *testing.T) {
	urgent := Identity{Tenant: &Tenant{HasPriority: true, Priority: 0}}
	plain := Identity{Tenant: &Tenant{Priority: 7}}
	for _, x := range []struct {
		identity      Identity
		route         int
		first, second int
	}{{urgent, 2, 0, 2}, {plain, 2, 2, 2}, {Identity{}, 1, 1, 1}} {
		if first, second := x.identity.Order(x.route); first != x.first || second != x.second {
			t.Errorf("%+v on a route of priority %d: %d, %d", x.identity, x.route, first, second)
		}
	}
}

// Guards against texts of views that are accepted as hashes of keys.
func TestParseKeyHash(t *testing.T) {
	h := HashKey("key")
	if got, err := ParseKeyHash(h.String()); err != nil || got != h {
		t.Errorf("%v, %v", got, err)
	}
	for _, text := range []string{"", "key", h.String()[1:], h.String() + "0", "z" + h.String()[1:]} {
		if _, err := ParseKeyHash(text); err == nil {
			t.Errorf("%q is accepted", text)
		}
	}
}

func manyTenants(tenants, keys int) []*Tenant {
	out := make([]*Tenant, tenants)
	for i := range out {
		out[i] = &Tenant{Name: fmt.Sprintf("tenant%d", i)}
		for j := range keys {
			out[i].Keys = append(out[i].Keys, HashKey(fmt.Sprintf("%d/%d", i, j)))
		}
	}
	return out
}

// Guards against a directory whose memory would not fit into a daemon of 128 MB for control
// work: 10,000 keys take less than 4 MB.
func TestMemoryOfManyKeys(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	d := NewDirectory(manyTenants(1000, 10))
	runtime.GC()
	runtime.ReadMemStats(&after)
	if used := int64(after.HeapAlloc) - int64(before.HeapAlloc); used > 4<<20 {
		t.Errorf("10,000 keys take %d bytes", used)
	}
	runtime.KeepAlive(d)
}

func BenchmarkIdentify(b *testing.B) {
	for _, keys := range []int{100, 10_000, 100_000} {
		d := NewDirectory(manyTenants(keys/10, 10))
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			for b.Loop() {
				d.Identify(Credential{Key: HashKey("3/7"), Present: true}, false)
			}
		})
	}
}
