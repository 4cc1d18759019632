package cli

import (
	"encoding/json"
	"fmt"
	"io"
)

// Result is the output of a command. It is printed either encoded as JSON or
// as the text that WriteText writes.
type Result interface {
	WriteText(w io.Writer) error
}

// outputFormat is the value of the flag -output.
type outputFormat string

const (
	formatText outputFormat = "text"
	formatJSON outputFormat = "json"
)

// String implements flag.Value.
func (f *outputFormat) String() string { return string(*f) }

// Set implements flag.Value.
func (f *outputFormat) Set(text string) error {
	switch v := outputFormat(text); v {
	case formatText, formatJSON:
		*f = v
		return nil
	}
	return fmt.Errorf("want %s or %s", formatText, formatJSON)
}

func (f outputFormat) printResult(w io.Writer, r Result) error {
	if f == formatJSON {
		return writeJSON(w, r)
	}
	return r.WriteText(w)
}

// printFailure ignores write errors: there is nowhere else to report them.
func (f outputFormat) printFailure(w io.Writer, e *Failure) {
	if f == formatJSON {
		_ = writeJSON(w, e)
		return
	}
	fmt.Fprintf(w, "%s: %s\n", programName, e.Message)
	for _, line := range e.Details {
		fmt.Fprintf(w, "  %s\n", line)
	}
	if e.Next != "" {
		fmt.Fprintf(w, "next: %s\n", e.Next)
	}
}

func writeJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(v)
}
