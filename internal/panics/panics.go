// Package panics limits what an unexpected panic ends. A panic in one request, one message, one document or one round of a
// background loop ends just that. A panic while shared state was locked may have left the state half-changed, so it stops the
// process in order: running requests end, and the platform starts it again. Mutex tells the two apart.
package panics

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

// Metric counts the panics by place.
const Metric = "medlarshunt_panics_total"

const (
	// minRestartDelay and maxRestartDelay bound the pause before a background loop starts again. It doubles with each panic
	// until the loop has run for maxRestartDelay.
	minRestartDelay = 100 * time.Millisecond
	maxRestartDelay = 5 * time.Second
	// maxStackBytes bounds the stack in a log line.
	maxStackBytes = 8 << 10
)

// Handler logs and counts panics. It is safe for concurrent use. A nil *Handler contains nothing: panics go on, so that tests
// of a component without a handler see them.
type Handler struct {
	log  *logrus.Entry
	set  *metrics.Set
	stop func()

	stopOnce sync.Once
}

// New returns a handler. stop is called once, in a goroutine of its own, after a panic that may have broken shared state; it
// begins the ordered stop of the process.
func New(log *logrus.Entry, set *metrics.Set, stop func()) *Handler {
	return &Handler{log: log, set: set, stop: stop}
}

// Contain must be deferred directly. It ends a panic of the surrounding function, and then calls each of after, which put the
// result in order. place names the kind of work for logs and metrics.
func (h *Handler) Contain(place string, fields logrus.Fields, after ...func()) {
	value := recover()
	if value == nil {
		return
	}
	h.Record(place, value, fields)
	for _, f := range after {
		f()
	}
}

// Record logs and counts a panic that other code has recovered, and stops the process if shared state may be broken. A nil handler
// panics again.
func (h *Handler) Record(place string, value any, fields logrus.Fields) {
	if h == nil {
		panic(value)
	}
	h.record(place, value, fields)
}

func (h *Handler) record(place string, value any, fields logrus.Fields) {
	stack := debug.Stack()
	broken, isBroken := value.(*BrokenState)
	h.set.GetOrCreateCounter(fmt.Sprintf(`%s{place=%q}`, Metric, place)).Inc()
	log := h.log.WithFields(fields).WithFields(logrus.Fields{
		"place": place, "panic": fmt.Sprint(value), "stack": string(stack[:min(len(stack), maxStackBytes)]),
	})
	if !isBroken {
		log.Error("panic contained; the process goes on")
		return
	}
	log.WithField("cause", fmt.Sprint(broken.Cause)).Error("panic with shared state locked; stopping the process")
	h.stopOnce.Do(func() { go h.stop() })
}

// Loop runs a background loop until it returns without a panic or ctx ends. After a panic it starts the loop again.
func (h *Handler) Loop(ctx context.Context, place string, run func(context.Context)) {
	delay := minRestartDelay
	for {
		started := time.Now()
		if h.runOnce(ctx, place, run) || ctx.Err() != nil {
			return
		}
		if time.Since(started) >= maxRestartDelay {
			delay = minRestartDelay
		}
		timer := time.NewTimer(delay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		delay = min(2*delay, maxRestartDelay)
	}
}

// runOnce reports whether the loop returned without a panic.
func (h *Handler) runOnce(ctx context.Context, place string, run func(context.Context)) (returned bool) {
	defer h.Contain(place, nil)
	run(ctx)
	return true
}
