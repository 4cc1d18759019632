package main

import (
	"context"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/pistachiousher/pistachiousher/platform/standin"
)

// maxNamings is the number of answers of the directory that may name a machine that is long
// off.
const maxNamings = 3

// goneMachines removes three machines without notice. More than contactMs + 3 s later a large
// machine is stopped, so that callers need others. Rule DRAIN: no more than three answers of
// the directory, by machines in touch, name a machine that ended that long ago.
func goneMachines(s *stage) error {
	s.addServices()
	s.store.PutConfig(routesOf(1, map[string]string{"/stays/": "one", "/moved/": "two"}))
	s.addMachines()
	if err := s.startAll(14 * time.Second); err != nil {
		return err
	}
	gone, others := s.daemons[:0:0], s.daemons[:0:0]
	var large *daemon
	for _, d := range s.daemons {
		switch {
		case slices.Contains([]string{"edge-bp-del-4", "edge-bp-eszak-5", "edge-pm-kelet-5"}, d.name):
			gone = append(gone, d)
		case d.name == "edge-bp-del-1":
			large = d
		default:
			others = append(others, d)
		}
	}
	s.resolve(others)
	if s.trouble {
		for _, d := range gone {
			s.note("SIGKILL for %s, which is removed", d.name)
			_ = d.cmd.Process.Kill()
			<-d.exited
		}
	}
	ended := time.Now()
	time.Sleep(contact + 4*time.Second)
	if s.trouble {
		s.note("SIGTERM for %s, a planned stop", large.name)
		_ = large.cmd.Process.Signal(syscall.SIGTERM)
	}
	namings := 0
	for time.Since(ended) < 25*time.Second {
		at := time.Now()
		for name, addresses := range s.resolve(others) {
			for _, d := range gone {
				if s.trouble && slices.Contains(addresses, s.caller(d)) && at.Sub(ended) > contact+3*time.Second {
					namings++
					s.note("%s names %s, which ended %.1f s before", name, d.name, at.Sub(ended).Seconds())
				}
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	s.note("%d answers named a machine that had ended over %v before, %d are allowed", namings, contact+3*time.Second, maxNamings)
	if namings > maxNamings {
		s.breaks("DRAIN: %d answers of the directory", namings)
	}
	return nil
}

// resolve asks the directory of each daemon. An answer without addresses is left out.
func (s *stage) resolve(daemons []*daemon) map[string][]string {
	out := map[string][]string{}
	c := &standin.Caller{Host: host, Region: "kozep-mo", Client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	for _, d := range daemons {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		if addresses := c.Resolve(ctx, s.directory(d)); len(addresses) > 0 {
			out[d.name] = addresses
		}
		cancel()
	}
	if len(daemons) > 0 {
		s.note("directory of %s: %d addresses; %d of %d daemons answered", daemons[0].name, len(out[daemons[0].name]), len(out), len(daemons))
	}
	return out
}
