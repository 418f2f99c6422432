package configservicesim

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/configservice"
)

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+configservice.PathValues+"{key...}", s.withFaultsAndLimit(&s.counts.Gets, s.get))
	mux.HandleFunc("GET "+configservice.PathWatch+"{key...}", s.withFaultsAndLimit(&s.counts.Watches, s.watch))
	mux.HandleFunc("GET "+configservice.PathInstances, s.withFaultsAndLimit(&s.counts.Instances,
		func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.store.list()) }))
	return mux
}

// withFaultsAndLimit counts the requests of one kind and applies the faults and the read limit to them.
func (s *Server) withFaultsAndLimit(counter *int64, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f := s.Faults()
		if f.Down {
			s.mu.Lock()
			s.counts.Dropped++
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		withinLimit := s.countCall(counter, time.Now())
		waitForChange(r, time.Duration(f.SlowMS)*time.Millisecond, nil)
		if !withinLimit {
			writeError(w, http.StatusTooManyRequests, "limit_exceeded")
			return
		}
		next(w, r)
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	v, ok, _ := s.store.get(r.PathValue("key"))
	if !ok {
		writeError(w, http.StatusNotFound, "not_found")
		return
	}
	writeJSON(w, http.StatusOK, v)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get(configservice.ParamAfter), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "malformed_after")
		return
	}
	timeoutMS, err := strconv.ParseInt(r.URL.Query().Get(configservice.ParamTimeoutMS), 10, 64)
	if err != nil || timeoutMS < 0 {
		writeError(w, http.StatusBadRequest, "malformed_timeout_ms")
		return
	}
	end := time.Now().Add(min(time.Duration(timeoutMS)*time.Millisecond, MaxWatchWait))
	for {
		v, ok, changed := s.store.get(r.PathValue("key"))
		if ok && (v.Revision > after || s.Faults().RepeatOld) {
			writeJSON(w, http.StatusOK, v)
			return
		}
		if !waitForChange(r, time.Until(end), changed) {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		if s.Faults().Down {
			panic(http.ErrAbortHandler)
		}
	}
}

// waitForChange waits for at most d. It returns true when changed closes, and false when d has passed or the reader has
// disconnected.
func waitForChange(r *http.Request, d time.Duration, changed <-chan struct{}) bool {
	if d <= 0 {
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-changed:
		return true
	case <-t.C:
	case <-r.Context().Done():
	}
	return false
}

// controlHandler serves the control endpoint of the stand-in:
//
//	GET  /control/counts      Counts
//	GET  /control/faults      Faults; PUT replaces them
//	POST /control/publish     {"key", "data"}, data in base64
//	POST /control/instances   one instance to add or to replace
//	POST /control/mark        {"id", "state"}
func (s *Server) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Counts()) })
	mux.HandleFunc("GET /control/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, s.Faults()) })
	mux.HandleFunc("PUT /control/faults", withDecodedBody(func(w http.ResponseWriter, f Faults) {
		s.SetFaults(f)
		w.WriteHeader(http.StatusNoContent)
	}))
	mux.HandleFunc("POST /control/publish", withDecodedBody(func(w http.ResponseWriter, v configservice.Value) {
		stored, err := s.Publish(v.Key, v.Data)
		if err != nil {
			writeError(w, http.StatusRequestEntityTooLarge, "too_large")
			return
		}
		writeJSON(w, http.StatusOK, stored.Revision)
	}))
	mux.HandleFunc("POST /control/instances", withDecodedBody(func(w http.ResponseWriter, instance configservice.Instance) {
		s.PutInstance(instance)
		w.WriteHeader(http.StatusNoContent)
	}))
	mux.HandleFunc("POST /control/mark", withDecodedBody(func(w http.ResponseWriter, instance configservice.Instance) {
		if !s.Mark(instance.ID, instance.State) {
			writeError(w, http.StatusNotFound, "not_found")
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}))
	return mux
}

// withDecodedBody returns a handler that decodes the JSON body and calls f. It rejects unknown fields.
func withDecodedBody[T any](f func(http.ResponseWriter, T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var v T
		d := json.NewDecoder(r.Body)
		d.DisallowUnknownFields()
		if err := d.Decode(&v); err != nil {
			writeError(w, http.StatusBadRequest, err.Error())
			return
		}
		f(w, v)
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, code string) {
	writeJSON(w, status, configservice.ErrorBody{Code: code})
}
