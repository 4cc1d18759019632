// Package soak runs the edge daemons as processes under random faults and
// checks the promises of the docs from what callers and leafs see.
package soak

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/edge"
	"github.com/pistachiousher/pistachiousher/platform/standin"
	"github.com/pistachiousher/pistachiousher/standin/child"
	"github.com/pistachiousher/pistachiousher/standin/proxy"
)

var (
	firstSeed = flag.Uint64("seed", 1, "first seed")
	seeds     = flag.Int("seeds", 2, "number of seeds")
	length    = flag.Duration("length", 14*time.Second, "length of a soak")
	// program is the daemon.
	program string
)

const (
	daemons = 4
	clients = 8
	// mostMemory is the resident memory in bytes that a daemon may use.
	mostMemory = 60 << 20
	// backShare is the share of requests that must be served when all is calm.
	backShare = 0.95
)

func TestMain(m *testing.M) {
	flag.Parse()
	if testing.Short() {
		os.Exit(m.Run())
	}
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if program, err = child.BuildEdge(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// Guards against promises that are broken when faults overlap.
func TestSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("runs processes")
	}
	for i := range *seeds {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) { soak(t, seed) })
	}
}

func soak(t *testing.T, seed uint64) {
	s := newSite(t, daemons)
	play(t, s, seed, newPlan(seed, *length, daemons, len(s.leafs)))
}

// play plays a plan on a site and judges what callers and leafs saw.
func play(t *testing.T, s *site, seed uint64, plan []step) {
	t.Helper()
	t.Cleanup(func() {
		if t.Failed() {
			s.keepLogs(t, seed)
		}
	})
	if slices.ContainsFunc(plan, func(x step) bool { return x.kind == "store-copy" }) {
		s.store.SetEra(1)
	}
	for _, x := range plan {
		t.Log(x)
	}
	s.awaitReady(t)
	ctx, cancel := context.WithCancel(context.Background())
	c := &callers{site: s}
	var running, faults sync.WaitGroup
	for i := range clients {
		running.Go(func() { c.run(ctx, i) })
	}
	begin := time.Now()
	for _, x := range plan {
		time.Sleep(time.Until(begin.Add(x.at)))
		faults.Go(func() { s.play(x) })
	}
	faults.Wait()
	time.Sleep(time.Until(begin.Add(*length)))
	// No calmer than settle after the last fault, whose length is drawn.
	calmAt := time.Now()
	time.Sleep(settle)
	end := time.Now()
	s.checkVersions(t, end)
	s.checkMemory(t)
	cancel()
	running.Wait()
	s.judge(t, c.all, calmAt.Add(settle/2))
}

func (s *site) awaitReady(t *testing.T) {
	t.Helper()
	for _, d := range s.daemons {
		for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
			if standin.Ready(http.DefaultClient, d.ready) {
				break
			}
			if time.Now().After(end) {
				t.Fatalf("%s is not ready after 5 s", d.name)
			}
		}
	}
}

// play carries a step out and undoes it after its length.
func (s *site) play(x step) {
	switch x.kind {
	case "kill", "terminate", "pause":
		s.playDaemon(x)
	case "store-down":
		done := s.storeDisturbed()
		s.store.SetDown(true)
		time.Sleep(x.length)
		s.store.SetDown(false)
		done()
	case "store-compact":
		done := s.storeDisturbed()
		s.store.Compact()
		done()
	case "store-copy":
		s.copyStore(x.length)
	case "configure", "reshard":
		s.mu.Lock()
		layout := s.versions[len(s.versions)-1].layout
		s.mu.Unlock()
		if x.kind == "reshard" {
			layout = 1 - layout
		}
		s.configure(layout)
	case "evacuate":
		s.evacuate(leafDomains[x.target%len(leafDomains)], evacuateBound+contact+x.length)
	default:
		if strings.HasPrefix(x.kind, "link-") {
			s.playLink(x)
			return
		}
		s.playLeaf(x)
	}
}

