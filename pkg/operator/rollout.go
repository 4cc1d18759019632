package operator

import (
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"

	"github.com/pistachiousher/pistachiousher/pkg/bundle"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// RollOut describes the roll-out of a proposed version.
type RollOut struct {
	Version uint64
	// Base is the version of the active bundle that the operator saw; 0 if
	// there was none. It is the bundle's own version, because daemons rewrite
	// the object with the same contents when they start.
	Base uint64
	// Keys and Quorum are those of the daemons' settings. If Quorum is 0, only
	// the daemons check the signatures.
	Keys   map[string]ed25519.PublicKey
	Quorum int
}

// RollOut activates the version if the active bundle is still Base. It returns
// false if the version was already active.
func (c *Client) RollOut(ctx context.Context, r RollOut) (changed bool, err error) {
	proposal, err := c.readEnvelope(ctx, proposalKey(r.Version))
	if err != nil {
		return false, err
	}
	if err := r.checkProposal(proposal.Envelope); err != nil {
		return false, err
	}
	value, err := proposal.Encode()
	if err != nil {
		return false, err
	}
	for range maxAttempts {
		changed, err = c.activate(ctx, r, proposal, value)
		// A daemon may have rewritten the object with the same bundle; activate
		// checks again whether Base is still active.
		var other *ErrChanged
		if !errors.As(err, &other) {
			return changed, err
		}
	}
	return false, err
}

func (r RollOut) checkProposal(e bundle.Envelope) error {
	if e.Version != r.Version {
		return fmt.Errorf("%w: %s holds version %d", bundle.ErrEnvelope, proposalKey(r.Version), e.Version)
	}
	if r.Quorum == 0 {
		return nil
	}
	return bundle.Verify(e, r.Keys, r.Quorum)
}

func (c *Client) activate(ctx context.Context, r RollOut, proposal storedEnvelope, value []byte) (bool, error) {
	active, err := c.activeEnvelope(ctx)
	switch {
	case err != nil:
		return false, err
	case active.Version == r.Version && active.Digest == proposal.Digest:
		return false, nil
	case active.Version != r.Base:
		return false, c.raceError(ctx, r.Base, active)
	case r.Version <= active.Version:
		return false, fmt.Errorf("%w: %d, active is %d", ErrNotHigher, r.Version, active.Version)
	}
	_, err = c.Write(ctx, activeBundleKey, value, active.objectVersion)
	return err == nil, err
}

// raceError returns an ErrRace with the changes since the bundle that the
// operator saw.
func (c *Client) raceError(ctx context.Context, saw uint64, active storedEnvelope) error {
	e := &ErrRace{Saw: saw, Found: active.Version}
	var before *model.Bundle
	if saw != 0 {
		old, err := c.readEnvelope(ctx, proposalKey(saw))
		if err != nil {
			return e
		}
		before = old.bundle
	}
	e.Diff = bundle.Diff(before, active.bundle)
	return e
}
