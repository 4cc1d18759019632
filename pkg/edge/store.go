package edge

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/core/gateway"
	"github.com/pistachiousher/pistachiousher/pkg/core/gateway/rollout"
)

var (
	// ErrHistoryGone means that the store no longer has the changes since a
	// revision.
	ErrHistoryGone = errors.New("edge: the store no longer has the changes since this revision")
	// ErrStore means that a call to the store failed.
	ErrStore = errors.New("edge: call to the store failed")
	// ErrConflict means that an object was changed or created by another writer.
	ErrConflict = errors.New("edge: the object was changed by another writer")
)

// Object is one object of the store.
type Object struct {
	Name     string          `json:"name"`
	Revision uint64          `json:"revision"`
	Value    json.RawMessage `json:"value"`
	// Era is that in which the object was read; 0 if the store names none.
	Era uint64 `json:"era,omitempty"`
}

// Change is one change of an object.
type Change struct {
	Object  Object
	Deleted bool
}

// Kind names a kind of object that daemons follow.
type Kind string

// Kinds that daemons follow.
const (
	KindConfig      Kind = "config"
	KindServers     Kind = "servers"
	KindEvacuations Kind = "evacuations"
	KindDaemons     Kind = "daemons"
	// KindRollouts is followed only if the settings bound the exposure of new versions.
	KindRollouts Kind = "rollouts"
)

// Kinds are all kinds that all daemons follow.
var Kinds = []Kind{KindConfig, KindServers, KindEvacuations, KindDaemons}

// Store is the platform's store.
type Store interface {
	// Era returns the latest era that an answer of the store, of whatever outcome, has
	// named; 0 if none has.
	Era() uint64
	// List returns all objects of a kind and the position of the list. With mayBeStale
	// the list may be seconds old and is cheap. Errors: ErrStore.
	List(ctx context.Context, kind Kind, mayBeStale bool) ([]Object, Position, error)
	// Watch waits up to wait for changes after a position and returns them with the
	// position to continue from. If that has another era, the changes are meaningless and
	// the kind has to be listed. Errors: ErrStore, ErrHistoryGone.
	Watch(ctx context.Context, kind Kind, since Position, wait time.Duration) ([]Change, Position, error)
	// Create creates an object. If it exists, Create returns the existing object and
	// ErrConflict.
	Create(ctx context.Context, kind Kind, name string, value any) (Object, error)
	// Replace changes an object if it still has the revision of o, and returns
	// ErrConflict otherwise. Further errors: ErrStore, ErrEraChanged.
	Replace(ctx context.Context, kind Kind, o Object, value any) error
	// Remove deletes an object.
	Remove(ctx context.Context, kind Kind, name string) error
	// WriteVerdict writes the verdict on the order of a service if the order's object still
	// is as of a position. Otherwise it returns ErrConflict. After another error, except
	// ErrEraChanged before it was sent, the write may have taken effect, or may do so later.
	WriteVerdict(ctx context.Context, service string, at Position, target string, verdict rollout.Verdict) error
}

// Decoder decodes the values of the store's objects.
type Decoder interface {
	// HideKeys replaces the keys of tenants in the value of a configuration by their
	// hashes. Hashes in a value of the store, where only daemons write them, are removed;
	// those in the view of another daemon are kept. A value without tenants is returned
	// unchanged.
	HideKeys(value json.RawMessage, fromStore bool) (json.RawMessage, error)
	Config(value json.RawMessage) (*gateway.Config, error)
	Server(name string, value json.RawMessage) (gateway.Server, error)
	// Rollout decodes an object of KindRollouts.
	Rollout(o Object) (gateway.RolloutOrder, error)
}
