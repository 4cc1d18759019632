package cluster

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"fmt"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/bundle"
	"github.com/pistachiousher/pistachiousher/pkg/controls"
	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/pkg/operator"
)

// signers are the operators. A bundle needs the signatures of all of them.
var signers = []string{"ana", "iva"}

// operatorKeys holds the operators' keys, which are generated for each cluster.
type operatorKeys struct {
	public  map[string]ed25519.PublicKey
	private map[string]ed25519.PrivateKey
}

func newOperatorKeys() (operatorKeys, error) {
	k := operatorKeys{public: make(map[string]ed25519.PublicKey), private: make(map[string]ed25519.PrivateKey)}
	for _, name := range signers {
		public, private, err := ed25519.GenerateKey(rand.Reader)
		if err != nil {
			return k, fmt.Errorf("cluster: operator key: %w", err)
		}
		k.public[name], k.private[name] = public, private
	}
	return k, nil
}

// RollOut starts the backend servers and publishes the shards that are new in the
// bundle, then proposes, signs and activates it. It does not wait until the daemons
// use it.
func (c *Cluster) RollOut(ctx context.Context, yaml []byte) error {
	b, err := parseBundle(yaml)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.serve(b); err != nil {
		return err
	}
	yaml = c.replaceAddresses(yaml, b)
	if b, err = parseBundle(yaml); err != nil {
		return err
	}
	if err := c.proposeAndActivate(ctx, yaml, b.Version); err != nil {
		return err
	}
	c.bundle = b
	return nil
}

// proposeAndActivate proposes, signs and activates a bundle as the operators'
// commands do. The caller holds mu.
func (c *Cluster) proposeAndActivate(ctx context.Context, yaml []byte, version uint64) error {
	e, err := bundle.NewEnvelope("bundle", yaml)
	if err != nil {
		return fmt.Errorf("cluster: %w", err)
	}
	if _, err := c.operator.Propose(ctx, e); err != nil {
		return fmt.Errorf("cluster: propose: %w", err)
	}
	for _, name := range signers {
		if _, err := c.operator.Sign(ctx, version, e.Digest, name, c.keys.private[name]); err != nil {
			return fmt.Errorf("cluster: sign as %s: %w", name, err)
		}
	}
	r := operator.RollOut{Version: version, Keys: c.keys.public, Quorum: len(c.keys.public)}
	if c.bundle != nil {
		r.Base = c.bundle.Version
	}
	if _, err := c.operator.RollOut(ctx, r); err != nil {
		return fmt.Errorf("cluster: roll out: %w", err)
	}
	return nil
}

// TakeOut takes a failure domain out of service and returns the new version of the
// controls.
func (c *Cluster) TakeOut(ctx context.Context, d model.FailureDomain) (uint64, error) {
	b := c.Bundle()
	return c.changeControls(ctx, func(now *model.Controls) (*model.Controls, bool, error) {
		return controls.TakeOut(now, b, d, maintenanceChange())
	})
}

// BringBack puts a failure domain back into service and returns the new version of
// the controls.
func (c *Cluster) BringBack(ctx context.Context, d model.FailureDomain) (uint64, error) {
	return c.changeControls(ctx, func(now *model.Controls) (*model.Controls, bool, error) {
		return controls.BringBack(now, d, maintenanceChange())
	})
}

// Drain takes a backend server out of service and returns the new version of the
// controls.
func (c *Cluster) Drain(ctx context.Context, s model.ServerName) (uint64, error) {
	b := c.Bundle()
	return c.changeControls(ctx, func(now *model.Controls) (*model.Controls, bool, error) {
		return controls.Drain(now, b, s, maintenanceChange())
	})
}

// Undrain puts a backend server back into service and returns the new version of the
// controls.
func (c *Cluster) Undrain(ctx context.Context, s model.ServerName) (uint64, error) {
	return c.changeControls(ctx, func(now *model.Controls) (*model.Controls, bool, error) {
		return controls.Undrain(now, s, maintenanceChange())
	})
}

func (c *Cluster) changeControls(ctx context.Context, change operator.ControlsChange) (uint64, error) {
	next, _, err := c.operator.ChangeControls(ctx, change)
	if err != nil {
		return 0, fmt.Errorf("cluster: %w", err)
	}
	return next.Version, nil
}

func maintenanceChange() controls.Change {
	return controls.Change{Entry: model.ControlEntry{
		Author: signers[0],
		Reason: "maintenance",
		Since:  time.Now().UnixMilli(),
	}}
}
