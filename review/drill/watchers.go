package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/platform/standin"
)

const host = "parish.example"

// routesOf returns a configuration with a route for each path prefix, each to a service.
func routesOf(version uint64, services map[string]string) *gateway.Config {
	c := &gateway.Config{
		Version: version, Services: map[string]gateway.ServiceConfig{},
		Limits: gateway.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
	}
	for prefix, service := range services {
		c.Routes = append(c.Routes, &gateway.Route{
			Name: "r-" + strings.Trim(prefix, "/"), Host: host, PathPrefix: prefix, Idempotent: true, Timeout: 4 * time.Second,
			LatencyTarget: 1200 * time.Millisecond, Priority: 2, MaxAttempts: 2, Targets: []gateway.Target{{Service: service, Weight: 1}},
		})
		c.Services[service] = gateway.ServiceConfig{MaxConnections: 550}
	}
	return c
}

// watchersLeave removes machines in a planned way, with SIGTERM, and changes the
// configuration after they have left. Rule CONFIG: machines in touch handle requests that are
// sent later than configApplyMs after the acknowledgement as the new version says.
func watchersLeave(s *stage) error {
	s.addServices()
	s.store.PutConfig(routesOf(1, map[string]string{"/stays/": "one", "/dropped/": "one", "/moved/": "one"}))
	s.addMachines()
	if err := s.startAll(14 * time.Second); err != nil {
		return err
	}
	others, err := s.removeWatchers()
	if err != nil {
		return err
	}
	s.store.PutConfig(routesOf(2, map[string]string{"/stays/": "one", "/moved/": "two", "/added/": "two"}))
	acknowledged := time.Now()
	s.note("version 2 is acknowledged: /dropped/ is gone, /moved/ goes to service two, /added/ is new")
	time.Sleep(configApply + 200*time.Millisecond)
	for round := 0; round < 14; round++ {
		behind := 0
		for i, d := range others {
			if !d.running() {
				return fmt.Errorf("%s has ended by itself", d.name)
			}
			before := s.broken
			s.checkNewVersion(d, fmt.Sprintf("after-%d-%d", round, i), acknowledged)
			if s.broken > before {
				behind++
			}
		}
		s.note("%d of %d machines in touch behind, %.1f s after the acknowledgement", behind, len(others), time.Since(acknowledged).Seconds())
		if behind == 0 {
			return nil
		}
		time.Sleep(time.Second)
	}
	return nil
}

// checkNewVersion asks a daemon on each route that version 2 has changed.
func (s *stage) checkNewVersion(d *daemon, id string, acknowledged time.Time) {
	late := func(sentAt time.Time) string {
		return fmt.Sprintf("%d ms after the acknowledgement, by %s", sentAt.Sub(acknowledged).Milliseconds(), d.name)
	}
	if code, at := s.ask(d, "GET", host, "/added/x", id+"-added", 2*time.Second); code == 404 {
		s.breaks("CONFIG: 404 on a route that version 2 has, request sent %s", late(at))
	}
	if _, at := s.ask(d, "GET", host, "/dropped/x", id+"-dropped", 2*time.Second); s.ranAt("one", id+"-dropped") {
		s.breaks("CONFIG: run with a dropped route, request sent %s", late(at))
	}
	if _, at := s.ask(d, "GET", host, "/moved/x", id+"-moved", 2*time.Second); s.ranAt("one", id+"-moved") {
		s.breaks("CONFIG: run by the old service, request sent %s", late(at))
	}
}

// ranAt reports whether a leaf of a service ran the request.
func (s *stage) ranAt(service, id string) bool {
	for name, l := range s.leafs {
		if !strings.HasPrefix(name, "i-"+service+"-") {
			continue
		}
		for _, run := range l.Ran() {
			if run.RequestID == id {
				return true
			}
		}
	}
	return false
}

// zones are the failure domains of the site.
var zones = []string{"bp-del", "bp-eszak", "pm-kelet"}

// addServices starts two services with a leaf in each zone.
func (s *stage) addServices() {
	for _, service := range []string{"one", "two"} {
		for _, zone := range zones {
			s.addLeaf("i-"+service+"-"+zone, service, zone, standin.Behavior{Work: 20 * time.Millisecond, Body: []byte("answer of " + service)})
		}
	}
}

// addMachines adds five machines in each zone, with the names and sizes of the site: the first
// two of a zone are large.
func (s *stage) addMachines() {
	for n := 1; n <= 5; n++ {
		for _, zone := range zones {
			cores, memory, descriptors := 0.8, 536, 8192
			if n > 2 {
				cores, memory, descriptors = 0.192, 184, 4100
			}
			s.addDaemon(fmt.Sprintf("edge-%s-%d", zone, n), zone, cores, memory, descriptors)
		}
	}
}

// removeWatchers removes the machines that watch the store, in a planned way, and returns the
// others half a second after the last of them has ended.
func (s *stage) removeWatchers() ([]*daemon, error) {
	var watchers, others []*daemon
	for _, d := range s.daemons {
		st, err := s.status(d)
		if err != nil {
			return nil, err
		}
		if st.Status.Watcher {
			watchers = append(watchers, d)
			s.note("%s (%s, %g cores) watches the store", d.name, d.zone, d.cores)
		} else {
			others = append(others, d)
		}
	}
	for i, d := range others {
		if code, _ := s.ask(d, "GET", host, "/stays/x", fmt.Sprintf("before-%d", i), 2*time.Second); code != 200 {
			return nil, fmt.Errorf("%s answered %d before the trouble", d.name, code)
		}
	}
	if s.trouble {
		for _, d := range watchers {
			s.note("SIGTERM for %s, which is removed", d.name)
			_ = d.cmd.Process.Signal(syscall.SIGTERM)
		}
		for _, d := range watchers {
			select {
			case <-d.exited:
				s.note("%s has ended", d.name)
			case <-time.After(grace):
				s.note("SIGKILL for %s", d.name)
				_ = d.cmd.Process.Kill()
			}
		}
	} else {
		time.Sleep(grace)
	}
	time.Sleep(500 * time.Millisecond)
	return others, nil
}
