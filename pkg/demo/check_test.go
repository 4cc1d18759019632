package demo

import (
	"strings"
	"testing"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/loadgen"
	"github.com/pistachiousher/pistachiousher/pkg/model"
	"github.com/pistachiousher/pistachiousher/standin/backend"
)

// Guards against checks that pass whatever the backend servers ran: each check
// must report its fault and accept a correct run.
func TestChecksFindFaults(t *testing.T) {
	out := time.Unix(100, 0)
	at := func(after time.Duration) []backend.Run { return []backend.Run{{RequestID: "r", Start: out.Add(after)}} }
	work := shardRun{id: "r", shard: backend.Shard{Name: "s1"}}
	for name, c := range map[string]struct {
		check func(*demo)
		want  string
	}{
		"late work": {func(d *demo) { d.checkDomain("leaf", at(stopWorkLimit+time.Millisecond)) }, "got new work"},
		"in time":   {func(d *demo) { d.checkDomain("leaf", at(stopWorkLimit)) }, ""},
		"back":      {func(d *demo) { d.checkDomain("leaf", at(time.Minute)) }, ""},
		"order twice": {func(d *demo) {
			d.sent.add("r", false, loadgen.MayHaveRun)
			d.checkRequests(map[shardRun]int{work: 2}, map[model.RequestID]int{"r": 1})
		}, "ran 2 times"},
		"hedged": {func(d *demo) {
			d.sent.add("r", true, loadgen.Complete)
			d.checkRequests(map[shardRun]int{work: 2}, map[model.RequestID]int{"r": 1})
		}, ""},
		"refused but ran": {func(d *demo) {
			d.sent.add("r", true, loadgen.NotRun)
			d.checkRequests(map[shardRun]int{work: 1}, map[model.RequestID]int{"r": 1})
		}, "refused as not run but ran"},
		"answered but ran nowhere": {func(d *demo) {
			d.sent.add("r", false, loadgen.Complete)
			d.checkRequests(nil, nil)
		}, "ran nowhere"},
	} {
		d := &demo{report: new(Report), takenOut: out, broughtBack: out.Add(time.Minute)}
		c.check(d)
		got := strings.Join(d.report.Faults, "\n")
		if (c.want == "") != (got == "") || !strings.Contains(got, c.want) {
			t.Errorf("%s: faults %q, want %q", name, got, c.want)
		}
	}
}
