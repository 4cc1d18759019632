package controls

import (
	"fmt"
	"slices"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// Target is what an entry takes out of service: a failure domain or a server.
type Target struct {
	FailureDomain model.FailureDomain
	Server        model.ServerName
}

// String names the target.
func (t Target) String() string {
	if t.Server != "" {
		return "backend server " + string(t.Server)
	}
	return "failure domain " + string(t.FailureDomain)
}

// Change is one change that an operator asks for. Entry.Since is the time of
// the change in Unix milliseconds.
type Change struct {
	Entry model.ControlEntry
	// Force also takes out the last replica of a shard and replaces or removes
	// the entry of another author.
	Force bool
}

// TakeOut takes a failure domain out of service. If there already is an active
// entry with the same reason and end, whoever wrote it, TakeOut returns c and
// false.
func TakeOut(c *model.Controls, b *model.Bundle, d model.FailureDomain, ch Change) (*model.Controls, bool, error) {
	t := Target{FailureDomain: d}
	if !slices.ContainsFunc(b.Servers, func(s model.BackendServer) bool { return s.FailureDomain == d }) {
		return nil, false, &ErrUnknown{Target: t}
	}
	return addEntry(c, b, t, ch)
}

// Drain takes a backend server out of service, like TakeOut.
func Drain(c *model.Controls, b *model.Bundle, s model.ServerName, ch Change) (*model.Controls, bool, error) {
	t := Target{Server: s}
	if _, ok := b.Server(s); !ok {
		return nil, false, &ErrUnknown{Target: t}
	}
	return addEntry(c, b, t, ch)
}

// BringBack puts a failure domain back into service. Without an active entry it
// returns c and false. It needs no bundle, so that a domain that is no longer in
// the bundle can be brought back.
func BringBack(c *model.Controls, d model.FailureDomain, ch Change) (*model.Controls, bool, error) {
	return removeEntry(c, Target{FailureDomain: d}, ch)
}

// Undrain puts a backend server back into service, like BringBack.
func Undrain(c *model.Controls, s model.ServerName, ch Change) (*model.Controls, bool, error) {
	return removeEntry(c, Target{Server: s}, ch)
}

func addEntry(c *model.Controls, b *model.Bundle, t Target, ch Change) (*model.Controls, bool, error) {
	if err := checkEntry(t.String(), ch.Entry); err != nil {
		return nil, false, err
	}
	present, active := findEntry(c, t, ch.Entry.Since)
	if active && equivalent(present, ch.Entry) {
		return c, false, nil
	}
	if active && present.Author != ch.Entry.Author && !ch.Force {
		return nil, false, &ErrConflict{Target: t, Present: present, Wanted: ch.Entry}
	}
	entry := ch.Entry
	if active {
		entry.Since = present.Since
	}
	next := withoutTarget(c, t, ch.Entry.Since)
	if t.Server != "" {
		next.Drains = append(next.Drains, model.Drain{Server: t.Server, ControlEntry: entry})
	} else {
		next.TakeOuts = append(next.TakeOuts, model.TakeOut{FailureDomain: t.FailureDomain, ControlEntry: entry})
	}
	lost := lostShards(c, next, b, ch.Entry.Since)
	if len(lost) > 0 && !ch.Force {
		return nil, false, &ErrLastReplica{Target: t, Shards: lost}
	}
	return next, true, nil
}

// equivalent reports whether the wanted entry has the reason and end of the
// present one.
func equivalent(present, wanted model.ControlEntry) bool {
	return present.Until == wanted.Until && present.Reason == wanted.Reason
}

func removeEntry(c *model.Controls, t Target, ch Change) (*model.Controls, bool, error) {
	present, active := findEntry(c, t, ch.Entry.Since)
	if !active {
		return c, false, nil
	}
	if present.Author != ch.Entry.Author && !ch.Force {
		return nil, false, &ErrConflict{Target: t, Present: present, Wanted: ch.Entry, Remove: true}
	}
	return withoutTarget(c, t, ch.Entry.Since), true, nil
}

// findEntry returns the target's entry and whether it is active at wallMS (the
// wall clock in Unix milliseconds).
func findEntry(c *model.Controls, t Target, wallMS int64) (model.ControlEntry, bool) {
	for _, d := range c.Drains {
		if t.Server != "" && d.Server == t.Server {
			return d.ControlEntry, d.Active(wallMS)
		}
	}
	for _, o := range c.TakeOuts {
		if t.Server == "" && o.FailureDomain == t.FailureDomain {
			return o.ControlEntry, o.Active(wallMS)
		}
	}
	return model.ControlEntry{}, false
}

// withoutTarget returns the next version, without the entry of the target and
// without entries that have ended by wallMS (Unix milliseconds).
func withoutTarget(c *model.Controls, t Target, wallMS int64) *model.Controls {
	next := &model.Controls{Version: c.Version + 1}
	for _, o := range c.TakeOuts {
		if o.Active(wallMS) && (t.Server != "" || o.FailureDomain != t.FailureDomain) {
			next.TakeOuts = append(next.TakeOuts, o)
		}
	}
	for _, d := range c.Drains {
		if d.Active(wallMS) && d.Server != t.Server {
			next.Drains = append(next.Drains, d)
		}
	}
	return next
}

// lostShards returns the shards that have a usable replica before the change
// and none after it.
func lostShards(before, after *model.Controls, b *model.Bundle, wallMS int64) []ShardRef {
	var lost []ShardRef
	for _, s := range b.Services {
		for _, l := range s.Layouts {
			for _, sh := range l.Shards {
				if hasUsableReplica(before, b, sh, wallMS) && !hasUsableReplica(after, b, sh, wallMS) {
					lost = append(lost, ShardRef{Service: s.Name, Layout: l.Name, Shard: sh.Name})
				}
			}
		}
	}
	return lost
}

func hasUsableReplica(c *model.Controls, b *model.Bundle, sh model.Shard, wallMS int64) bool {
	return slices.ContainsFunc(sh.Replicas, func(name model.ServerName) bool {
		s, ok := b.Server(name)
		return ok && !c.ServerOut(s, wallMS)
	})
}

func formatTime(ms int64) string { return time.UnixMilli(ms).UTC().Format(time.RFC3339) }

// Describe returns what the controls take out at wallMS (Unix milliseconds), one
// line per active entry.
func Describe(c *model.Controls, wallMS int64) []string {
	var out []string
	for _, t := range c.TakeOuts {
		if t.Active(wallMS) {
			out = append(out, fmt.Sprintf("%s is out since %s by %s", Target{FailureDomain: t.FailureDomain}, formatTime(t.Since), describeEntry(t.ControlEntry)))
		}
	}
	for _, d := range c.Drains {
		if d.Active(wallMS) {
			out = append(out, fmt.Sprintf("%s is drained since %s by %s", Target{Server: d.Server}, formatTime(d.Since), describeEntry(d.ControlEntry)))
		}
	}
	return out
}
