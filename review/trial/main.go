// Command trial runs one case of the review against the daemon's program, writes
// record.txt into the folder of the case, and exits with 1 if the rule was broken, 0 if
// it held and 2 if the case could not run. TROUBLE=0 in the environment leaves the
// disruption out.
package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/pistachiousher/pistachiousher/review/site"
)

// trial runs a case and returns how often the rule was broken.
type trial func(s *site.Site, trouble bool) (broken int, err error)

var trials = map[string]trial{
	"evacuation-after-restart": evacuationAfterRestart,
	"drain-beside-evacuation":  drainBesideEvacuation,
	"drain-while-turned-away":  drainWhileTurnedAway,
	"double-slash":             doubleSlash,
}

func main() {
	if len(os.Args) != 3 || trials[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trial CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(trials[os.Args[1]], os.Args[2]))
}

func run(t trial, folder string) int {
	record := site.NewRecord()
	trouble := os.Getenv("TROUBLE") != "0"
	record.Printf("case %s, trouble: %v", os.Args[1], trouble)
	s, err := site.New(record, uint64(os.Getpid()))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	broken, err := t(s, trouble)
	s.Close()
	code := 0
	switch {
	case err != nil:
		record.Printf("could not run: %v", err)
		code = 2
	case broken > 0:
		record.Printf("rule BROKEN %d times", broken)
		code = 1
	default:
		record.Printf("rule held")
	}
	if err := record.Write(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	return code
}
