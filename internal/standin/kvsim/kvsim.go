// Package kvsim is a stand-in for the metadata store of the users' platform: one revision counter, range reads in pages,
// and watches by long poll, with switchable faults. It is for tests and the soak.
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

// DefaultPage is the number of items of a page.
const DefaultPage = 50

// Mode is how the store treats calls.
type Mode string

// Modes of a store.
const (
	Serving Mode = ""
	Busy    Mode = "busy"   // answers 503
	Many    Mode = "many"   // answers 429
	Reset   Mode = "reset"  // resets the connection
	Silent  Mode = "silent" // does not answer
)

// change is one write or removal.
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

	mu       sync.Mutex
	revision uint64
	items    map[string]change
	history  []change
	dropped  uint64 // changes up to it are no longer in the history
	wake     chan struct{}
	mode     Mode
	modeFor  func(remote string) bool // nil for all callers
	delay    time.Duration
	calls    map[string]int
}

// New returns an empty store.
func New() *Store {
	s := &Store{page: DefaultPage, items: map[string]change{}, wake: make(chan struct{}), calls: map[string]int{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.counted("key", s.key))
	mux.HandleFunc("GET /kv-range", s.counted("range", s.list))
	mux.HandleFunc("GET /kv-watch", s.counted("watch", s.watch))
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second}
	return s
}

// Serve serves a listener until Close.
func (s *Store) Serve(l net.Listener) { _ = s.server.Serve(l) }

// Close ends the store.
func (s *Store) Close() { _ = s.server.Close() }

// Put writes a value, which is encoded as JSON unless it is bytes, and returns the revision of the acknowledgement.
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

// Delete removes a value.
func (s *Store) Delete(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return s.revision
	}
	return s.record(change{Key: key, Deleted: true})
}

// record appends a change and wakes the watches. The caller holds mu.
func (s *Store) record(c change) uint64 {
	s.revision++
	c.Revision = s.revision
	if c.Deleted {
		delete(s.items, c.Key)
	} else {
		s.items[c.Key] = c
	}
	s.history = append(s.history, c)
	close(s.wake)
	s.wake = make(chan struct{})
	return s.revision
}

// DropHistory forgets all changes: watches from an older revision are answered 410.
func (s *Store) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.dropped = nil, s.revision
	close(s.wake)
	s.wake = make(chan struct{})
}

// SetMode changes how calls are treated; only selects the callers that it holds for, nil means all.
func (s *Store) SetMode(m Mode, only func(remote string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode, s.modeFor = m, only
}

// SetDelay makes each answer come later.
func (s *Store) SetDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

// Calls returns the number of calls of a kind: key, range or watch.
func (s *Store) Calls(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[kind]
}

func (s *Store) counted(kind string, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[kind]++
		mode, delay := s.mode, s.delay
		if s.modeFor != nil && !s.modeFor(r.RemoteAddr) {
			mode = Serving
		}
		s.mu.Unlock()
		time.Sleep(delay)
		switch mode {
		case Busy:
			w.WriteHeader(http.StatusServiceUnavailable)
		case Many:
			w.WriteHeader(http.StatusTooManyRequests)
		case Reset:
			panic(http.ErrAbortHandler)
		case Silent:
			<-r.Context().Done()
		default:
			h(w, r)
		}
	}
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, struct {
		change
		AsOf uint64 `json:"as_of"`
	}{it, revision})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	items := []change{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b change) int { return strings.Compare(a.Key, b.Key) })
	more := len(items) > s.page
	if more {
		items = items[:s.page]
	}
	reply(w, map[string]any{"items": items, "has_more": more, "as_of": revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, errWait := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || errWait != nil || wait > 30000 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	prefix := r.URL.Query().Get("prefix")
	for {
		s.mu.Lock()
		gone := after < s.dropped
		events := []change{}
		for _, c := range s.history {
			if c.Revision > after && strings.HasPrefix(c.Key, prefix) {
				events = append(events, c)
			}
		}
		revision, wake := s.revision, s.wake
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-wake:
		case <-deadline:
			reply(w, map[string]any{"events": events, "as_of": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}
