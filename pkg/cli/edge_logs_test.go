package cli

import (
	"fmt"
	"strings"
	"testing"
)

// Guards against one overlong line, such as the output of another program, that ends
// the reading of a log or hides the lines after it.
func TestOverlongLineIsSkipped(t *testing.T) {
	line := `{"fields":{},"timestamp":"2026-05-04T18:11:12Z","message":"edge_answered"}`
	for name, long := range map[string]string{"twice the limit": strings.Repeat("x", 2*maxLineBytes), "the limit": strings.Repeat("x", maxLineBytes)} {
		var skipped skippedLines
		read := 0
		text := fmt.Sprintf("%s\n%s\n%s", line, long, line)
		err := scanLog(strings.NewReader(text), "log", &skipped, func(logLine) error { read++; return nil })
		if err != nil || read != 2 || skipped != (skippedLines{truncated: 1}) {
			t.Errorf("%s: %d lines read, %+v, %v", name, read, skipped, err)
		}
	}
}

// Guards against other programs' lines that are counted as truncated lines of daemons,
// or the other way round.
func TestTruncatedAndForeignLines(t *testing.T) {
	for text, want := range map[string]skippedLines{
		`{"fields":{"event":17`:  {truncated: 1},
		`panic: runtime error`:   {foreign: 1},
		`{"level":"info"}`:       {foreign: 1},
		`{"message":5,"x":"y"}`:  {foreign: 1},
		``:                       {},
		`{"a":{"message":"edge"`: {truncated: 1},
	} {
		var skipped skippedLines
		if err := scanLog(strings.NewReader(text), "log", &skipped, func(logLine) error { t.Errorf("%s: read", text); return nil }); err != nil {
			t.Error(err)
		}
		if skipped != want {
			t.Errorf("%s: %+v, want %+v", text, skipped, want)
		}
	}
}
