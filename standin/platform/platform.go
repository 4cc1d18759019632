// Package platform is a stand-in for the platform's object API and VM list. It
// keeps everything in memory and can be told to fail in the ways that the
// platform fails: outages, delays, lost replies, stale reads and a lagging VM
// list.
package platform

import (
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// MaxValue is the largest value in bytes that an object can have.
const MaxValue = 1 << 20

// Limits of the platform in calls per second.
const (
	DefaultReadRate  = 2000
	DefaultWriteRate = 300
)

// defaultWatch bounds a watch that names no timeout; maxWatch bounds every watch.
const (
	defaultWatch = 10 * time.Second
	maxWatch     = 60 * time.Second
)

// Errors of Put.
var (
	ErrConflict = errors.New("platform: object has another version")
	ErrTooLarge = errors.New("platform: value is larger than 1 MB")
)

// Options set up a Server. Rates of 0 take the defaults.
type Options struct {
	// ReadRate and WriteRate are in calls per second.
	ReadRate, WriteRate float64
	// Delay is added to each call.
	Delay time.Duration
}

// Object is one stored value. In JSON the value is base64.
type Object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// VM is one line of the VM list; State is "live" or "leaving".
type VM struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

// Counts are the calls received since the start or the last reset. A waiting
// watch is one call. Limited and Refused are contained in the other counts.
type Counts struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
	Lists   int `json:"lists"`
	VMs     int `json:"vms"`
	// Limited calls were over the rate limit, Refused ones fell into an outage.
	Limited int `json:"limited"`
	Refused int `json:"refused"`
	// Waiting is the number of watches that wait now.
	Waiting int `json:"waiting"`
}

// vmList is a VM list and the time from which it is shown.
type vmList struct {
	from time.Time
	vms  []VM
}

// Server is the stand-in. Its methods may be called at any time.
type Server struct {
	mu      sync.Mutex
	objects map[string]Object
	// stale is the copy that answers reads while it is not nil.
	stale   map[string]Object
	changed chan struct{}
	// lastVersion is the highest version given to any object, so that an
	// object's versions rise even when it is deleted and created again.
	lastVersion uint64
	vms         []vmList
	counts      Counts
	outage      bool
	delay       time.Duration
	loseReplies int
	reads       *rate.Limiter
	writes      *rate.Limiter
}

// New returns a server without objects and VMs.
func New(o Options) *Server {
	if o.ReadRate == 0 {
		o.ReadRate = DefaultReadRate
	}
	if o.WriteRate == 0 {
		o.WriteRate = DefaultWriteRate
	}
	return &Server{
		objects: make(map[string]Object),
		changed: make(chan struct{}),
		delay:   o.Delay,
		reads:   rate.NewLimiter(rate.Limit(o.ReadRate), max(1, int(o.ReadRate))),
		writes:  rate.NewLimiter(rate.Limit(o.WriteRate), max(1, int(o.WriteRate))),
	}
}

// SetOutage starts or ends an outage: every call is answered 503, waiting
// watches included.
func (s *Server) SetOutage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outage = on
	s.wake()
}

// SetDelay adds d to every call.
func (s *Server) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// LoseReplies lets the next n writes take effect and closes their connections
// without an answer.
func (s *Server) LoseReplies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseReplies = n
}

// SetStale answers reads from a copy of the objects as they are now, until it
// is turned off. Writes and their conditions use the current objects.
func (s *Server) SetStale(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = nil
	if on {
		s.stale = maps.Clone(s.objects)
	}
	s.wake()
}

// SetVMs sets the VM list, which is shown after lag.
func (s *Server) SetVMs(vms []VM, lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = append(s.vms, vmList{from: time.Now().Add(lag), vms: slices.Clone(vms)})
}

// VMs returns the VM list as it is shown now.
func (s *Server) VMs() []VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	shown := []VM{}
	for _, l := range s.vms {
		if !l.from.After(now) {
			shown = l.vms
		}
	}
	return slices.Clone(shown)
}

// Counts returns the calls received.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// ResetCounts sets all counts but Waiting to zero.
func (s *Server) ResetCounts() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts = Counts{Waiting: s.counts.Waiting}
}

// Get returns the current object, whatever copy the reads see.
func (s *Server) Get(key string) (Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	return o, ok
}

// Put stores a value if the object still has ifVersion, 0 meaning that it does
// not exist, and returns the new version. On ErrConflict it returns the
// current version.
func (s *Server) Put(key string, value []byte, ifVersion uint64) (uint64, error) {
	return s.put(key, value, &ifVersion)
}

func (s *Server) put(key string, value []byte, ifVersion *uint64) (uint64, error) {
	if len(value) > MaxValue {
		return 0, ErrTooLarge
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[key].Version
	if ifVersion != nil && *ifVersion != current {
		return current, ErrConflict
	}
	s.lastVersion++
	s.objects[key] = Object{Key: key, Version: s.lastVersion, Value: slices.Clone(value)}
	s.wake()
	return s.lastVersion, nil
}

// wake lets every waiting watch look again. The caller holds mu.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// read returns the object that readers see and a channel that is closed at
// the next change.
func (s *Server) read(key string) (o Object, found, outage bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, found = s.visible()[key]
	return o, found, s.outage, s.changed
}

// list returns the visible objects whose keys have the prefix, by key.
func (s *Server) list(prefix string) []Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	objects := []Object{}
	for key, o := range s.visible() {
		if strings.HasPrefix(key, prefix) {
			objects = append(objects, o)
		}
	}
	slices.SortFunc(objects, func(a, b Object) int { return strings.Compare(a.Key, b.Key) })
	return objects
}

func (s *Server) visible() map[string]Object {
	if s.stale != nil {
		return s.stale
	}
	return s.objects
}
