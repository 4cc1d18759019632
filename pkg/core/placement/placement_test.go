package placement

import (
	"fmt"
	"slices"
	"testing"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// members returns VMs v0, v1, … spread over the domains a, b, c.
func members(n int) []model.Member {
	ms := make([]model.Member, n)
	for i := range ms {
		ms[i].VM = model.VM(fmt.Sprintf("v%d", i))
		ms[i].Incarnation = model.Incarnation(i + 1)
		ms[i].FailureDomain = model.FailureDomain("abc"[i%3 : i%3+1])
	}
	return ms
}

// Guards against an order of owners that depends on the order of the member list, so
// that two daemons compute different owners.
func TestOwnersIgnoreMemberOrder(t *testing.T) {
	ms := members(9)
	reversed := slices.Clone(ms)
	slices.Reverse(reversed)
	for i := range 50 {
		server := model.ServerName(fmt.Sprintf("s%d", i))
		a, b := Owners(server, "b", ms), Owners(server, "b", reversed)
		for j := range a {
			if ms[a[j]].VM != reversed[b[j]].VM {
				t.Fatalf("%s: owner %d is %s or %s, depending on the order of members", server, j, ms[a[j]].VM, reversed[b[j]].VM)
			}
		}
		for j, m := range a[:3] {
			if ms[m].FailureDomain != "b" {
				t.Fatalf("%s: owner %d is in domain %s, want b", server, j, ms[m].FailureDomain)
			}
		}
	}
}

// Guards against a membership change that moves servers away from daemons that stay,
// and against an uneven distribution.
func TestOwnersMoveOnlyFromTheLostMember(t *testing.T) {
	const servers = 600
	ms := members(9)
	counts := make(map[model.VM]int)
	for i := range servers {
		server := model.ServerName(fmt.Sprintf("s%d", i))
		domain := model.FailureDomain("abc"[i%3 : i%3+1])
		before := ms[Owners(server, domain, ms)[0]].VM
		counts[before]++
		after := ms[1:][Owners(server, domain, ms[1:])[0]].VM
		if before != ms[0].VM && before != after {
			t.Fatalf("%s moved from %s to %s", server, before, after)
		}
	}
	for vm, n := range counts {
		if n < servers/9/2 || n > servers/9*2 {
			t.Errorf("%s owns %d of %d servers", vm, n, servers)
		}
	}
}

func bundle(shards int) *model.Bundle {
	b := &model.Bundle{}
	layout := model.Layout{Name: "l"}
	for i := range shards {
		sh := model.Shard{Name: model.ShardName(fmt.Sprint(i))}
		for r := range 2 {
			name := model.ServerName(fmt.Sprintf("s%d-%d", i, r))
			sh.Replicas = append(sh.Replicas, name)
			b.Servers = append(b.Servers, model.BackendServer{Name: name, FailureDomain: "a"})
		}
		layout.Shards = append(layout.Shards, sh)
	}
	b.Services = []model.Service{{Name: "x", Layouts: []model.Layout{layout}}}
	b.Index()
	return b
}

// Guards against the loss of one VM that is the owner of all replicas of a shard.
func TestReplicasOfAShardHaveDifferentFirstOwners(t *testing.T) {
	for _, n := range []int{2, 4, 8} { // Of 2 and 4 members, 1 and 2 are in domain a.
		table := NewTable(bundle(100), members(n))
		for i := range 100 {
			a := table.Owners(model.ServerName(fmt.Sprintf("s%d-0", i)))
			b := table.Owners(model.ServerName(fmt.Sprintf("s%d-1", i)))
			if n > 3 && a[0].VM == b[0].VM {
				t.Errorf("%d members, shard %d: both replicas at %s", n, i, a[0].VM)
			}
			if b[0].FailureDomain != "a" || len(b) != n {
				t.Errorf("%d members, shard %d: order %v", n, i, b)
			}
		}
	}
	if NewTable(bundle(1), nil).Owners("s0-0") != nil {
		t.Error("a table without members has owners")
	}
}

// Guards against panels that lose their majority with a single failure domain although
// another choice of members would keep it.
func TestPanelSurvivesTheLossOfADomain(t *testing.T) {
	sizes := map[int]int{0: 0, 1: 1, 2: 1, 3: 3, 4: 3, 5: 5, 6: 6, 7: 7, 8: 7, 30: 7}
	for n, want := range sizes {
		ms := members(n)
		panel := Panel(ms, listed(ms), nil, 7)
		if len(panel) != want {
			t.Errorf("%d members: panel of %d, want %d", n, len(panel), want)
		}
		perDomain := make(map[model.FailureDomain]int)
		for _, r := range panel {
			i := slices.IndexFunc(ms, func(m model.Member) bool { return m.MemberRef == r })
			perDomain[ms[i].FailureDomain]++
		}
		for d, k := range perDomain {
			if n > 2 && len(panel)-k <= len(panel)/2 {
				t.Errorf("%d members: domain %s has %d of %d", n, d, k, len(panel))
			}
		}
	}
}

func listed(ms []model.Member) map[model.VM]bool {
	l := make(map[model.VM]bool)
	for _, m := range ms {
		l[m.VM] = true
	}
	return l
}

// Guards against needless replacement of panel members, whose promises are lost with
// them, and against members that are not listed, are leaving or have restarted.
func TestPanelKeepsEarlierMembers(t *testing.T) {
	ms := members(12)
	earlier := []model.MemberRef{ms[9].MemberRef, ms[4].MemberRef, ms[11].MemberRef, ms[0].MemberRef, ms[1].MemberRef, ms[2].MemberRef, ms[3].MemberRef}
	if got := Panel(ms, listed(ms), earlier, 7); !slices.Equal(got, earlier) {
		t.Fatalf("panel %v, want the earlier %v", got, earlier)
	}
	list := listed(ms)
	delete(list, ms[9].VM)
	ms[4].Leaving = true
	ms[11].Incarnation = 99
	got := Panel(ms, list, earlier, 7)
	if !slices.Equal(got[:4], earlier[3:]) || len(got) != 7 {
		t.Errorf("panel %v does not begin with %v", got, earlier[3:])
	}
	for _, gone := range earlier[:3] {
		if slices.Contains(got, gone) {
			t.Errorf("panel still has %v", gone)
		}
	}
}

// BenchmarkTable computes a table of the size that one region is designed for.
func BenchmarkTable(b *testing.B) {
	bu, ms := bundle(1150), members(187)
	b.ReportAllocs()
	for b.Loop() {
		NewTable(bu, ms)
	}
}
