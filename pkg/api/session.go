package api

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/pistachiousher/pistachiousher/pkg/model"
)

const (
	// lookupTimeout bounds a lookup at one entry VM.
	lookupTimeout = 2 * time.Second
	// lookupRetry is how long after a failed lookup the next one is made, so
	// that waiting requests don't flood entry VMs that have no answer.
	lookupRetry = 100 * time.Millisecond
	// avoidUnreached is how long an address that was not reached comes last.
	// Lookups may name a failed daemon until its lease has expired.
	avoidUnreached = 3 * time.Second
	// maxAddressTries bounds the addresses that a request is offered to.
	maxAddressTries = 8
)

// ErrNoAddress means that no daemon could be used, so that the request was not
// sent.
var ErrNoAddress = errors.New("api: no daemon to send to")

// Session sends requests as a well-behaved caller does: it keeps the answers of
// lookups for their age, gives each request an id of its own, and goes on to
// the next address when a daemon is not reached. It never sends a request
// twice. Its methods may be called at any time.
type Session struct {
	client  *Client
	entries []string

	mu    sync.Mutex
	kept  map[lookupKey]*keptLookup
	first int // the entry VM that answered last
}

type lookupKey struct {
	service model.ServiceName
	caller  model.CallerName
}

// keptLookup is the present lookup answer for a service and caller.
type keptLookup struct {
	mu        sync.Mutex
	addresses []usedAddress
	expires   time.Time
	unreached map[string]time.Time
	err       error
	retry     time.Time // no lookup before this after err
}

// usedAddress counts the request ids used of an address.
type usedAddress struct {
	Address
	used uint64
}

// NewSession returns a session that makes its lookups at the entry VMs
// (host:port). A nil client uses the defaults.
func NewSession(client *Client, entries []string) *Session {
	if client == nil {
		client = new(Client)
	}
	return &Session{client: client, entries: slices.Clone(entries), kept: make(map[lookupKey]*keptLookup)}
}

// Query gives the request an id and sends it to the first daemon that is
// reached. Errors are those of Client.Query and ErrNoAddress; the id is the one
// that was sent last, for a repetition.
func (s *Session) Query(ctx context.Context, service model.ServiceName, q QueryRequest) (*Answer, model.RequestID, error) {
	k := s.lookup(lookupKey{service: service, caller: q.Caller})
	for try := 1; ; try++ {
		address, id, err := s.next(ctx, k, service, q.Caller)
		if err != nil {
			return nil, id, err
		}
		q.RequestID = id
		answer, _, err := s.client.Query(ctx, address, service, q)
		if !errors.Is(err, ErrUnreachable) || ctx.Err() != nil || try == maxAddressTries {
			return answer, id, err
		}
		k.drop(address)
	}
}

func (s *Session) lookup(key lookupKey) *keptLookup {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.kept[key]
	if k == nil {
		k = &keptLookup{unreached: make(map[string]time.Time)}
		s.kept[key] = k
	}
	return k
}

// next returns the preferred address and a fresh id of its range. Requests wait
// while one of them makes the lookup.
func (s *Session) next(ctx context.Context, k *keptLookup, service model.ServiceName, caller model.CallerName) (string, model.RequestID, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if now.After(k.expires) || len(k.addresses) == 0 {
		if now.Before(k.retry) {
			return "", "", k.err
		}
		s.refresh(ctx, k, service, caller)
	}
	if len(k.addresses) == 0 {
		return "", "", k.err
	}
	a := &k.addresses[0]
	a.used++
	return a.Address.Address, model.RequestID(fmt.Sprintf("%s.%d", a.RequestIDPrefix, a.used)), nil
}

// refresh replaces the lookup answer. Its age counts from before the lookup.
func (s *Session) refresh(ctx context.Context, k *keptLookup, service model.ServiceName, caller model.CallerName) {
	k.addresses = nil
	asked := time.Now()
	l, err := s.ask(ctx, service, caller)
	if err == nil && len(l.Addresses) == 0 {
		err = errors.New("the lookup has no address")
	}
	if err != nil {
		k.err = fmt.Errorf("%w: %w", ErrNoAddress, err)
		k.retry = time.Now().Add(lookupRetry)
		return
	}
	for _, a := range l.Addresses {
		k.addresses = append(k.addresses, usedAddress{Address: a})
	}
	k.avoid(asked)
	k.expires = asked.Add(time.Duration(l.MaxAgeMS) * time.Millisecond)
}

// ask makes the lookup at the entry VMs in turn, beginning with the one that
// answered last.
func (s *Session) ask(ctx context.Context, service model.ServiceName, caller model.CallerName) (*Lookup, error) {
	s.mu.Lock()
	first := s.first
	s.mu.Unlock()
	errs := []error{errors.New("lookups failed")}
	for i := range s.entries {
		at := (first + i) % len(s.entries)
		l, err := s.askOne(ctx, s.entries[at], service, caller)
		if err == nil {
			s.mu.Lock()
			s.first = at
			s.mu.Unlock()
			return l, nil
		}
		errs = append(errs, err)
	}
	return nil, errors.Join(errs...)
}

func (s *Session) askOne(ctx context.Context, entry string, service model.ServiceName, caller model.CallerName) (*Lookup, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	return s.client.Lookup(ctx, entry, service, caller)
}

// avoid puts the addresses last that were not reached lately.
func (k *keptLookup) avoid(now time.Time) {
	for address, at := range k.unreached {
		if now.Sub(at) > avoidUnreached {
			delete(k.unreached, address)
		}
	}
	slices.SortStableFunc(k.addresses, func(a, b usedAddress) int {
		return k.unreached[a.Address.Address].Compare(k.unreached[b.Address.Address])
	})
}

// drop removes an address that was not reached.
func (k *keptLookup) drop(address string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.unreached[address] = time.Now()
	k.addresses = slices.DeleteFunc(k.addresses, func(a usedAddress) bool { return a.Address.Address == address })
}
