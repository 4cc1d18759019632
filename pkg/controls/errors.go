package controls

import (
	"fmt"
	"strings"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

// ErrUnknown means that the bundle has no such failure domain or server.
type ErrUnknown struct{ Target Target }

// Error names the target.
func (e *ErrUnknown) Error() string {
	return fmt.Sprintf("controls: %s is not in the bundle", e.Target)
}

// ErrConflict means that the target already has an active entry of another
// author.
type ErrConflict struct {
	Target  Target
	Present model.ControlEntry
	// Wanted is the entry that the operator asked for. If Remove is set, the
	// operator asked to end the present entry, and only Wanted.Author is used.
	Wanted model.ControlEntry
	Remove bool
}

// Error shows both entries.
func (e *ErrConflict) Error() string {
	if e.Remove {
		return fmt.Sprintf("controls: %s is out by another author: present %s; to be ended by %s", e.Target, describeEntry(e.Present), e.Wanted.Author)
	}
	return fmt.Sprintf("controls: %s is already out by another author: present %s; wanted %s",
		e.Target, describeEntry(e.Present), describeEntry(e.Wanted))
}

func describeEntry(e model.ControlEntry) string {
	until := "without end"
	if e.Until != 0 {
		until = "until " + formatTime(e.Until)
	}
	return fmt.Sprintf("%s (%q, %s)", e.Author, e.Reason, until)
}

// ShardRef names a shard.
type ShardRef struct {
	Service model.ServiceName
	Layout  model.LayoutName
	Shard   model.ShardName
}

// String returns service, layout and shard.
func (r ShardRef) String() string { return fmt.Sprintf("%s/%s/%s", r.Service, r.Layout, r.Shard) }

// ErrLastReplica means that the change would leave shards without a usable
// replica.
type ErrLastReplica struct {
	Target Target
	// Shards are in the order of the bundle; there is at least one.
	Shards []ShardRef
}

// maxShownShards is the largest number of shards named in an error text.
const maxShownShards = 5

// Error names service, layout and shard of the first shards concerned.
func (e *ErrLastReplica) Error() string {
	var names []string
	for _, s := range e.Shards[:min(len(e.Shards), maxShownShards)] {
		names = append(names, s.String())
	}
	text := strings.Join(names, ", ")
	if more := len(e.Shards) - maxShownShards; more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return fmt.Sprintf("controls: %s has the last usable replica of service/layout/shard %s", e.Target, text)
}
