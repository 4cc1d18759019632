package cli

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"strings"
	"time"
)

// logLine is one line of a daemon's log.
type logLine struct {
	// From is the text before the JSON object on the line, which names the VM in
	// merged logs, or else the log file's name without its extension.
	From      string         `json:"from"`
	Timestamp time.Time      `json:"timestamp"`
	Message   string         `json:"message"`
	Fields    map[string]any `json:"fields"`
}

func (l logLine) fields() string {
	var words []string
	for k, v := range l.Fields {
		words = append(words, fmt.Sprintf("%s=%v", k, v))
	}
	sort.Strings(words)
	return strings.Join(words, " ")
}

// skippedLines counts lines of logs that hold no whole line of a daemon.
type skippedLines struct {
	// truncated lines are incomplete or longer than maxLineBytes; a line that was
	// appended to an incomplete one is read, and the incomplete one counted.
	truncated int
	// foreign lines were not written by a daemon.
	foreign int
}

// readLogs calls each for every line of a daemon in the files, or in standard input if
// there are none. It ends at the first error of each.
func readLogs(env *Env, paths []string, each func(logLine) error) (skippedLines, error) {
	var skipped skippedLines
	if len(paths) == 0 {
		err := scanLog(env.Stdin, "-", &skipped, each)
		return skipped, err
	}
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return skipped, err
		}
		err = scanLog(f, strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)), &skipped, each)
		f.Close()
		if err != nil {
			return skipped, err
		}
	}
	return skipped, nil
}

// maxLineBytes bounds a line of a log in bytes.
const maxLineBytes = 1 << 20

// scanLog reads the lines of a log. from is the origin of lines that have no text before
// their JSON object.
func scanLog(r io.Reader, from string, skipped *skippedLines, each func(logLine) error) error {
	reader := bufio.NewReaderSize(r, maxLineBytes)
	for {
		text, err := reader.ReadSlice('\n')
		if errors.Is(err, bufio.ErrBufferFull) {
			skipped.truncated++
			if err = skipToLineEnd(reader); err == nil {
				continue
			}
			text = nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("read log %s: %w", from, err)
		}
		if line := strings.TrimSpace(string(text)); line != "" {
			l, ok := parseLine(line, from, skipped)
			if ok {
				if err := each(l); err != nil {
					return err
				}
			}
		}
		if err != nil {
			return nil
		}
	}
}

// skipToLineEnd discards the rest of a line.
func skipToLineEnd(r *bufio.Reader) error {
	for {
		_, err := r.ReadSlice('\n')
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}

// parseLine parses a line of a log. It tries every JSON object start in the line: a
// daemon that was killed may have left an incomplete line, with the next line appended
// to it. Incomplete and foreign lines are counted in skipped.
func parseLine(text, from string, skipped *skippedLines) (logLine, bool) {
	rest, torn := text, false
	for start := strings.Index(rest, `{"`); start >= 0; start = strings.Index(rest, `{"`) {
		l := logLine{From: from}
		err := json.Unmarshal([]byte(rest[start:]), &l)
		if err != nil || l.Message == "" {
			torn = torn || isIncomplete(err)
			rest = rest[start+1:]
			continue
		}
		if torn {
			skipped.truncated++
		}
		before := rest[:start]
		if len(rest) < len(text) {
			before = before[strings.LastIndexAny(before, `{}",:`)+1:]
		}
		if before = strings.TrimSpace(before); before != "" {
			l.From = before
		}
		return l, true
	}
	if torn {
		skipped.truncated++
	} else {
		skipped.foreign++
	}
	return logLine{}, false
}

// isIncomplete reports whether an error of json.Unmarshal means that the text is not one
// whole JSON value, rather than one of other fields or types.
func isIncomplete(err error) bool {
	var syntax *json.SyntaxError
	return errors.As(err, &syntax)
}
