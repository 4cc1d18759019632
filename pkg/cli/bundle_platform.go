package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/pistachiousher/pistachiousher/pkg/bundle"
	"github.com/pistachiousher/pistachiousher/pkg/operator"
)

// proposeAction stores a bundle on the platform for signing.
type proposeAction struct{ platform platformFlag }

type proposed struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	// Changed is false if the same bundle was already proposed.
	Changed bool `json:"changed"`
}

// WriteText implements Result.
func (p proposed) WriteText(w io.Writer) error {
	what := "proposed"
	if !p.Changed {
		what = "already proposed"
	}
	_, err := fmt.Fprintf(w, "%s as version %d\ndigest %s\n", what, p.Version, p.Digest)
	return err
}

func (a *proposeAction) Flags(f *flag.FlagSet) { a.platform.Flags(f) }

func (a *proposeAction) Run(ctx context.Context, _ *Env, args []string) (Result, error) {
	file, err := oneArgument("file", args)
	if err != nil {
		return nil, err
	}
	client, err := a.platform.client()
	if err != nil {
		return nil, err
	}
	e, _, err := readBundle(file)
	if err != nil {
		return nil, err
	}
	changed, err := client.Propose(ctx, e)
	if err != nil {
		return nil, err
	}
	return proposed{Version: e.Version, Digest: e.Digest, Changed: changed}, nil
}

// signAction signs a proposal. It requires the file that the operator reviewed
// and compares digests, so that a proposal replaced meanwhile is not signed.
type signAction struct {
	platform platformFlag
	signer   string
	key      string
}

type signed struct {
	Version uint64   `json:"version"`
	Digest  string   `json:"digest"`
	Signers []string `json:"signers"`
}

// WriteText implements Result.
func (s signed) WriteText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "version %d is signed by %s\ndigest %s\n", s.Version, strings.Join(s.Signers, ", "), s.Digest)
	return err
}

func (a *signAction) Flags(f *flag.FlagSet) {
	a.platform.Flags(f)
	f.StringVar(&a.signer, "signer", "", "`name` of the operator in the daemons' settings")
	f.StringVar(&a.key, "key", "", "`file` with the operator's private key")
}

func (a *signAction) Run(ctx context.Context, _ *Env, args []string) (Result, error) {
	file, err := oneArgument("file", args)
	if err != nil {
		return nil, err
	}
	if a.signer == "" || a.key == "" {
		return nil, usageError("-signer and -key are required")
	}
	client, err := a.platform.client()
	if err != nil {
		return nil, err
	}
	key, err := readKey(a.key)
	if err != nil {
		return nil, err
	}
	e, _, err := readBundle(file)
	if err != nil {
		return nil, err
	}
	e, err = client.Sign(ctx, e.Version, e.Digest, a.signer, key)
	if err != nil {
		return nil, err
	}
	return signed{Version: e.Version, Digest: e.Digest, Signers: signers(e)}, nil
}

func signers(e bundle.Envelope) []string {
	names := make([]string, len(e.Signatures))
	for i, s := range e.Signatures {
		names[i] = s.Signer
	}
	return names
}

// bundleStatusAction lists proposals and the active bundle.
type bundleStatusAction struct{ platform platformFlag }

type bundleStatus struct {
	Active    uint64            `json:"active"`
	Proposals []operator.Status `json:"proposals"`
}

// WriteText implements Result.
func (s bundleStatus) WriteText(w io.Writer) error {
	var out strings.Builder
	fmt.Fprintf(&out, "active: %d\n", s.Active)
	for _, p := range s.Proposals {
		fmt.Fprintf(&out, "version %d: %s\n", p.Version, proposalText(p))
	}
	_, err := io.WriteString(w, out.String())
	return err
}

func proposalText(p operator.Status) string {
	text := "unsigned"
	if len(p.Signers) > 0 {
		text = "signed by " + strings.Join(p.Signers, ", ")
	}
	if p.Active {
		text += ", active"
	}
	if p.Problem != "" {
		text = "unusable: " + p.Problem
	}
	return text
}

func (a *bundleStatusAction) Flags(f *flag.FlagSet) { a.platform.Flags(f) }

func (a *bundleStatusAction) Run(ctx context.Context, _ *Env, args []string) (Result, error) {
	if len(args) > 0 {
		return nil, usageError("unexpected argument %q", args[0])
	}
	client, err := a.platform.client()
	if err != nil {
		return nil, err
	}
	proposals, active, err := client.Bundles(ctx)
	if err != nil {
		return nil, err
	}
	return bundleStatus{Active: active, Proposals: append([]operator.Status{}, proposals...)}, nil
}
