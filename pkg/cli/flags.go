package cli

import (
	"context"
	"flag"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/operator"
)

// defaultWait is more than three times the 3 s within which a change must be
// in effect.
const defaultWait = 10 * time.Second

// platformFlag is the flag -platform.
type platformFlag struct{ addresses string }

func (p *platformFlag) Flags(f *flag.FlagSet) {
	f.StringVar(&p.addresses, "platform", "", "`addresses` of the platform's object API, ip:port, separated by commas")
}

func (p *platformFlag) client() (*operator.Client, error) {
	addresses, err := addressList("platform", p.addresses)
	if err != nil {
		return nil, err
	}
	if len(addresses) == 0 {
		return nil, usageError("-platform is required")
	}
	return operator.NewClient(addresses), nil
}

// waitFlags are the flags -daemons and -wait.
type waitFlags struct {
	daemons string
	wait    time.Duration
}

func (w *waitFlags) Flags(f *flag.FlagSet) {
	f.StringVar(&w.daemons, "daemons", "", "admin `addresses` of daemons to wait for, ip:port, separated by commas")
	f.DurationVar(&w.wait, "wait", defaultWait, "how long to wait for the daemons")
}

func (w *waitFlags) addresses() ([]string, error) { return addressList("daemons", w.daemons) }

func addressList(flag, text string) ([]string, error) {
	if text == "" {
		return nil, nil
	}
	addresses := strings.Split(text, ",")
	for _, a := range addresses {
		if _, err := netip.ParseAddrPort(a); err != nil {
			return nil, usageError("-%s: %q is not ip:port", flag, a)
		}
	}
	return addresses, nil
}

// oneArgument returns the only argument, or a usage error that calls it what.
func oneArgument(what string, args []string) (string, error) {
	if len(args) != 1 {
		return "", usageError("want one %s after the flags, got %d arguments", what, len(args))
	}
	return args[0], nil
}

func parseVersion(text string) (uint64, error) {
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil || v == 0 {
		return 0, usageError("%q is not the version of a bundle", text)
	}
	return v, nil
}

// withTimeout returns a context that ends after d.
func withTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, d)
}
