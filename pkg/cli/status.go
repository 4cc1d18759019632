package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/pistachiousher/pistachiousher/pkg/operator"
)

// statusAction shows the active controls and the versions in force at each
// daemon.
type statusAction struct {
	platform platformFlag
	daemons  string
}

type status struct {
	// Platform is nil if -platform was not given or the platform did not answer.
	Platform *platformStatus `json:"platform,omitempty"`
	daemonStates
}

type platformStatus struct {
	BundleVersion   uint64   `json:"bundle_version"`
	ControlsVersion uint64   `json:"controls_version"`
	Out             []string `json:"out"`
}

// WriteText implements Result.
func (s status) WriteText(w io.Writer) error {
	if p := s.Platform; p != nil {
		if _, err := fmt.Fprintf(w, "platform: bundle %d, controls %d\n", p.BundleVersion, p.ControlsVersion); err != nil {
			return err
		}
		for _, line := range p.Out {
			if _, err := fmt.Fprintln(w, line); err != nil {
				return err
			}
		}
	}
	return s.daemonStates.WriteText(w)
}

func (a *statusAction) Flags(f *flag.FlagSet) {
	a.platform.Flags(f)
	f.StringVar(&a.daemons, "daemons", "", "admin `addresses` of daemons to ask, ip:port, separated by commas")
}

func (a *statusAction) Run(ctx context.Context, env *Env, args []string) (Result, error) {
	if len(args) > 0 {
		return nil, usageError("unexpected argument %q", args[0])
	}
	if a.daemons == "" && a.platform.addresses == "" {
		return nil, usageError("-platform or -daemons is required")
	}
	daemons, err := addressList("daemons", a.daemons)
	if err != nil {
		return nil, err
	}
	var s status
	var platformErr error
	if a.platform.addresses != "" {
		s.Platform, platformErr = a.askPlatform(ctx, env)
	}
	version := uint64(0)
	if s.Platform != nil {
		version = s.Platform.BundleVersion
	}
	s.Daemons = operator.AskDaemons(ctx, daemons, operator.BundleVersion, version)
	if platformErr != nil {
		return s, platformErr
	}
	return s, unsettledError(s.Daemons)
}

func (a *statusAction) askPlatform(ctx context.Context, env *Env) (*platformStatus, error) {
	client, err := a.platform.client()
	if err != nil {
		return nil, err
	}
	_, active, err := client.Bundles(ctx)
	if err != nil {
		return nil, err
	}
	c, _, err := client.Controls(ctx)
	if err != nil {
		return nil, err
	}
	return &platformStatus{BundleVersion: active, ControlsVersion: c.Version, Out: activeLines(c, env.Now())}, nil
}

// versionAction prints the version of the program.
type versionAction struct{}

type programVersion struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

// WriteText implements Result.
func (v programVersion) WriteText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%s %s (%s)\n", programName, v.Version, v.Go)
	return err
}

func (*versionAction) Flags(*flag.FlagSet) {}

func (*versionAction) Run(context.Context, *Env, []string) (Result, error) {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return programVersion{Version: "unknown", Go: "unknown"}, nil
	}
	return programVersion{Version: info.Main.Version, Go: info.GoVersion}, nil
}
