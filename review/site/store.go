package site

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is one object of the store.
type object struct {
	Meta meta            `json:"meta"`
	Spec json.RawMessage `json:"spec"`
}

type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	Created    uint64   `json:"created"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type storeEvent struct {
	kind    string
	at      time.Time
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

// Store is a stand-in for the platform's store as PROTOCOL.md describes it. All calls
// are linearizable, but a list with staleOk may come from a copy that lags behind.
type Store struct {
	// StaleAges are the ages of the copies that answer calls with staleOk; one is picked
	// at random for each call. Without any, such calls are current too.
	StaleAges []time.Duration

	mu       sync.Mutex
	rand     *rand.Rand
	revision uint64
	first    uint64
	objects  map[string]map[string]object
	history  []storeEvent
	changed  chan struct{}
	record   *Record
	// turnedAway are the machines whose calls get no answer; silence is closed when they
	// are served again.
	turnedAway map[string]bool
	silence    chan struct{}
	// readers are the machines that have read the list of leafs, and when.
	readers map[string]time.Time
}

// NewStore returns an empty store that notes acknowledged changes in a record.
func NewStore(r *Record, seed uint64) *Store {
	return &Store{
		record: r, rand: rand.New(rand.NewPCG(seed, 1)), revision: 100, first: 100,
		objects: map[string]map[string]object{}, changed: make(chan struct{}),
		turnedAway: map[string]bool{}, silence: make(chan struct{}), readers: map[string]time.Time{},
	}
}

// Put writes an object as the operator or a leaf does, and returns when the store has
// acknowledged it.
func (s *Store) Put(kind, name string, spec any) time.Time {
	data, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.put(kind, name, data)
	if kind != "daemons" {
		s.record.Printf("store: %s/%s written, revision %d: %.120s", kind, name, o.Meta.Revision, data)
	}
	return time.Now()
}

func (s *Store) put(kind, name string, spec json.RawMessage) object {
	old, ok := s.objects[kind][name]
	if ok && string(old.Spec) == string(spec) {
		return old
	}
	s.revision++
	o := object{Meta: meta{Name: name, Revision: s.revision, Created: s.revision, Finalizers: []string{}}, Spec: spec}
	if ok {
		o.Meta.Created = old.Meta.Created
	}
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.objects[kind][name] = o
	s.publish(storeEvent{kind: kind, Object: o})
	return o
}

// Delete removes an object and returns when the store has acknowledged it.
func (s *Store) Delete(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		s.revision++
		o.Meta.Revision = s.revision
		delete(s.objects[kind], name)
		s.publish(storeEvent{kind: kind, Object: o, Deleted: true})
		s.record.Printf("store: %s/%s deleted, revision %d", kind, name, s.revision)
	}
	return time.Now()
}

func (s *Store) publish(e storeEvent) {
	e.at = time.Now()
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// TurnAway makes the store leave the calls of some machines without an answer, those
// included that wait for changes.
func (s *Store) TurnAway(machines []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turnedAway = map[string]bool{}
	for _, name := range machines {
		s.turnedAway[name] = true
	}
	close(s.silence)
	s.silence = make(chan struct{})
}

// LastReaders returns the machines that have read the list of leafs last.
func (s *Store) LastReaders(n int) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.readers {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int { return s.readers[b].Compare(s.readers[a]) })
	return names[:min(n, len(names))]
}

// HandlerFor returns the store as one machine reaches it.
func (s *Store) HandlerFor(machine string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, machine) })
}

// silent reports whether a machine is turned away.
func (s *Store) silent(machine string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.turnedAway[machine]
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request, machine string) {
	if s.silent(machine) {
		<-r.Context().Done()
		return
	}
	if strings.HasSuffix(r.URL.Path, "/servers") {
		s.mu.Lock()
		s.readers[machine] = time.Now()
		s.mu.Unlock()
	}
	// The stated time of an answer.
	time.Sleep(4 * time.Millisecond)
	kind, name, named := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	query := r.URL.Query()
	switch {
	case r.Method == http.MethodGet && query.Has("watch"):
		s.watch(w, r, kind, machine)
	case r.Method == http.MethodGet && !named:
		s.list(w, kind, query.Get("staleOk") == "1")
	case r.Method == http.MethodPost, r.Method == http.MethodPut:
		s.write(w, r, kind)
	case r.Method == http.MethodDelete:
		s.Delete(kind, name)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// list answers with all objects of a kind, which are few enough for one page.
func (s *Store) list(w http.ResponseWriter, kind string, mayBeStale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var age time.Duration
	if mayBeStale && len(s.StaleAges) > 0 {
		age = s.StaleAges[s.rand.IntN(len(s.StaleAges))]
	}
	until := time.Now().Add(-age)
	items, asOf := map[string]object{}, s.first
	for _, e := range s.history {
		if e.at.After(until) {
			break
		}
		asOf = e.Object.Meta.Revision
		switch {
		case e.kind != kind:
		case e.Deleted:
			delete(items, e.Object.Meta.Name)
		default:
			items[e.Object.Meta.Name] = e.Object
		}
	}
	list := make([]object, 0, len(items))
	for _, o := range items {
		list = append(list, o)
	}
	slices.SortFunc(list, func(a, b object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	if age > 0 {
		s.record.Printf("store: a list of %s with staleOk is %v old, as of revision %d", kind, age, asOf)
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": list, "more": false, "asOf": asOf})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind, machine string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for over := false; ; {
		s.mu.Lock()
		events := []storeEvent{}
		for _, e := range s.history {
			if e.kind == kind && e.Object.Meta.Revision > since {
				events = append(events, e)
			}
		}
		asOf, changed, silence, silent := s.revision, s.changed, s.silence, s.turnedAway[machine]
		s.mu.Unlock()
		if silent {
			<-r.Context().Done()
			return
		}
		if len(events) > 0 || over {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "asOf": asOf})
			return
		}
		select {
		case <-changed:
		case <-silence:
		case <-timeout:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind string) {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Meta.Name == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known, ok := s.objects[kind][o.Meta.Name]
	switch {
	case r.Method == http.MethodPost && ok, o.Meta.Revision != 0 && o.Meta.Revision != known.Meta.Revision:
		writeJSON(w, http.StatusConflict, known)
	case r.Method == http.MethodPut && !ok:
		w.WriteHeader(http.StatusNotFound)
	default:
		writeJSON(w, http.StatusOK, s.put(kind, o.Meta.Name, o.Spec))
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}
