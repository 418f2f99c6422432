package targetsim

import (
	"encoding/json"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/api"
)

// holdRequest is the body of POST /control/hold.
type holdRequest struct {
	Index
	Ranges []api.KeyRange `json:"ranges"`
}

func (s *Server) startControl() error {
	if s.cfg.ControlAddress == "" {
		return nil
	}
	ln, err := net.Listen("tcp", s.cfg.ControlAddress)
	if err != nil {
		return eris.Wrapf(err, "targetsim: listen on %s", s.cfg.ControlAddress)
	}
	h := &http.Server{Handler: s.controlHandler()}
	s.mu.Lock()
	s.control, s.controlAddr = h, ln.Addr().String()
	s.mu.Unlock()
	go func() { _ = h.Serve(ln) }()
	return nil
}

// controlHandler serves the control endpoint of the stand-in:
//
//	GET  /control/counts             Counts
//	GET  /control/runs?request_id=   number of runs of a request
//	GET  /control/faults             Faults; PUT replaces them
//	POST /control/hold               index version, map version and ranges to hold
//	POST /control/retire             index version to retire, as {"version": N}
//	POST /control/drain, /undrain, /crash, /restart
func (s *Server) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) })
	mux.HandleFunc("GET /control/runs", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, s.Runs(r.URL.Query().Get("request_id")))
	})
	mux.HandleFunc("GET /control/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults()) })
	mux.HandleFunc("PUT /control/faults", withDecodedBody(func(f Faults) error { s.SetFaults(f); return nil }))
	mux.HandleFunc("POST /control/hold", withDecodedBody(func(h holdRequest) error { s.HoldIndex(h.Index, h.Ranges); return nil }))
	mux.HandleFunc("POST /control/retire", withDecodedBody(func(ix Index) error { s.RetireIndex(ix.Version); return nil }))
	for path, f := range map[string]func() error{
		"drain":   func() error { s.Drain(); return nil },
		"undrain": func() error { s.Undrain(); return nil },
		"crash":   func() error { s.Crash(); return nil },
		"restart": s.Restart,
	} {
		mux.HandleFunc("POST /control/"+path, func(w http.ResponseWriter, _ *http.Request) { writeResult(w, f()) })
	}
	return mux
}

// withDecodedBody returns a handler that decodes the JSON body and calls f. It rejects unknown fields.
func withDecodedBody[T any](f func(T) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var v T
		d := json.NewDecoder(r.Body)
		d.DisallowUnknownFields()
		if err := d.Decode(&v); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeResult(w, f(v))
	}
}

func writeResult(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
