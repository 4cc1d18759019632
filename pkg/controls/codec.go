// Package controls encodes the operators' take-outs and drains and changes
// them. Changes are pure functions from one version to the next.
package controls

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/pkg/strictjson"
)

// ErrInvalid is wrapped by every error about encoded controls that cannot be
// used.
var ErrInvalid = errors.New("controls: invalid")

// MaxSizeBytes is the limit in bytes of the encoded controls. It keeps to the
// platform's limit on a value.
const MaxSizeBytes = 1_000_000

type (
	encodedControls struct {
		Version  uint64           `json:"version"`
		TakeOuts []encodedTakeOut `json:"take_outs"`
		Drains   []encodedDrain   `json:"drains"`
	}
	encodedTakeOut struct {
		FailureDomain model.FailureDomain `json:"failure_domain"`
		encodedEntry
	}
	encodedDrain struct {
		Server model.ServerName `json:"server"`
		encodedEntry
	}
	// encodedEntry has its times in Unix milliseconds.
	encodedEntry struct {
		Author string `json:"author"`
		Reason string `json:"reason"`
		Since  int64  `json:"since"`
		Until  int64  `json:"until,omitempty"`
	}
)

// Encode returns the controls as JSON.
func Encode(c *model.Controls) ([]byte, error) {
	e := encodedControls{Version: c.Version, TakeOuts: []encodedTakeOut{}, Drains: []encodedDrain{}}
	for _, t := range c.TakeOuts {
		e.TakeOuts = append(e.TakeOuts, encodedTakeOut{t.FailureDomain, encodedEntry(t.ControlEntry)})
	}
	for _, d := range c.Drains {
		e.Drains = append(e.Drains, encodedDrain{d.Server, encodedEntry(d.ControlEntry)})
	}
	raw, err := json.Marshal(e)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if len(raw) > MaxSizeBytes {
		return nil, fmt.Errorf("%w: %d bytes, limit %d", ErrInvalid, len(raw), MaxSizeBytes)
	}
	return raw, nil
}

// Decode reads and checks encoded controls.
func Decode(raw []byte) (*model.Controls, error) {
	if len(raw) > MaxSizeBytes {
		return nil, fmt.Errorf("%w: %d bytes, limit %d", ErrInvalid, len(raw), MaxSizeBytes)
	}
	var e encodedControls
	if err := strictjson.Decode(raw, &e); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	c := &model.Controls{Version: e.Version}
	for _, t := range e.TakeOuts {
		c.TakeOuts = append(c.TakeOuts, model.TakeOut{FailureDomain: t.FailureDomain, ControlEntry: model.ControlEntry(t.encodedEntry)})
	}
	for _, d := range e.Drains {
		c.Drains = append(c.Drains, model.Drain{Server: d.Server, ControlEntry: model.ControlEntry(d.encodedEntry)})
	}
	if err := checkControls(c); err != nil {
		return nil, err
	}
	return c, nil
}

func checkControls(c *model.Controls) error {
	if c.Version == 0 {
		return fmt.Errorf("%w: version 0", ErrInvalid)
	}
	domains := map[model.FailureDomain]bool{}
	for _, t := range c.TakeOuts {
		if domains[t.FailureDomain] {
			return fmt.Errorf("%w: failure domain %q is listed twice", ErrInvalid, t.FailureDomain)
		}
		domains[t.FailureDomain] = true
		if err := checkEntry(string(t.FailureDomain), t.ControlEntry); err != nil {
			return err
		}
	}
	servers := map[model.ServerName]bool{}
	for _, d := range c.Drains {
		if servers[d.Server] {
			return fmt.Errorf("%w: backend server %q is listed twice", ErrInvalid, d.Server)
		}
		servers[d.Server] = true
		if err := checkEntry(string(d.Server), d.ControlEntry); err != nil {
			return err
		}
	}
	return nil
}

func checkEntry(name string, e model.ControlEntry) error {
	switch {
	case name == "":
		return fmt.Errorf("%w: an entry names no failure domain or backend server", ErrInvalid)
	case e.Author == "" || e.Reason == "":
		return fmt.Errorf("%w: the entry of %q needs an author and a reason", ErrInvalid, name)
	case e.Since <= 0:
		return fmt.Errorf("%w: the entry of %q needs the time since when it applies", ErrInvalid, name)
	case e.Until != 0 && e.Until <= e.Since:
		return fmt.Errorf("%w: the entry of %q ends before it starts", ErrInvalid, name)
	}
	return nil
}
