package operator

import (
	"context"
	"errors"
	"fmt"

	"github.com/pistachiousher/pistachiousher/pkg/controls"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const controlsKey = "controls/active"

// Controls returns the active controls and the version of their object, or
// empty controls and version 0 if there are none yet.
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

// ControlsChange computes new controls from the active ones. It returns the
// same controls and false if there is nothing to change.
type ControlsChange func(*model.Controls) (*model.Controls, bool, error)

// ChangeControls applies the change to the active controls and returns the new
// controls, and false if there was nothing to change. If another operator wrote
// meanwhile, the change is applied again to the newer controls, so that neither
// update is lost and a real conflict is reported.
func (c *Client) ChangeControls(ctx context.Context, change ControlsChange) (*model.Controls, bool, error) {
	var err error
	for range maxAttempts {
		var next *model.Controls
		var changed bool
		if next, changed, err = c.changeControlsOnce(ctx, change); err == nil {
			return next, changed, nil
		}
		var other *ErrChanged
		if !errors.As(err, &other) {
			return nil, false, err
		}
	}
	return nil, false, err
}

func (c *Client) changeControlsOnce(ctx context.Context, change ControlsChange) (*model.Controls, bool, error) {
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
