package processes

import (
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/bundle"
	"github.com/pistachiousher/pistachiousher/pkg/controls"
	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/pkg/operator"
	"github.com/pistachiousher/pistachiousher/standin/child"
)

// Propose proposes and signs a bundle, without activating it.
func (t *Tier) Propose(ctx context.Context, b Bundle) error {
	e, err := bundle.NewEnvelope("bundle", b.yaml(t.serverAddresses))
	if err != nil {
		return fmt.Errorf("processes: bundle: %w", err)
	}
	if _, err := t.operator.Propose(ctx, e); err != nil {
		return fmt.Errorf("processes: propose: %w", err)
	}
	if _, err := t.operator.Sign(ctx, b.Version, e.Digest, Signer, t.privateKey); err != nil {
		return fmt.Errorf("processes: sign: %w", err)
	}
	return nil
}

// RollOut proposes, signs and activates a bundle. base is the active version
// that it replaces.
func (t *Tier) RollOut(ctx context.Context, b Bundle, base uint64) error {
	if err := t.Propose(ctx, b); err != nil {
		return err
	}
	return t.Activate(ctx, b.Version, base)
}

// Activate activates a signed proposal. base is the active version that it
// replaces.
func (t *Tier) Activate(ctx context.Context, version, base uint64) error {
	r := operator.RollOut{Version: version, Base: base, Keys: map[string]ed25519.PublicKey{Signer: t.publicKey}, Quorum: 1}
	if _, err := t.operator.RollOut(ctx, r); err != nil {
		return fmt.Errorf("processes: roll out: %w", err)
	}
	return nil
}

// ActiveBundle returns the version of the active bundle on the platform.
func (t *Tier) ActiveBundle(ctx context.Context) (uint64, error) {
	b, err := t.operator.ActiveBundle(ctx)
	if err != nil {
		return 0, err
	}
	return b.Version, nil
}

// TakeOut takes a failure domain out of service.
func (t *Tier) TakeOut(ctx context.Context, d model.FailureDomain) error {
	b, err := t.operator.ActiveBundle(ctx)
	if err != nil {
		return err
	}
	return t.changeControls(ctx, func(now *model.Controls) (*model.Controls, bool, error) {
		return controls.TakeOut(now, b, d, maintenanceChange())
	})
}

// BringBack puts a failure domain back into service.
func (t *Tier) BringBack(ctx context.Context, d model.FailureDomain) error {
	return t.changeControls(ctx, func(now *model.Controls) (*model.Controls, bool, error) {
		return controls.BringBack(now, d, maintenanceChange())
	})
}

func (t *Tier) changeControls(ctx context.Context, change operator.ControlsChange) error {
	if _, _, err := t.operator.ChangeControls(ctx, change); err != nil {
		return fmt.Errorf("processes: controls: %w", err)
	}
	return nil
}

func maintenanceChange() controls.Change {
	return controls.Change{Entry: model.ControlEntry{Author: Signer, Reason: "maintenance", Since: time.Now().UnixMilli()}}
}

// Command runs the operators' program pistachiousher and returns its exit code
// and combined output.
func (t *Tier) Command(ctx context.Context, args ...string) (int, string, error) {
	out, err := exec.CommandContext(ctx, t.programPath("pistachiousher"), args...).CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return exit.ExitCode(), string(out), nil
	}
	if err != nil {
		return 0, "", fmt.Errorf("%w: %w", child.ErrProcess, err)
	}
	return 0, string(out), nil
}

// Platform returns the address of the platform.
func (t *Tier) Platform() string { return t.platformAddress }

// LogTail returns up to the given number of last bytes of every log file, to
// explain a failure.
func (t *Tier) LogTail(bytes int) string {
	files, err := filepath.Glob(filepath.Join(t.options.Dir, "*.log"))
	if err != nil {
		return err.Error()
	}
	text := ""
	for _, f := range files {
		raw, err := os.ReadFile(f)
		if err != nil {
			continue
		}
		text += filepath.Base(f) + ":\n" + string(raw[max(0, len(raw)-bytes):]) + "\n"
	}
	return text
}