// playLink disturbs the way to a leaf, a daemon's way to the store, or that of
// callers to a daemon.
func (s *site) playLink(x step) {
	var link *proxy.Link
	var done func()
	switch d := s.daemons[x.target%len(s.daemons)]; {
	case strings.HasPrefix(x.kind, "link-store-"):
		link, done = d.store, d.disturb(false)
	case strings.HasPrefix(x.kind, "link-caller-"):
		link, done = d.front, d.disturb(false)
	default:
		s.mu.Lock()
		id := s.leafs[x.target].ID
		link = s.links[id]
		s.mu.Unlock()
		done = s.linkDisturbed(id)
	}
	defer done()
	fault := x.kind[strings.LastIndex(x.kind, "-")+1:]
	if fault == "reset" {
		link.Reset()
		return
	}
	link.Set(linkFaults[fault])
	time.Sleep(x.length)
	link.Set(proxy.Faults{})
}

func (s *site) playDaemon(x step) {
	d := s.daemons[x.target]
	if !d.busy.TryLock() {
		return
	}
	defer d.busy.Unlock()
	done := d.disturb(x.kind == "terminate")
	defer done()
	switch x.kind {
	case "kill":
		d.signal(syscall.SIGKILL)
		d.wait()
		time.Sleep(x.length)
		d.start(s.t)
	case "terminate":
		d.signal(syscall.SIGTERM)
		kill := time.AfterFunc(stopTime+time.Second, func() {
			s.t.Errorf("%s: no end within %v of SIGTERM", d.name, stopTime+time.Second)
			d.signal(syscall.SIGKILL)
		})
		d.wait()
		kill.Stop()
		d.start(s.t)
	case "pause":
		d.signal(syscall.SIGSTOP)
		time.Sleep(x.length)
		d.signal(syscall.SIGCONT)
	}
}

func (s *site) playLeaf(x step) {
	s.mu.Lock()
	l := s.leafs[x.target]
	shard := s.shardOf[l.ID]
	_, drained := s.drainedAt[l.ID]
	s.mu.Unlock()
	b := normal(shard)
	switch x.kind {
	case "drain-leaf":
		if !drained {
			s.drainLeaf(l, shard)
		}
		return
	case "leaf-loses":
		b.Lose = true
	case "leaf-sheds":
		b.Shed = true
	case "leaf-slow":
		b.Work = 400 * time.Millisecond
	case "leaf-fails":
		b.Fail = true
	case "leaf-extra":
		b.Extra = true
	case "leaf-torn":
		b.Torn = true
	case "leaf-endless-head":
		b.Endless = standin.EndlessHead
	case "leaf-endless-body":
		b.Endless = standin.EndlessBody
	}
	l.Set(b)
	time.Sleep(x.length)
	l.Set(normal(shard))
}

// drainLeaf replaces a leaf: the new one starts first, the old one drains.
func (s *site) drainLeaf(l *standin.Leaf, shard string) {
	s.addLeaf(shard)
	s.register(l, shard, true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drainedAt[l.ID] = time.Now()
}

// evacuate evacuates a domain for a time, unless one is evacuated already.
func (s *site) evacuate(domain string, length time.Duration) {
	s.mu.Lock()
	if n := len(s.evacuations); n > 0 && s.evacuations[n-1].end.IsZero() {
		s.mu.Unlock()
		return
	}
	s.store.Put(string(edge.KindEvacuations), domain, struct{}{})
	i := len(s.evacuations)
	s.evacuations = append(s.evacuations, evacuation{domain: domain, begin: time.Now()})
	s.mu.Unlock()
	time.Sleep(length)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuations[i].end = time.Now()
	s.store.Delete(string(edge.KindEvacuations), domain)
}

func (s *site) storeDisturbed() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.storeOut)
	s.storeOut = append(s.storeOut, disturbance{begin: time.Now()})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.storeOut[i].end = time.Now()
	}
}

func (s *site) linkDisturbed(leaf string) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.linkOut[leaf])
	s.linkOut[leaf] = append(s.linkOut[leaf], disturbance{begin: time.Now()})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.linkOut[leaf][i].end = time.Now()
	}
}

