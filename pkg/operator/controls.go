package operator

import (
	"context"
	"errors"
	"fmt"

	"github.com/pistachiousher/pistachiousher/pkg/controls"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const controlsKey = "controls/active"

// Controls returns the active controls and the version of their object; empty
// ones of version 0 if there are none yet.
func (c *Client) Controls(ctx context.Context) (*model.Controls, uint64, error) {
	o, err := c.Get(ctx, controlsKey)
	if errors.Is(err, ErrNotFound) {
		return &model.Controls{}, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	active, err := controls.Decode(o.Value)
	if err != nil {
		return nil, 0, fmt.Errorf("operator: %s: %w", controlsKey, err)
	}
	return active, o.Version, nil
}

// ControlsChange returns the next controls, or the same ones and false if
// there is nothing to change.
type ControlsChange func(*model.Controls) (*model.Controls, bool, error)

// ChangeControls applies the change to the active controls. If another
// operator wrote meanwhile, the change is applied anew to what that operator
// wrote, so neither update is lost and a real conflict shows as such.
func (c *Client) ChangeControls(ctx context.Context, change ControlsChange) (*model.Controls, bool, error) {
	var err error
	for range maxAttempts {
		var next *model.Controls
		var changed bool
		if next, changed, err = c.changeOnce(ctx, change); err == nil {
			return next, changed, nil
		}
		var other *ErrChanged
		if !errors.As(err, &other) {
			return nil, false, err
		}
	}
	return nil, false, err
}

func (c *Client) changeOnce(ctx context.Context, change ControlsChange) (*model.Controls, bool, error) {
	active, object, err := c.Controls(ctx)
	if err != nil {
		return nil, false, err
	}
	next, changed, err := change(active)
	if err != nil || !changed {
		return next, false, err
	}
	value, err := controls.Encode(next)
	if err != nil {
		return nil, false, err
	}
	_, err = c.Write(ctx, controlsKey, value, object)
	return next, true, err
}
