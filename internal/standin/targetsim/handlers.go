package targetsim

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/target"
)

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+target.PathSearch, s.search)
	mux.HandleFunc("POST "+target.PathCommand, s.command)
	mux.HandleFunc("GET "+target.PathHealth, s.health)
	return mux
}

// receivedRequest is a request that waits for a slot or runs in it.
type receivedRequest struct {
	echo    target.Echo
	timeout time.Duration
	body    []byte
	// refusalCode is called in the slot. It returns the code of a refusal, or empty when the request may run.
	refusalCode func() target.RefusalCode
	// execute counts the run and returns the response.
	execute func() any
}

func (s *Server) search(w http.ResponseWriter, r *http.Request) {
	var req target.SearchRequest
	if !s.decodeBody(w, r, &req) {
		return
	}
	snap := api.Snapshot{IndexVersion: req.IndexVersion, MapVersion: req.MapVersion}
	s.handle(w, r, receivedRequest{
		echo: req.Echo, timeout: time.Duration(req.TimeoutMS) * time.Millisecond, body: req.Body,
		refusalCode: func() target.RefusalCode {
			if _, ok := s.heldRanges(snap); !ok {
				return target.RefusalVersionGone
			}
			return ""
		},
		execute: func() any {
			s.counts.countSearchRun(req.RequestID)
			held, _ := s.heldRanges(snap)
			ranges := intersect(held, req.Ranges)
			hits, truncated := Find(s.cfg.Documents, snap.IndexVersion, ranges, req.Body, req.Limit)
			return &target.SearchResponse{Echo: req.Echo, IndexVersion: req.IndexVersion, MapVersion: req.MapVersion,
				Ranges: ranges, Hits: hits, Truncated: truncated}
		},
	})
}

func (s *Server) command(w http.ResponseWriter, r *http.Request) {
	var req target.CommandRequest
	if !s.decodeBody(w, r, &req) {
		return
	}
	s.handle(w, r, receivedRequest{
		echo: req.Echo, timeout: time.Duration(req.TimeoutMS) * time.Millisecond, body: req.Body,
		refusalCode: func() target.RefusalCode { return "" },
		execute: func() any {
			s.counts.countCommandRun(req.RequestID)
			done, _ := json.Marshal(map[string]any{"done": req.RequestID})
			return &target.CommandResponse{Echo: req.Echo, Response: done}
		},
	})
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	s.counts.update(func(c *Counts) { c.Health++ })
	l := s.load()
	h := target.Health{Ready: !l.Draining, Load: l}
	if f := s.Faults(); f.Health != nil {
		h = *f.Health
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(h)
}

func (s *Server) decodeBody(w http.ResponseWriter, r *http.Request, into any) bool {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err != nil {
		return false
	}
	if err := json.Unmarshal(b, into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// handle answers one request: it refuses the request, or queues it for a slot and runs it.
func (s *Server) handle(w http.ResponseWriter, r *http.Request, c receivedRequest) {
	f := s.Faults()
	ctx := r.Context()
	if f.LateByMS > 0 {
		ctx = context.WithoutCancel(ctx)
	} else if c.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.timeout)
		defer cancel()
	}
	sleep(ctx, s.cfg.NetworkDelay)
	draining := s.drainDuration()
	s.counts.countReceived(draining)
	if c.echo.Service != s.cfg.Service {
		s.refuse(w, r, f, c.echo, target.RefusalNotRun)
		return
	}
	if draining > 0 && draining > s.cfg.DrainGrace {
		s.refuse(w, r, f, c.echo, target.RefusalDraining)
		return
	}
	if err := s.slots.acquire(ctx); err != nil {
		s.answerWithoutSlot(w, r, f, c.echo, err)
		return
	}
	defer s.slots.release()
	if code := c.refusalCode(); code != "" {
		s.refuse(w, r, f, c.echo, code)
		return
	}
	s.runRequest(ctx, w, r, f, c)
}

// answerWithoutSlot answers a request that got no slot and therefore did not run.
func (s *Server) answerWithoutSlot(w http.ResponseWriter, r *http.Request, f Faults, echo target.Echo, err error) {
	switch {
	case errors.Is(err, errQueueFull):
		s.refuse(w, r, f, echo, target.RefusalShed)
	case r.Context().Err() != nil:
		s.counts.update(func(c *Counts) { c.Cancelled++ })
	default:
		s.counts.update(func(c *Counts) { c.Expired++ })
		s.refuse(w, r, f, echo, target.RefusalNotRun)
	}
}

func (s *Server) runRequest(ctx context.Context, w http.ResponseWriter, r *http.Request, f Faults, c receivedRequest) {
	s.gate.waitOpen(ctx.Done())
	resp := c.execute()
	if f.CrashMarker != "" && bytes.Contains(c.body, []byte(f.CrashMarker)) {
		sleep(ctx, time.Duration(f.CrashAfterMS)*time.Millisecond)
		s.Crash()
		return
	}
	ok := sleep(ctx, f.scaleServiceTime(s.cfg.ServiceTime.sample(s.cfg.ID, c.echo.RequestID, c.echo.AttemptID)))
	ok = sleep(ctx, time.Duration(f.LateByMS)*time.Millisecond) && ok
	switch {
	case !ok && r.Context().Err() != nil:
		s.counts.update(func(c *Counts) { c.Cancelled++ })
	case !ok:
		s.counts.update(func(c *Counts) { c.Expired++ })
		s.fail(w, r, f, c.echo, "the deadline passed during the run")
	case f.DropConnections:
		s.dropConnections()
	case f.FailRuns:
		s.fail(w, r, f, c.echo, "the run failed")
	default:
		s.counts.update(func(c *Counts) { c.Completed++ })
		s.respond(w, r, f, http.StatusOK, resp)
	}
}

// sleep waits for d. It returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
