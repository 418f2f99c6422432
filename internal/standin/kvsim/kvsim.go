// Package kvsim is a stand-in for the metadata store of the users' platform, for tests and the soak test. It has one revision
// counter, paged range reads, watches by long poll, and fault injection.
package kvsim

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// DefaultPageSize is the maximum number of items per page of a range read.
const DefaultPageSize = 50

// Mode is how the store answers requests.
type Mode string

// Modes of a store.
const (
	Healthy         Mode = ""
	Unavailable     Mode = "busy"   // answers 503
	TooManyRequests Mode = "many"   // answers 429
	Reset           Mode = "reset"  // resets the connection
	Unresponsive    Mode = "silent" // does not answer
)

// change is one write or deletion of a key.
type change struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Store is a stand-in store. mu guards all fields below it.
type Store struct {
	server *http.Server
	page   int

	mu              sync.Mutex
	revision        uint64
	items           map[string]change
	history         []change
	droppedRevision uint64        // newest revision that is no longer in the history
	changed         chan struct{} // closed and replaced at each change
	mode            Mode
	modeApplies     func(remote string) bool // by remote address of the caller; nil means all callers
	delay           time.Duration
	calls           map[string]int // by kind: key, range or watch
}

// New returns an empty store.
func New() *Store {
	s := &Store{page: DefaultPageSize, items: map[string]change{}, changed: make(chan struct{}), calls: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.withFaults("key", s.readKey))
	mux.HandleFunc("GET /kv-range", s.withFaults("range", s.readRange))
	mux.HandleFunc("GET /kv-watch", s.withFaults("watch", s.watch))
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	return s
}

// Serve serves requests on a listener until Close.
func (s *Store) Serve(l net.Listener) { _ = s.server.Serve(l) }

// Close stops the store.
func (s *Store) Close() { _ = s.server.Close() }

// Put writes a value and returns its revision. A value that is not a []byte is encoded as JSON.
func (s *Store) Put(key string, value any) uint64 {
	raw, isBytes := value.([]byte)
	if !isBytes {
		raw, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := change{Key: key, Value: raw, Created: s.items[key].Created}
	if c.Created == 0 {
		c.Created = s.revision + 1
	}
	return s.record(c)
}

// Delete removes a key and returns the revision of the store.
func (s *Store) Delete(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return s.revision
	}
	return s.record(change{Key: key, Deleted: true})
}

// record applies a change under the next revision and wakes the watches. The caller holds mu.
func (s *Store) record(c change) uint64 {
	s.revision++
	c.Revision = s.revision
	if c.Deleted {
		delete(s.items, c.Key)
	} else {
		s.items[c.Key] = c
	}
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// DropHistory drops the history of changes, so that watches from an older revision get status 410.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.droppedRevision = nil, s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetMode sets the mode for the callers whose remote address appliesTo accepts; nil means all callers.
func (s *Store) SetMode(m Mode, appliesTo func(remote string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode, s.modeApplies = m, appliesTo
}

// SetDelay delays each answer by d.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Calls returns the number of requests of a kind: key, range or watch.
func (s *Store) Calls(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[kind]
}

// withFaults counts the requests of a kind and applies the delay and the mode to them.
func (s *Store) withFaults(kind string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[kind]++
		mode, delay := s.mode, s.delay
		if s.modeApplies != nil && !s.modeApplies(r.RemoteAddr) {
			mode = Healthy
		}
		s.mu.Unlock()
		time.Sleep(delay)
		switch mode {
		case Unavailable:
			w.WriteHeader(http.StatusServiceUnavailable)
		case TooManyRequests:
			w.WriteHeader(http.StatusTooManyRequests)
		case Reset:
			panic(http.ErrAbortHandler)
		case Unresponsive:
			<-r.Context().Done()
		default:
			h(w, r)
		}
	}
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) readKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	item, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct {
		change
		AsOf uint64 `json:"as_of"`
	}{item, revision})
}

func (s *Store) readRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []change{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b change) int { return strings.Compare(a.Key, b.Key) })
	hasMore := len(items) > s.page
	if hasMore {
		items = items[:s.page]
	}
	writeJSON(w, map[string]any{"items": items, "has_more": hasMore, "as_of": revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMS, errWait := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || errWait != nil || waitMS > 30000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(waitMS) * time.Millisecond)
	prefix := r.URL.Query().Get("prefix")
	for {
		s.mu.Lock()
		gone := after < s.droppedRevision
		events := []change{}
		for _, c := range s.history {
			if c.Revision > after && strings.HasPrefix(c.Key, prefix) {
				events = append(events, c)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			writeJSON(w, map[string]any{"events": events, "as_of": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}
