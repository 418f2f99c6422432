package targetsim

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/target"
)

// codeFailed is the code of a response with status 500: the request ran, or may have run.
const codeFailed target.RefusalCode = "failed"

func (s *Server) refuse(w http.ResponseWriter, r *http.Request, f Faults, echo target.Echo, code target.RefusalCode) {
	s.counts.update(func(c *Counts) {
		switch code {
		case target.RefusalShed:
			c.Shed++
		case target.RefusalDraining:
			c.Draining++
		case target.RefusalVersionGone:
			c.VersionGone++
		default:
			c.OtherRefused++
		}
	})
	s.respond(w, r, f, http.StatusServiceUnavailable, &target.Refusal{Echo: echo, Code: code})
}

func (s *Server) fail(w http.ResponseWriter, r *http.Request, f Faults, echo target.Echo, message string) {
	s.respond(w, r, f, http.StatusInternalServerError, &target.Refusal{Echo: echo, Code: codeFailed, Message: message})
}

// respond sends a response with the load of the target, after applying the response faults to it.
func (s *Server) respond(w http.ResponseWriter, r *http.Request, f Faults, status int, v any) {
	load := s.load()
	if f.Load != nil {
		load = *f.Load
	}
	switch m := v.(type) {
	case *target.SearchResponse:
		m.Load = load
		f.applyWrongEcho(&m.Echo)
		if f.WrongEcho == EchoIndexVersion {
			m.IndexVersion++
		}
	case *target.CommandResponse:
		m.Load = load
		f.applyWrongEcho(&m.Echo)
	case *target.Refusal:
		m.Load = &load
		f.applyWrongEcho(&m.Echo)
	}
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if f.SwappedResponses {
		b = s.swapWithPrevious(b)
	}
	// Trailing white space keeps the JSON valid, so only the size limit of the client can reject the response.
	b = append(b, bytes.Repeat([]byte{' '}, f.OversizeBytes)...)
	sleep(r.Context(), s.cfg.NetworkDelay)
	writeBody(w, f.Truncate, status, b)
}

func (f Faults) applyWrongEcho(e *target.Echo) {
	switch f.WrongEcho {
	case EchoRequestID:
		e.RequestID += "-other"
	case EchoAttemptID:
		e.AttemptID += "-other"
	case EchoService:
		e.Service += "-other"
	}
}

// swapWithPrevious keeps a response body for the next request and returns the body kept before, or b when there is none.
func (s *Server) swapWithPrevious(b []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.previous
	s.previous = b
	if previous == nil {
		return b
	}
	return previous
}

func writeBody(w http.ResponseWriter, cut Truncation, status int, b []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if cut == "" {
		_, _ = w.Write(b)
		return
	}
	_, _ = w.Write(b[:len(b)/2])
	// Without the pause, the reset could reach the client before the client has read the first half.
	if cut == TruncateReset {
		_ = http.NewResponseController(w).Flush()
		time.Sleep(5 * time.Millisecond)
		panic(http.ErrAbortHandler)
	}
}
