// Command drill plays the scripted cases of review/REPORT-2.md: it starts daemons as
// processes, with stand-ins of the store, of leafs and of callers, and checks one rule. It
// exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases are the scripted cases by name.
var cases = map[string]func(*stage) error{"watchers": watchersLeave, "directory": goneMachines, "leaf": leafDrains, "evacuation": zoneIsEvacuated}

// playTime bounds a case; its processes are ended then.
const playTime = 110 * time.Second

func main() {
	name := flag.String("case", "", "`name` of the case")
	record := flag.String("record", "record.txt", "`file` to which the record is written")
	program := flag.String("daemon", "target/pistachiousher-edge", "`path` of the daemon")
	flag.Parse()
	play, ok := cases[*name]
	if !ok {
		fmt.Fprintf(os.Stderr, "drill: no case %q\n", *name)
		os.Exit(2)
	}
	s, err := newStage(*program, *record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(2)
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan error, 1)
	go func() { done <- play(s) }()
	select {
	case err = <-done:
	case <-time.After(playTime):
		err = fmt.Errorf("not done within %v", playTime)
	case <-interrupted:
		err = fmt.Errorf("interrupted")
	}
	os.Exit(s.end(err))
}
