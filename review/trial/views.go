package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"github.com/pistachiousher/pistachiousher/review/site"
)

// archive is the work of most cases: patient fetches of scanned ledgers, some of which
// may be repeated.
var archive = []site.Path{
	{Method: http.MethodGet, Path: "/fetch/ledger", Safe: true, Deadline: 8 * time.Second},
	{Method: http.MethodPost, Path: "/order/ledger", Safe: false, Deadline: 8 * time.Second},
}

func archiveConfig(version int) map[string]any {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": "parish.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": 8000,
			"targetLatencyMs": 800, "priority": 2, "backend": "arhiv", "maxAttempts": 2,
		}
	}
	return map[string]any{
		"version": version,
		"routes":  []any{route("fetch", "/fetch/", "safe"), route("order", "/order/", "unsafe")},
		"backends": []any{map[string]any{
			"name": "arhiv", "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false, "warmupS": 3.0, "warmupPerS": 0.0,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// startArchive starts the daemons, perZone leafs in each zone, and traffic.
func startArchive(s *site.Site, perZone int) (map[string][]*site.Leaf, error) {
	s.Store.Put("config", "main", archiveConfig(7))
	leafs := map[string][]*site.Leaf{}
	for _, zone := range site.Zones {
		for range perZone {
			leafs[zone] = append(leafs[zone], startLeaf(s, zone))
		}
	}
	if err := s.StartDaemons(); err != nil {
		return nil, err
	}
	s.StartTraffic(site.Traffic{Paths: archive, PerSecond: 60, Clients: 8, Seed: uint64(os.Getpid())})
	time.Sleep(site.ContactTime + time.Second)
	return leafs, nil
}

var leafNumber int

func newLeaf(zone string) *site.Leaf {
	leafNumber++
	return &site.Leaf{ID: fmt.Sprintf("i-%s-%02d", zone, leafNumber), Service: "arhiv", Zone: zone, Slots: 6, Queue: 24, Work: 60 * time.Millisecond}
}

func startLeaf(s *site.Site, zone string) *site.Leaf { return s.StartLeaf(newLeaf(zone)) }

// startColdLeaf starts a leaf during traffic and returns when its entry says that it is
// warm.
func startColdLeaf(s *site.Site, zone string) time.Time {
	return s.StartColdLeaf(newLeaf(zone), 3*time.Second)
}

// countRuns notes and counts the runs at leafs in a span of time that were sent by
// daemons in touch.
func countRuns(s *site.Site, what string, from, to time.Time, at func(leaf string) bool) int {
	n := 0
	for _, q := range s.Record.Requests() {
		for _, run := range q.Runs {
			d := s.Daemon(q.Daemon)
			if !at(run.Leaf) || run.At.Before(from) || !run.At.Before(to) || d == nil || !d.InTouch(q.SentAt) {
				continue
			}
			if n++; n <= 5 {
				s.Record.Printf("%s: %s runs request %s at %.3f, sent to %s at %.3f", what, run.Leaf, q.ID, s.Record.Since(run.At), q.Daemon, s.Record.Since(q.SentAt))
			}
		}
	}
	if n > 0 {
		s.Record.Printf("%s: %d requests", what, n)
	}
	return n
}

// countLost ends a leaf, as it may long after drainMs, and notes the requests that it was
// working on and that must not be repeated.
func countLost(s *site.Site, l *site.Leaf) {
	end := time.Now()
	l.Stop()
	time.Sleep(300 * time.Millisecond)
	for _, q := range s.Record.Requests() {
		for _, run := range q.Runs {
			if run.Leaf == l.ID && run.At.Add(l.Work).After(end) && !q.Safe && q.Status != http.StatusOK {
				s.Record.Printf("lost with the leaf: request %s, which must not be repeated, sent to %s at %.3f, run at %.3f, answered %d", q.ID, q.Daemon, s.Record.Since(q.SentAt), s.Record.Since(run.At), q.Status)
			}
		}
	}
}

// enoughServed makes sure that a case says something: most requests are answered.
func enoughServed(s *site.Site) error {
	served, all := 0, 0
	for _, q := range s.Record.Requests() {
		all++
		if q.Status == http.StatusOK {
			served++
		}
	}
	s.Record.Printf("%d of %d requests served", served, all)
	if all < 100 || served < all/2 {
		return fmt.Errorf("%w: %d of %d requests served", site.ErrSetup, served, all)
	}
	return nil
}

// staleAges are the ages of the copies from which the store answers calls with staleOk:
// one is current, one 3 s behind.
var staleAges = []time.Duration{0, 3 * time.Second}

// killAndRestart kills daemons at the same moment and starts them again.
func killAndRestart(s *site.Site, daemons []*site.Daemon, down time.Duration) error {
	for _, d := range daemons {
		s.Record.Printf("%s is killed", d.Name)
		d.Kill()
	}
	time.Sleep(down)
	for _, d := range daemons {
		if err := d.Start(); err != nil {
			return err
		}
	}
	return nil
}

// evacuationAfterRestart: a zone is evacuated; a second later some daemons are killed
// and start again. After that nothing changes until the evacuation is taken back.
func evacuationAfterRestart(s *site.Site, trouble bool) (int, error) {
	s.Store.StaleAges = staleAges
	leafs, err := startArchive(s, 3)
	if err != nil {
		return 0, err
	}
	const zone = "osijek-b"
	evacuated := map[string]bool{}
	for _, l := range leafs[zone] {
		evacuated[l.ID] = true
	}
	broken := 0
	for round := 1; round <= 8 && broken == 0; round++ {
		// Other work goes on: a leaf starts in another zone and is warm, as its entry
		// then says, shortly after the evacuation was written.
		warmAt := startColdLeaf(s, "osijek-a")
		time.Sleep(time.Until(warmAt.Add(-300 * time.Millisecond)))
		acknowledged := s.Store.Put("evacuations", zone, map[string]any{})
		time.Sleep(time.Second)
		if trouble {
			var killed []*site.Daemon
			for _, i := range rand.Perm(len(s.Daemons))[:4] {
				killed = append(killed, s.Daemons[i])
			}
			if err := killAndRestart(s, killed, 300*time.Millisecond); err != nil {
				return 0, err
			}
		}
		time.Sleep(time.Until(acknowledged.Add(8500 * time.Millisecond)))
		end := time.Now()
		broken += countRuns(s, "sent to an evacuated zone", acknowledged.Add(site.EvacuateBound), end, func(leaf string) bool { return evacuated[leaf] })
		s.Store.Delete("evacuations", zone)
	}
	return broken, enoughServed(s)
}

// drainBesideEvacuation: leafs are taken away one after the other; each reports
// draining when the one before has left. The operator evacuates a zone meanwhile.
func drainBesideEvacuation(s *site.Site, trouble bool) (int, error) {
	leafs, err := startArchive(s, 8)
	if err != nil {
		return 0, err
	}
	leaving := append(append([]*site.Leaf(nil), leafs["osijek-a"][1:]...), leafs["osijek-b"][1:]...)
	broken := 0
	previous := leaving[0]
	previous.Register("draining")
	time.Sleep(site.DrainBound + time.Second)
	for round := 1; round < len(leaving) && round <= 11 && broken == 0; round++ {
		l := leaving[round]
		previous.Stop()
		s.Store.Delete("servers", previous.ID)
		time.Sleep(time.Duration(rand.Float64() * float64(80*time.Millisecond)))
		drained := l.Register("draining")
		if trouble {
			// At any moment of the next half second.
			time.Sleep(time.Duration(rand.Float64() * float64(500*time.Millisecond)))
			s.Store.Put("evacuations", "vukovar", map[string]any{})
		}
		// The leaf serves for drainMs and many seconds longer, then it ends.
		time.Sleep(time.Until(drained.Add(site.DrainBound + 4*time.Second)))
		end := time.Now()
		broken += countRuns(s, "sent to a draining leaf", drained.Add(site.DrainBound), end, func(leaf string) bool { return leaf == l.ID })
		if trouble {
			if broken > 0 {
				countLost(s, l)
			}
			s.Store.Delete("evacuations", "vukovar")
			time.Sleep(time.Second)
		}
		previous = l
	}
	return broken, enoughServed(s)
}

// drainWhileTurnedAway: the store turns three of the eight daemons away, those that have
// read its list of leafs last. Within a second the entry of a leaf is removed that never
// reports draining. The leaf serves on for many seconds.
func drainWhileTurnedAway(s *site.Site, trouble bool) (int, error) {
	leafs, err := startArchive(s, 6)
	if err != nil {
		return 0, err
	}
	leaving := append(append([]*site.Leaf(nil), leafs["osijek-a"][1:]...), leafs["osijek-b"][1:]...)
	const outage = 6 * time.Second
	broken := 0
	for round := 0; round < 9 && broken == 0; round++ {
		l := leaving[round]
		begun := time.Now()
		if trouble {
			names := s.Store.LastReaders(3)
			s.Record.Printf("the store turns away %v", names)
			for _, name := range names {
				s.Daemon(name).TurnedAwayUntil = begun.Add(outage)
			}
			s.Store.TurnAway(names)
		}
		time.Sleep(time.Duration(rand.Float64() * float64(time.Second)))
		removed := s.Store.Delete("servers", l.ID)
		time.Sleep(time.Until(begun.Add(outage)))
		if trouble {
			s.Store.TurnAway(nil)
			s.Record.Printf("the store serves all again")
		}
		broken += countRuns(s, "sent to a leaf that is gone", removed.Add(site.DrainBound), time.Now(), func(leaf string) bool { return leaf == l.ID })
		l.Stop()
		time.Sleep(site.ContactTime + 500*time.Millisecond)
	}
	return broken, enoughServed(s)
}
