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
	// lookupRetry is the pause after a failed lookup, so that waiting requests
	// don't flood entry VMs that cannot answer.
	lookupRetry = 100 * time.Millisecond
	// unreachedPenalty is how long an address that was not reached is tried last.
	// Lookups may name a failed daemon until its lease has expired.
	unreachedPenalty = 3 * time.Second
	// maxAddressTries bounds the addresses that are tried for a request.
	maxAddressTries = 8
)

// ErrNoAddress means that no daemon's address is known, so that the request was
// not sent.
var ErrNoAddress = errors.New("api: no daemon to send to")

// Session sends requests as callers should: it caches the answers of lookups
// until they expire, gives each request an id of its own, and tries the next
// address when a daemon is not reached. It never sends a request twice. It is
// safe for concurrent use.
type Session struct {
	client  *Client
	entries []string

	mu           sync.Mutex
	lookups      map[lookupKey]*cachedLookup
	lastAnswered int // index in entries of the VM that answered last
}

type lookupKey struct {
	service model.ServiceName
	caller  model.CallerName
}

// cachedLookup is the current lookup answer for a service and caller.
type cachedLookup struct {
	mu          sync.Mutex
	addresses   []addressState
	expires     time.Time
	unreachedAt map[string]time.Time
	err         error
	retryAt     time.Time // after err, no lookup is made before this time
}

// addressState is an address and the number of request ids used of its range.
type addressState struct {
	Address
	idsUsed uint64
}

// NewSession returns a session that makes its lookups at the entry VMs
// (host:port). A nil client uses the defaults.
func NewSession(client *Client, entries []string) *Session {
	if client == nil {
		client = new(Client)
	}
	return &Session{client: client, entries: slices.Clone(entries), lookups: make(map[lookupKey]*cachedLookup)}
}

// Query gives the request an id and sends it to the first daemon that is
// reached. Errors are those of Client.Query and ErrNoAddress. The returned id is
// the one that was sent last, with which the request can be repeated.
func (s *Session) Query(ctx context.Context, service model.ServiceName, q QueryRequest) (*Answer, model.RequestID, error) {
	cached := s.lookupFor(lookupKey{service: service, caller: q.Caller})
	for try := 1; ; try++ {
		address, id, err := s.nextAddress(ctx, cached, service, q.Caller)
		if err != nil {
			return nil, id, err
		}
		q.RequestID = id
		answer, _, err := s.client.Query(ctx, address, service, q)
		if !errors.Is(err, ErrUnreachable) || ctx.Err() != nil || try == maxAddressTries {
			return answer, id, err
		}
		cached.removeUnreached(address)
	}
}

func (s *Session) lookupFor(key lookupKey) *cachedLookup {
	s.mu.Lock()
	defer s.mu.Unlock()
	cached := s.lookups[key]
	if cached == nil {
		cached = &cachedLookup{unreachedAt: make(map[string]time.Time)}
		s.lookups[key] = cached
	}
	return cached
}

// nextAddress returns the preferred address and a new id of its range.
// Concurrent requests wait while one of them makes the lookup.
func (s *Session) nextAddress(ctx context.Context, cached *cachedLookup, service model.ServiceName, caller model.CallerName) (string, model.RequestID, error) {
	cached.mu.Lock()
	defer cached.mu.Unlock()
	now := time.Now()
	if now.After(cached.expires) || len(cached.addresses) == 0 {
		if now.Before(cached.retryAt) {
			return "", "", cached.err
		}
		s.refresh(ctx, cached, service, caller)
	}
	if len(cached.addresses) == 0 {
		return "", "", cached.err
	}
	a := &cached.addresses[0]
	a.idsUsed++
	return a.Address.Address, model.RequestID(fmt.Sprintf("%s.%d", a.RequestIDPrefix, a.idsUsed)), nil
}

// refresh replaces the lookup answer. Its age counts from the time before the
// lookup was sent.
func (s *Session) refresh(ctx context.Context, cached *cachedLookup, service model.ServiceName, caller model.CallerName) {
	cached.addresses = nil
	asked := time.Now()
	l, err := s.lookupAtAnyEntry(ctx, service, caller)
	if err == nil && len(l.Addresses) == 0 {
		err = errors.New("the answer to the lookup has no address")
	}
	if err != nil {
		cached.err = fmt.Errorf("%w: %w", ErrNoAddress, err)
		cached.retryAt = time.Now().Add(lookupRetry)
		return
	}
	for _, a := range l.Addresses {
		cached.addresses = append(cached.addresses, addressState{Address: a})
	}
	cached.moveUnreachedLast(asked)
	cached.expires = asked.Add(time.Duration(l.MaxAgeMS) * time.Millisecond)
}

// lookupAtAnyEntry makes the lookup at the entry VMs in turn until one answers,
// beginning with the one that answered last.
func (s *Session) lookupAtAnyEntry(ctx context.Context, service model.ServiceName, caller model.CallerName) (*Lookup, error) {
	s.mu.Lock()
	first := s.lastAnswered
	s.mu.Unlock()
	errs := []error{errors.New("no entry VM answered the lookup")}
	for i := range s.entries {
		at := (first + i) % len(s.entries)
		l, err := s.lookupAtEntry(ctx, s.entries[at], service, caller)
		if err == nil {
			s.mu.Lock()
			s.lastAnswered = at
			s.mu.Unlock()
			return l, nil
		}
		errs = append(errs, err)
	}
	return nil, errors.Join(errs...)
}

func (s *Session) lookupAtEntry(ctx context.Context, entry string, service model.ServiceName, caller model.CallerName) (*Lookup, error) {
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	return s.client.Lookup(ctx, entry, service, caller)
}

// moveUnreachedLast sorts addresses that were not reached within
// unreachedPenalty behind the others, the last failure last.
func (cached *cachedLookup) moveUnreachedLast(now time.Time) {
	for address, at := range cached.unreachedAt {
		if now.Sub(at) > unreachedPenalty {
			delete(cached.unreachedAt, address)
		}
	}
	slices.SortStableFunc(cached.addresses, func(a, b addressState) int {
		return cached.unreachedAt[a.Address.Address].Compare(cached.unreachedAt[b.Address.Address])
	})
}

// removeUnreached removes an address that was not reached and keeps the time.
func (cached *cachedLookup) removeUnreached(address string) {
	cached.mu.Lock()
	defer cached.mu.Unlock()
	cached.unreachedAt[address] = time.Now()
	cached.addresses = slices.DeleteFunc(cached.addresses, func(a addressState) bool { return a.Address.Address == address })
}
