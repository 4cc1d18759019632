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

// Rules that this package checks.
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
	RuleMore         = "more"
)

// Bounds of an Error. Daemons log the faults of documents from the platform,
// which may hold anything.
const (
	// MaxFaults is the number of faults that are kept. If there are more, one
	// further fault says how many.
	MaxFaults = 200
	// maxMessageBytes is the length of a message in bytes.
	maxMessageBytes = 400
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

// Error holds the faults of a document in order of their lines.
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
	if d.dropped > 0 {
		last := Fault{File: d.file, Line: faults[len(faults)-1].Line, Rule: RuleMore}
		last.Message = fmt.Sprintf("%d more faults are not shown", d.dropped)
		faults = append(faults, last)
	}
	return &Error{Faults: faults}
}

// Fault records a violation of a rule at a line.
func (d *Doc) Fault(line int, rule, format string, args ...any) {
	if len(d.faults) == MaxFaults {
		d.dropped++
		return
	}
	message := fmt.Sprintf(format, args...)
	if len(message) > maxMessageBytes {
		message = strings.ToValidUTF8(message[:maxMessageBytes], "") + "..."
	}
	d.faults = append(d.faults, Fault{File: d.file, Line: line, Rule: rule, Message: message})
}
