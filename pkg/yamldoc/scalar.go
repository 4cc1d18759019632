package yamldoc

import (
	"math"
	"net/netip"
	"regexp"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/goccy/go-yaml/ast"
)

// namePattern keeps names usable as parts of object keys, URLs and log lines.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)

// Text returns the value as text, or "" for an empty Node.
func (n Node) Text() string {
	switch v := n.node.(type) {
	case nil:
		return ""
	case *ast.StringNode:
		return n.requireUTF8(v.Value)
	case *ast.LiteralNode:
		return n.requireUTF8(v.Value.Value)
	}
	n.Fault(RuleType, "want text, quoted if it looks like a number, a boolean or null")
	return ""
}

func (n Node) requireUTF8(s string) string {
	if !utf8.ValidString(s) {
		n.Fault(RuleType, "text is not valid UTF-8")
		return ""
	}
	return s
}

// Name returns the value as a name of lower-case letters, digits, "-" and "_".
func (n Node) Name() string {
	if n.node == nil {
		return ""
	}
	name := n.Text()
	if !namePattern.MatchString(name) {
		n.Fault(RuleName, "%q is not a name: want 1 to 63 lower-case letters, digits, - or _, first a letter or digit", name)
	}
	return name
}

// OneOf returns the value, which must be one of choices, or fallback for an
// empty Node.
func (n Node) OneOf(fallback string, choices ...string) string {
	if n.node == nil {
		return fallback
	}
	text := n.Text()
	for _, c := range choices {
		if c == text {
			return text
		}
	}
	n.Fault(RuleRange, "%q is not one of %v", text, choices)
	return fallback
}

// Int returns the value as a whole number in [low, high], or fallback for an
// empty Node.
func (n Node) Int(fallback, low, high uint64) uint64 {
	if n.node == nil {
		return fallback
	}
	text, ok := numberText(n.node)
	if !ok {
		n.Fault(RuleType, "want a whole number without a unit")
		return fallback
	}
	v, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		n.Fault(RuleType, "%s is not a decimal whole number of 0 or more", text)
		return fallback
	}
	if v < low || v > high {
		n.Fault(RuleRange, "%d is not within %d to %d", v, low, high)
		return fallback
	}
	return v
}

// Float returns the value as a number in [low, high], or fallback for an empty
// Node.
func (n Node) Float(fallback, low, high float64) float64 {
	if n.node == nil {
		return fallback
	}
	text, ok := numberText(n.node)
	if !ok {
		n.Fault(RuleType, "want a number without a unit")
		return fallback
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) {
		n.Fault(RuleType, "%s is not a decimal number", text)
		return fallback
	}
	if v < low || v > high {
		n.Fault(RuleRange, "%v is not within %v to %v", v, low, high)
		return fallback
	}
	return v
}

func numberText(n ast.Node) (string, bool) {
	switch n := n.(type) {
	case *ast.IntegerNode:
		return n.GetToken().Value, true
	case *ast.FloatNode:
		return n.GetToken().Value, true
	}
	return "", false
}

// Duration returns the value as a duration in [low, high], or fallback for an
// empty Node. Values other than 0 need a unit.
func (n Node) Duration(fallback, low, high time.Duration) time.Duration {
	if n.node == nil {
		return fallback
	}
	if text, ok := numberText(n.node); ok && text != "0" {
		n.Fault(RuleUnit, "%s has no unit: write for example %sms", text, text)
		return fallback
	}
	text := n.node.GetToken().Value
	v, err := time.ParseDuration(text)
	if err != nil {
		n.Fault(RuleUnit, "%q is not a duration: want a number with the unit us, ms, s or m, for example 58ms", text)
		return fallback
	}
	if v < low || v > high {
		n.Fault(RuleRange, "%v is not within %v to %v", v, low, high)
		return fallback
	}
	return v
}

// Address returns the value as ip:port with a port other than 0, or "" for an
// empty Node.
func (n Node) Address() string {
	if n.node == nil {
		return ""
	}
	text := n.Text()
	addrPort, err := netip.ParseAddrPort(text)
	if err != nil || addrPort.Port() == 0 {
		n.Fault(RuleAddress, "%q is not ip:port, for example 127.0.0.1:7000", text)
		return ""
	}
	return addrPort.String()
}
