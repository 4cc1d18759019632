package operator

import (
	"cmp"
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pistachiousher/pistachiousher/pkg/bundle"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Keys of bundle objects on the platform.
const (
	proposalPrefix  = "bundles/"
	activeBundleKey = "bundles/active"
)

func proposalKey(version uint64) string { return proposalPrefix + strconv.FormatUint(version, 10) }

// storedEnvelope is an envelope read from the platform, with its bundle.
type storedEnvelope struct {
	bundle.Envelope
	bundle *model.Bundle
	// objectVersion is the version of the platform's object; 0 if it does not
	// exist.
	objectVersion uint64
}

func (c *Client) readEnvelope(ctx context.Context, key string) (storedEnvelope, error) {
	o, err := c.Get(ctx, key)
	if err != nil {
		return storedEnvelope{}, err
	}
	s := storedEnvelope{objectVersion: o.Version}
	if s.Envelope, err = bundle.DecodeEnvelope(o.Value); err != nil {
		return storedEnvelope{}, fmt.Errorf("operator: %s: %w", key, err)
	}
	if s.bundle, err = s.Bundle(); err != nil {
		return storedEnvelope{}, fmt.Errorf("operator: %s: %w", key, err)
	}
	return s, nil
}

// activeEnvelope returns the active bundle's envelope, or the zero value if no
// bundle is active yet.
func (c *Client) activeEnvelope(ctx context.Context) (storedEnvelope, error) {
	s, err := c.readEnvelope(ctx, activeBundleKey)
	if errors.Is(err, ErrNotFound) {
		return storedEnvelope{}, nil
	}
	return s, err
}

// ActiveBundle returns the active bundle, or ErrNotFound. Its signatures are
// not checked.
func (c *Client) ActiveBundle(ctx context.Context) (*model.Bundle, error) {
	s, err := c.readEnvelope(ctx, activeBundleKey)
	return s.bundle, err
}

// Proposal returns the envelope proposed as the version, and its bundle. The
// signatures are not checked.
func (c *Client) Proposal(ctx context.Context, version uint64) (bundle.Envelope, *model.Bundle, error) {
	s, err := c.readEnvelope(ctx, proposalKey(version))
	return s.Envelope, s.bundle, err
}

// Propose stores an envelope as the proposal of its version. Proposing the same
// bundle again changes nothing and keeps the signatures added meanwhile.
func (c *Client) Propose(ctx context.Context, e bundle.Envelope) (changed bool, err error) {
	wanted, err := e.Bundle()
	if err != nil {
		return false, err
	}
	value, err := e.Encode()
	if err != nil {
		return false, err
	}
	_, err = c.Write(ctx, proposalKey(e.Version), value, 0)
	var there *ErrChanged
	if !errors.As(err, &there) {
		return err == nil, err
	}
	found, err := c.readEnvelope(ctx, proposalKey(e.Version))
	if err != nil {
		return false, err
	}
	if found.Digest != e.Digest {
		return false, &ErrProposed{Version: e.Version, Diff: bundle.Diff(found.bundle, wanted)}
	}
	return false, nil
}

// Sign adds a signature to the proposal of the version, which must have the
// digest that the operator read. Signing again replaces the signature.
func (c *Client) Sign(ctx context.Context, version uint64, digest, signer string, key ed25519.PrivateKey) (bundle.Envelope, error) {
	var err error
	for range maxAttempts {
		var signed bundle.Envelope
		if signed, err = c.signOnce(ctx, version, digest, signer, key); err == nil {
			return signed, nil
		}
		// Another operator may have signed meanwhile.
		var changed *ErrChanged
		if !errors.As(err, &changed) {
			return bundle.Envelope{}, err
		}
	}
	return bundle.Envelope{}, err
}

func (c *Client) signOnce(ctx context.Context, version uint64, digest, signer string, key ed25519.PrivateKey) (bundle.Envelope, error) {
	s, err := c.readEnvelope(ctx, proposalKey(version))
	if err != nil {
		return bundle.Envelope{}, err
	}
	if s.Digest != digest {
		return bundle.Envelope{}, fmt.Errorf("%w: %s, not %s", ErrDigest, s.Digest, digest)
	}
	signed, err := bundle.Sign(s.Envelope, signer, key)
	if err != nil {
		return bundle.Envelope{}, err
	}
	value, err := signed.Encode()
	if err != nil {
		return bundle.Envelope{}, err
	}
	_, err = c.Write(ctx, proposalKey(version), value, s.objectVersion)
	return signed, err
}

// Status is one proposed or active bundle.
type Status struct {
	Version uint64   `json:"version"`
	Digest  string   `json:"digest"`
	Signers []string `json:"signers"`
	Active  bool     `json:"active"`
	// Problem says why the object is unusable; empty if it is usable.
	Problem string `json:"problem,omitempty"`
}

// Bundles returns the proposals on the platform, sorted by version, and the
// version of the active bundle, 0 if there is none.
func (c *Client) Bundles(ctx context.Context) ([]Status, uint64, error) {
	active, err := c.activeEnvelope(ctx)
	if err != nil {
		return nil, 0, err
	}
	objects, err := c.List(ctx, proposalPrefix)
	if err != nil {
		return nil, 0, err
	}
	var all []Status
	for _, o := range objects {
		version, err := strconv.ParseUint(strings.TrimPrefix(o.Key, proposalPrefix), 10, 64)
		if err != nil {
			continue // the active bundle
		}
		all = append(all, c.status(ctx, version, active))
	}
	slices.SortFunc(all, func(a, b Status) int { return cmp.Compare(a.Version, b.Version) })
	return all, active.Version, nil
}

func (c *Client) status(ctx context.Context, version uint64, active storedEnvelope) Status {
	s, err := c.readEnvelope(ctx, proposalKey(version))
	if err != nil {
		return Status{Version: version, Problem: err.Error()}
	}
	st := Status{Version: version, Digest: s.Digest, Signers: []string{}, Active: s.Digest == active.Digest}
	if s.Version != version {
		st.Problem = fmt.Sprintf("holds version %d", s.Version)
	}
	for _, sig := range s.Signatures {
		st.Signers = append(st.Signers, sig.Signer)
	}
	return st
}
