// Package settings reads the settings file of a daemon. Settings hold only
// what differs between VMs or must not come from the platform; everything else
// is in the bundle.
package settings

import (
	"crypto/ed25519"
	"errors"
	"fmt"
	"os"

	"github.com/apex/log"

	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/pkg/yamldoc"
)

// ErrInvalid is wrapped by the error of Parse for settings that break rules;
// errors.As finds the *yamldoc.Error that lists the faults.
var ErrInvalid = errors.New("settings: invalid")

// maxFileBytes is the limit of a settings file in bytes.
const maxFileBytes = 1_000_000

// Defaults of the optional keys.
const (
	// DefaultCallsPerSecond keeps 560 daemons below the two thousand reads a
	// second that the platform serves.
	DefaultCallsPerSecond = 3.0
	DefaultLogLevel       = log.InfoLevel
)

// Settings of a daemon.
type Settings struct {
	VM            model.VM
	Region        string
	FailureDomain model.FailureDomain
	Listen        Listen
	Advertise     Advertise
	Platform      Platform
	// Seeds are peer addresses of some other daemons. From these the daemon
	// learns of all others while the platform is unavailable.
	Seeds     []string
	Operators Operators
	Log       Log
	Trace     Trace
}

// Listen holds the ip:port addresses that the daemon listens at.
type Listen struct{ Caller, Peer, Admin string }

// Advertise holds the ip:port addresses at which others reach the daemon; by
// default those of Listen.
type Advertise struct{ Caller, Peer string }

// Platform says how the daemon uses the platform.
type Platform struct {
	// Addresses are ip:port; there is at least one.
	Addresses []string
	// CallsPerSecond is the daemon's budget; a pending watch counts as one
	// call.
	CallsPerSecond float64
}

// Operators says whose signatures a bundle needs.
type Operators struct {
	// Quorum is the number of distinct operators who must have signed; at
	// least 1.
	Quorum int
	Keys   map[string]ed25519.PublicKey
}

// Log says what is logged and where.
type Log struct {
	Level log.Level
	// File is empty for standard error.
	File string
}

// Trace says where the event stream is recorded.
type Trace struct {
	// File is empty for no recording.
	File string
}

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, data)
}

// Parse reads and checks settings. The name appears in the faults.
func Parse(name string, data []byte) (*Settings, error) {
	doc, root := yamldoc.Parse(name, data, maxFileBytes)
	s := readSettings(root)
	if err := doc.Err(); err != nil {
		return nil, fmt.Errorf("%w:\n%w", ErrInvalid, err)
	}
	return s, nil
}
