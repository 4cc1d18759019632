// Package yamldoc reads hand-written YAML documents strictly. It collects all
// faults of a document, each with its file, line and rule, instead of stopping
// at the first one.
package yamldoc

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Rules that this package itself checks.
const (
	RuleSyntax       = "syntax"
	RuleSize         = "size"
	RuleUnknownKey   = "unknown-key"
	RuleDuplicateKey = "duplicate-key"
	RuleMissingKey   = "missing-key"
	RuleType         = "type"
	RuleUnit         = "unit"
	RuleRange        = "range"
	RuleAddress      = "address"
	RuleName         = "name"
	RuleEmpty        = "empty"
)

// Fault is one violation of a rule in a document.
type Fault struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Rule    string `json:"rule"`
	Message string `json:"message"`
}

// String returns the fault as file:line: rule: message.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Rule, f.Message)
}

// Error holds all faults of a document in order of their lines.
type Error struct{ Faults []Fault }

// Error returns one line per fault.
func (e *Error) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return strings.Join(lines, "\n")
}

// Err returns an *Error with all faults found so far, or nil.
func (d *Doc) Err() error {
	if len(d.faults) == 0 {
		return nil
	}
	faults := slices.Clone(d.faults)
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return &Error{Faults: faults}
}
