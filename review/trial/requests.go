package main

import (
	"net/http"
	"os"
	"time"

	"github.com/pistachiousher/pistachiousher/review/site"
)

// doubleSlash: a route has the prefix "/", and clients send paths that begin with one
// slash or, with trouble, with two.
func doubleSlash(s *site.Site, trouble bool) (int, error) {
	config := archiveConfig(7)
	config["routes"] = []any{map[string]any{
		"name": "all", "host": "parish.example", "pathPrefix": "/", "kind": "safe", "timeoutMs": 8000,
		"targetLatencyMs": 800, "priority": 2, "backend": "arhiv", "maxAttempts": 2,
	}}
	s.Store.Put("config", "main", config)
	for _, zone := range site.Zones {
		startLeaf(s, zone)
	}
	if err := s.StartDaemons(); err != nil {
		return 0, err
	}
	paths := []site.Path{{Method: http.MethodGet, Path: "/ledger/2f?page=3", Safe: true, Deadline: 8 * time.Second}}
	if trouble {
		paths = append(paths, site.Path{Method: http.MethodGet, Path: "//ledger/2f?page=3", Safe: true, Deadline: 8 * time.Second})
	}
	s.StartTraffic(site.Traffic{Paths: paths, PerSecond: 40, Clients: 4, Seed: uint64(os.Getpid())})
	time.Sleep(10 * time.Second)
	broken := 0
	for _, q := range s.Record.Requests() {
		for _, run := range q.Runs {
			if run.Target == q.Path && run.Method == q.Method {
				continue
			}
			if broken++; broken <= 5 {
				s.Record.Printf("%s runs request %s as %s %s; the client sent %s %s", run.Leaf, q.ID, run.Method, run.Target, q.Method, q.Path)
			}
		}
	}
	return broken, enoughServed(s)
}
