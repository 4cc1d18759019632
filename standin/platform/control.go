package platform

import (
	"encoding/json"
	"net/http"
	"time"
)

// control is the body of the control endpoints; each reads the fields it needs.
type control struct {
	On    bool  `json:"on"`
	MS    int64 `json:"ms"`
	Count int   `json:"count"`
	VMs   []VM  `json:"vms"`
	LagMS int64 `json:"lag_ms"`
}

// addControls adds the endpoints by which another process commands the
// stand-in. They are neither counted nor limited.
func (s *Server) addControls(mux *http.ServeMux) {
	command := func(name string, run func(control)) {
		mux.HandleFunc("POST /v1/control/"+name, func(w http.ResponseWriter, r *http.Request) {
			var c control
			if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
				reply(w, http.StatusBadRequest, failure{err.Error()})
				return
			}
			run(c)
			reply(w, http.StatusOK, s.Counts())
		})
	}
	command("outage", func(c control) { s.SetOutage(c.On) })
	command("delay", func(c control) { s.SetDelay(milliseconds(c.MS)) })
	command("lose_replies", func(c control) { s.LoseReplies(c.Count) })
	command("stale", func(c control) { s.SetStale(c.On) })
	command("vms", func(c control) { s.SetVMs(c.VMs, milliseconds(c.LagMS)) })
	command("reset_counts", func(control) { s.ResetCounts() })
	mux.HandleFunc("GET /v1/control/counts", func(w http.ResponseWriter, _ *http.Request) {
		reply(w, http.StatusOK, s.Counts())
	})
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