// checkVersions asks each daemon, now that all is calm, for a route that only
// the newest version has.
func (s *site) checkVersions(t *testing.T, now time.Time) {
	t.Helper()
	newest := s.versions[len(s.versions)-1]
	for _, d := range s.daemons {
		if !d.calm(now, now, true) || !s.storeCalm(now, now) {
			continue
		}
		o := (&callers{site: s}).probe(d, fmt.Sprintf("/v%d/x", newest.number))
		if o.Status != http.StatusOK {
			t.Errorf("CONFIG: %s answers %d for a route of version %d, acknowledged %v ago", d.name, o.Status, newest.number, now.Sub(newest.at))
		}
	}
}

// checkMemory checks what the daemons have used at most in their last life: leafs
// that send without end must not fill it.
func (s *site) checkMemory(t *testing.T) {
	t.Helper()
	for _, d := range s.daemons {
		if peak := d.peakMemory(t); peak > mostMemory {
			t.Errorf("MEMORY: %s used %d MB", d.name, peak>>20)
		}
	}
}

// judge checks the promises.
func (s *site) judge(t *testing.T, all []outcome, calmFrom time.Time) {
	t.Helper()
	ran, requests := map[string]int{}, map[string]outcome{}
	for _, o := range all {
		requests[o.id] = o
	}
	for _, l := range s.leafs {
		for _, r := range l.Ran() {
			ran[r.RequestID]++
		}
		at, drained := s.drainedAt[l.ID]
		for _, r := range l.Arrivals() {
			o, known := requests[r.RequestID]
			if !known {
				continue
			}
			if drained && r.At.After(at.Add(applyBound)) && s.inTouch(o, l, at, r.At) {
				t.Errorf("DRAIN: %s got request %s from %s %v after it was drained", l.ID, r.RequestID, o.daemon.name, r.At.Sub(at))
			}
			for _, e := range s.evacuations {
				if e.domain == s.domainOf[l.ID] && r.At.After(e.begin.Add(evacuateBound)) && (e.end.IsZero() || r.At.Before(e.end)) && s.inTouch(o, l, e.begin, r.At) {
					t.Errorf("EVAC: %s got request %s from %s %v after its domain was evacuated", l.ID, r.RequestID, o.daemon.name, r.At.Sub(e.begin))
				}
			}
		}
	}
	calmRequests, served := 0, 0
	for _, o := range all {
		switch {
		case o.unsafe && ran[o.id] > 1:
			t.Errorf("TWICE: %s ran %d times", o.id, ran[o.id])
		case (o.Status == 503 || o.Status == 429) && ran[o.id] > 0:
			t.Errorf("REFUSED: %s was refused with %d and ran", o.id, o.Status)
		case o.Status == 200 && o.unsafe && o.RequestID != o.id:
			t.Errorf("MIXED: %s got the answer to %s", o.id, o.RequestID)
		case o.Status == 200 && !o.unsafe:
			if wrong := s.checkMerged(o); wrong != "" {
				t.Errorf("MIXED: %s: %s", o.id, wrong)
			}
		case o.Status == 0 && !o.refused && ran[o.id] > 0 && o.daemon.calm(o.begin, o.end, false):
			t.Errorf("LOST: %s ran and its connection to %s ended without an answer", o.id, o.daemon.name)
		}
		if o.begin.After(calmFrom) {
			calmRequests++
			if o.Status == 200 {
				served++
			}
		}
	}
	t.Logf("%d requests, %d of %d served when calm", len(all), served, calmRequests)
	if calmRequests == 0 || float64(served) < backShare*float64(calmRequests) {
		t.Errorf("RECOVER: %d of %d requests served when all is calm", served, calmRequests)
	}
}

// inTouch reports whether a change was acknowledged by a calm store, and the daemon that
// sent a request on, its link to the leaf and the store had been calm for the contact time
// when the request arrived.
func (s *site) inTouch(o outcome, l *standin.Leaf, acknowledged, arrived time.Time) bool {
	return s.storeCalm(acknowledged, acknowledged) && s.storeCalm(o.begin, arrived) && o.daemon.calm(o.begin, arrived, true) &&
		calm(s.linkOut[l.ID], o.begin, arrived, true)
}
