package targetsim

import (
	"context"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

var errQueueFull = eris.New("targetsim: queue is full")

// slots limits the number of requests that run concurrently and the number that wait for a slot.
type slots struct {
	taken    chan struct{} // one element per occupied slot
	maxQueue int64
	waiting  atomic.Int64
}

func newSlots(n, queue int) *slots {
	return &slots{taken: make(chan struct{}, n), maxQueue: int64(queue)}
}

// acquire takes a slot, or waits for one in FIFO order until ctx ends.
func (s *slots) acquire(ctx context.Context) error {
	select {
	case s.taken <- struct{}{}:
		return nil
	default:
	}
	defer s.waiting.Add(-1)
	if s.waiting.Add(1) > s.maxQueue {
		return errQueueFull
	}
	select {
	case s.taken <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *slots) release() { <-s.taken }

func (s *slots) inFlight() int { return len(s.taken) }

func (s *slots) queued() int { return int(s.waiting.Load()) }
