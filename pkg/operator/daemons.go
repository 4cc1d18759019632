package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// statusTimeout bounds one status request to a daemon.
	statusTimeout = time.Second
	// statusInterval is the pause between two rounds of status requests.
	statusInterval = 250 * time.Millisecond
	maxStatusBytes = 1 << 20
)

// DaemonStatus is the reply of a daemon's admin address at /statusz.
type DaemonStatus struct {
	VM              model.VM `json:"vm"`
	BundleVersion   uint64   `json:"bundle_version"`
	ControlsVersion uint64   `json:"controls_version"`
	Serving         bool     `json:"serving"`
	// Reason says why the daemon does not serve.
	Reason string `json:"reason,omitempty"`
	Epoch  uint64 `json:"epoch"`
}

// State says whether a version is in force at a daemon.
type State string

// States of a daemon with respect to a version.
const (
	// InForce means that the daemon uses the version or a later one.
	InForce State = "in_force"
	// StoppedServing means that the daemon accepts no new work until it is up
	// to date.
	StoppedServing State = "stopped_serving"
	// Behind means that the daemon serves with an earlier version.
	Behind State = "behind"
	// Unknown means that the daemon did not answer.
	Unknown State = "unknown"
)

// DaemonState is the state of one daemon with respect to a version.
type DaemonState struct {
	// Address is the daemon's admin address.
	Address string       `json:"address"`
	State   State        `json:"state"`
	Status  DaemonStatus `json:"status"`
	// Problem says why the daemon is Unknown.
	Problem string `json:"problem,omitempty"`
}

// Settled reports whether the daemon is known not to serve with an earlier
// version.
func (s DaemonState) Settled() bool { return s.State == InForce || s.State == StoppedServing }

// VersionOf selects the version to compare from a status.
type VersionOf func(DaemonStatus) uint64

// BundleVersion selects the version of the bundle.
func BundleVersion(s DaemonStatus) uint64 { return s.BundleVersion }

// ControlsVersion selects the version of the controls.
func ControlsVersion(s DaemonStatus) uint64 { return s.ControlsVersion }

// AskDaemons asks each daemon once whether the version is in force. The states
// are in the order of the addresses.
func AskDaemons(ctx context.Context, addresses []string, of VersionOf, version uint64) []DaemonState {
	states := make([]DaemonState, len(addresses))
	var wg sync.WaitGroup
	for i, address := range addresses {
		wg.Go(func() { states[i] = askDaemon(ctx, address, of, version) })
	}
	wg.Wait()
	return states
}

// WaitForDaemons asks repeatedly until every daemon is settled or the context
// ends, and returns the latest states. It calls progress after each round.
func WaitForDaemons(ctx context.Context, addresses []string, of VersionOf, version uint64, progress func([]DaemonState)) []DaemonState {
	for {
		states := AskDaemons(context.WithoutCancel(ctx), addresses, of, version)
		progress(states)
		if allSettled(states) || !pause(ctx, statusInterval) {
			return states
		}
	}
}

func allSettled(states []DaemonState) bool {
	for _, s := range states {
		if !s.Settled() {
			return false
		}
	}
	return true
}

func askDaemon(ctx context.Context, address string, of VersionOf, version uint64) DaemonState {
	s := DaemonState{Address: address, State: Unknown}
	status, err := fetchStatus(ctx, address)
	if err != nil {
		s.Problem = err.Error()
		return s
	}
	s.Status = status
	s.State = stateOf(status, of(status) >= version)
	return s
}

func stateOf(s DaemonStatus, upToDate bool) State {
	switch {
	case s.BundleVersion == 0 && !s.Serving:
		// A daemon without a bundle has nothing in force.
		return StoppedServing
	case upToDate:
		return InForce
	case !s.Serving:
		return StoppedServing
	}
	return Behind
}

func fetchStatus(ctx context.Context, address string) (DaemonStatus, error) {
	var s DaemonStatus
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/statusz", nil)
	if err != nil {
		return s, fmt.Errorf("operator: daemon %s: %w", address, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return s, fmt.Errorf("operator: daemon %s: %w", address, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, fmt.Errorf("operator: daemon %s: status %d", address, resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(&s); err != nil {
		return s, fmt.Errorf("operator: daemon %s: %w", address, err)
	}
	return s, nil
}
