// Package virtualtime runs tests on the virtual clock of testing/synctest.
package virtualtime

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

// Test runs f in a bubble of testing/synctest.
//
// Under the race detector it limits the process to one processor while any bubble runs. In Go 1.26 the channel timers of
// a bubble share one context of the race detector, which is not safe for concurrent use, and maybeRunChan
// (runtime/time.go) runs them on the thread of any goroutine that operates on such a channel. On several processors the
// detector then crashes at random (SIGSEGV in __tsan::SlotLock, or "CHECK failed: tsan_rtl.cpp:346"). It finds races on
// one processor as well, since it compares the order of synchronization and not the time of accesses.
func Test(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	if raceEnabled {
		processorLimit.enter()
		defer processorLimit.leave()
	}
	synctest.Test(t, f)
}

var processorLimit oneProcessor

// oneProcessor limits the process to one processor while any bubble runs. mu guards all fields.
type oneProcessor struct {
	mu         sync.Mutex
	bubbles    int
	savedProcs int // GOMAXPROCS to restore after the last bubble
}

func (p *oneProcessor) enter() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bubbles == 0 {
		p.savedProcs = runtime.GOMAXPROCS(1)
	}
	p.bubbles++
}

func (p *oneProcessor) leave() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bubbles--; p.bubbles == 0 {
		runtime.GOMAXPROCS(p.savedProcs)
	}
}
