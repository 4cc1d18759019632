package cli

import (
	"context"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/pistachiousher/pistachiousher/pkg/bundle"
	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// keyFileMode lets only the file's owner read the private key.
const keyFileMode = 0o600

// validateAction checks a bundle file.
type validateAction struct{}

type validated struct {
	Version  uint64 `json:"version"`
	Digest   string `json:"digest"`
	Services int    `json:"services"`
	Servers  int    `json:"backend_servers"`
}

// WriteText implements Result.
func (v validated) WriteText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "valid: version %d, %d services, %d backend servers\ndigest %s\n", v.Version, v.Services, v.Servers, v.Digest)
	return err
}

func (*validateAction) Flags(*flag.FlagSet) {}

func (*validateAction) Run(_ context.Context, _ *Env, args []string) (Result, error) {
	file, err := oneArgument("file", args)
	if err != nil {
		return nil, err
	}
	e, b, err := readBundle(file)
	if err != nil {
		return nil, err
	}
	return validated{Version: b.Version, Digest: e.Digest, Services: len(b.Services), Servers: len(b.Servers)}, nil
}

// readBundle reads and checks a bundle file, including that the bundle is not
// larger than the platform can store.
func readBundle(file string) (bundle.Envelope, *model.Bundle, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return bundle.Envelope{}, nil, err
	}
	e, err := bundle.NewEnvelope(file, data)
	if err != nil {
		return bundle.Envelope{}, nil, err
	}
	if _, err := e.Encode(); err != nil {
		return bundle.Envelope{}, nil, err
	}
	b, err := e.Bundle()
	return e, b, err
}

// diffAction compares two bundles, each from a file or from the platform.
type diffAction struct{ platform platformFlag }

type difference struct {
	Changes []bundle.Change `json:"changes"`
}

// WriteText implements Result.
func (d difference) WriteText(w io.Writer) error {
	if len(d.Changes) == 0 {
		_, err := fmt.Fprintln(w, "no change")
		return err
	}
	_, err := fmt.Fprintln(w, strings.Join(changeLines(d.Changes), "\n"))
	return err
}

func (a *diffAction) Flags(f *flag.FlagSet) { a.platform.Flags(f) }

func (a *diffAction) Run(ctx context.Context, _ *Env, args []string) (Result, error) {
	if len(args) != 2 {
		return nil, usageError("want two bundles after the flags, got %d arguments", len(args))
	}
	before, err := a.loadBundle(ctx, args[0])
	if err != nil {
		return nil, err
	}
	after, err := a.loadBundle(ctx, args[1])
	if err != nil {
		return nil, err
	}
	return difference{Changes: append([]bundle.Change{}, bundle.Diff(before, after)...)}, nil
}

// loadBundle reads a bundle from the platform if which is "active" or a
// version, and otherwise from the file of that name.
func (a *diffAction) loadBundle(ctx context.Context, which string) (*model.Bundle, error) {
	version, err := parseVersion(which)
	if err != nil && which != "active" {
		_, b, err := readBundle(which)
		return b, err
	}
	client, err := a.platform.client()
	if err != nil {
		return nil, err
	}
	if which == "active" {
		return client.ActiveBundle(ctx)
	}
	_, b, err := client.Proposal(ctx, version)
	return b, err
}

// keygenAction makes an operator's key pair.
type keygenAction struct{}

type publicKey struct {
	File      string `json:"file"`
	PublicKey string `json:"public_key"`
}

// WriteText implements Result.
func (k publicKey) WriteText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "private key in %s; keep it secret\npublic_key: %q\n", k.File, k.PublicKey)
	return err
}

func (*keygenAction) Flags(*flag.FlagSet) {}

func (*keygenAction) Run(_ context.Context, _ *Env, args []string) (Result, error) {
	file, err := oneArgument("file", args)
	if err != nil {
		return nil, err
	}
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, err
	}
	if err := writeKey(file, private); err != nil {
		return nil, err
	}
	return publicKey{File: file, PublicKey: base64.StdEncoding.EncodeToString(public)}, nil
}

// writeKey writes a private key to a new file. It never overwrites an existing
// file, because a lost private key cannot be recovered.
func writeKey(file string, key ed25519.PrivateKey) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(f, base64.StdEncoding.EncodeToString(key.Seed()))
	return errors.Join(err, f.Close())
}

func readKey(file string) (ed25519.PrivateKey, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(data)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, usageError("%s is not a key file of `bundle keygen`", file)
	}
	return ed25519.NewKeyFromSeed(seed), nil
}
