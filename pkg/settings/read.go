package settings

import (
	"crypto/ed25519"
	"encoding/base64"
	"net/netip"

	"github.com/apex/log"

	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/pkg/yamldoc"
)

// Rules that this package checks in addition to those of package yamldoc.
const (
	RuleQuorum        = "quorum"
	RuleKey           = "key"
	RuleDuplicateName = "duplicate-name"
	RuleDuplicateKey  = "duplicate-public-key"
	RuleSameAddress   = "same-address"
	RuleUnreachable   = "unreachable-address"
	RulePlatform      = "platform"
)

// Limits of the values in settings.
const (
	minCallsPerSecond = 0.1
	maxCallsPerSecond = 1000.0
	maxQuorum         = 100
)

func readSettings(root yamldoc.Node) *Settings {
	m := root.Map("vm", "region", "failure_domain", "listen", "advertise", "platform", "seeds", "operators", "log", "trace")
	s := &Settings{
		VM:            model.VM(m.Need("vm").Name()),
		Region:        m.Need("region").Name(),
		FailureDomain: model.FailureDomain(m.Need("failure_domain").Name()),
		Listen:        listen(m.Need("listen")),
		Platform:      platform(m.Need("platform")),
		Operators:     operators(m.Need("operators")),
		Log:           logSettings(m.Get("log")),
		Trace:         Trace{File: m.Get("trace").Map("file").Get("file").Text()},
	}
	s.Advertise = advertise(m.Get("advertise"), s.Listen)
	for _, n := range m.Get("seeds").List() {
		s.Seeds = append(s.Seeds, reachableAddress(n))
	}
	return s
}

func listen(n yamldoc.Node) Listen {
	m := n.Map("caller", "peer", "admin")
	usedBy := map[string]string{}
	address := func(key string) string {
		value := m.Need(key)
		text := value.Address()
		if other, ok := usedBy[text]; ok && text != "" {
			value.Fault(RuleSameAddress, "%s and %s both listen at %s", other, key, text)
		}
		usedBy[text] = key
		return text
	}
	return Listen{Caller: address("caller"), Peer: address("peer"), Admin: address("admin")}
}

func advertise(n yamldoc.Node, l Listen) Advertise {
	m := n.Map("caller", "peer")
	return Advertise{
		Caller: advertisedAddress(m, "caller", l.Caller),
		Peer:   advertisedAddress(m, "peer", l.Peer),
	}
}

func advertisedAddress(m yamldoc.Map, key, listen string) string {
	if m.Has(key) {
		return reachableAddress(m.Get(key))
	}
	if isUnspecified(listen) {
		m.Fault(RuleUnreachable, "listen.%s %s is not an address that others can reach: set advertise.%s", key, listen, key)
	}
	return listen
}

// reachableAddress returns the value as an address. It records a fault for an
// unspecified address such as 0.0.0.0, to which others cannot connect.
func reachableAddress(n yamldoc.Node) string {
	text := n.Address()
	if isUnspecified(text) {
		n.Fault(RuleUnreachable, "%s is not an address that others can reach", text)
	}
	return text
}

func isUnspecified(address string) bool {
	addrPort, err := netip.ParseAddrPort(address)
	return err == nil && addrPort.Addr().IsUnspecified()
}

func platform(n yamldoc.Node) Platform {
	m := n.Map("address", "addresses", "calls_per_second")
	p := Platform{CallsPerSecond: m.Get("calls_per_second").Float(DefaultCallsPerSecond, minCallsPerSecond, maxCallsPerSecond)}
	switch {
	case m.Has("address") && m.Has("addresses"):
		m.Get("addresses").Fault(RulePlatform, "set either address or addresses, not both")
	case m.Has("address"):
		p.Addresses = []string{reachableAddress(m.Get("address"))}
	default:
		for _, a := range m.Need("addresses").NonEmptyList() {
			p.Addresses = append(p.Addresses, reachableAddress(a))
		}
	}
	return p
}

func operators(n yamldoc.Node) Operators {
	m := n.Map("quorum", "keys")
	o := Operators{
		Quorum: int(m.Need("quorum").Int(0, 1, maxQuorum)),
		Keys:   map[string]ed25519.PublicKey{},
	}
	operatorOf := map[string]string{}
	for _, k := range m.Need("keys").NonEmptyList() {
		entry := k.Map("name", "public_key")
		name := entry.Need("name").Name()
		key := publicKey(entry.Need("public_key"))
		if _, ok := o.Keys[name]; ok && name != "" {
			k.Fault(RuleDuplicateName, "operator %q is listed twice", name)
		}
		if other, ok := operatorOf[string(key)]; ok && key != nil {
			k.Fault(RuleDuplicateKey, "operators %q and %q have the same key, which counts as one signer", other, name)
		}
		operatorOf[string(key)] = name
		o.Keys[name] = key
	}
	if len(o.Keys) > 0 && o.Quorum > len(o.Keys) {
		m.Get("quorum").Fault(RuleQuorum, "quorum %d can never be reached with %d operators", o.Quorum, len(o.Keys))
	}
	return o
}

func publicKey(n yamldoc.Node) ed25519.PublicKey {
	text := n.Text()
	if text == "" {
		return nil
	}
	key, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(key) != ed25519.PublicKeySize {
		n.Fault(RuleKey, "want the base64 text of a %d byte Ed25519 public key, as `pistachiousher bundle keygen` prints it", ed25519.PublicKeySize)
		return nil
	}
	return key
}

func logSettings(n yamldoc.Node) Log {
	m := n.Map("level", "file")
	level := m.Get("level").OneOf(DefaultLogLevel.String(), "debug", "info", "warn", "error")
	return Log{Level: log.MustParseLevel(level), File: m.Get("file").Text()}
}
