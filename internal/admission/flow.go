package admission

import (
	"container/heap"
	"time"
)

// Handle identifies an admitted or queued search. Handles are never reused.
type Handle uint64

// queuedSearch is an element of a flow's heap.
type queuedSearch struct {
	handle    Handle
	flow      *flow
	caller    *caller
	deadline  time.Time
	heapIndex int // in flow.entries
}

// flow is the heap of the queued searches of one caller and kind; the earliest deadline comes first.
type flow struct {
	kind         string
	weight       float64
	virtualStart float64 // virtual time, within its caller, at which the flow is next served
	entries      []*queuedSearch
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (f *flow) Len() int { return len(f.entries) }

// Less orders by deadline and then by arrival.
func (f *flow) Less(i, j int) bool {
	a, b := f.entries[i], f.entries[j]
	if a.deadline.Equal(b.deadline) {
		return a.handle < b.handle
	}
	return a.deadline.Before(b.deadline)
}

// Swap exchanges two entries and keeps their heap indexes up to date.
func (f *flow) Swap(i, j int) {
	f.entries[i], f.entries[j] = f.entries[j], f.entries[i]
	f.entries[i].heapIndex, f.entries[j].heapIndex = i, j
}

// Push appends a *queuedSearch.
func (f *flow) Push(x any) {
	e := x.(*queuedSearch)
	e.heapIndex = len(f.entries)
	f.entries = append(f.entries, e)
}

// Pop removes the last entry.
func (f *flow) Pop() any {
	last := len(f.entries) - 1
	e := f.entries[last]
	f.entries[last] = nil
	f.entries = f.entries[:last]
	return e
}

// latest returns the entry with the latest deadline.
func (f *flow) latest() *queuedSearch {
	last := 0
	for i := range f.entries {
		if f.Less(last, i) {
			last = i
		}
	}
	return f.entries[last]
}

// caller holds the flows of one caller and its position in the shared virtual time.
type caller struct {
	name         string
	weight       float64
	limit        int // concurrent searches, 0 for no limit
	running      int
	queued       int
	virtualStart float64 // shared virtual time at which the caller is next served
	virtualTime  float64 // virtual time of the flows of this caller
	flows        []*flow // one per kind; a slice, because kinds are few
}

func (c *caller) atLimit() bool { return c.limit > 0 && c.running >= c.limit }

// idle reports whether the caller has no running and no queued searches.
func (c *caller) idle() bool { return c.running == 0 && c.queued == 0 }

func (c *caller) flow(kind string, weight float64) *flow {
	for _, f := range c.flows {
		if f.kind == kind {
			f.weight = weight
			return f
		}
	}
	f := &flow{kind: kind, weight: weight}
	c.flows = append(c.flows, f)
	return f
}

func (c *caller) push(e *queuedSearch) {
	f := e.flow
	if len(f.entries) == 0 {
		// An empty flow accumulates no credit: it starts at the current virtual time.
		f.virtualStart = max(f.virtualStart, c.virtualTime)
	}
	heap.Push(f, e)
	c.queued++
}

func (c *caller) remove(e *queuedSearch) {
	heap.Remove(e.flow, e.heapIndex)
	c.queued--
}

// nextFlow returns the flow to serve: the non-empty one with the least virtual start.
func (c *caller) nextFlow() *flow {
	var best *flow
	for _, f := range c.flows {
		if len(f.entries) > 0 && (best == nil || f.virtualStart < best.virtualStart) {
			best = f
		}
	}
	return best
}

// charge advances the virtual times of the caller and of f for one admitted search. shared is the virtual time of the
// queue.
func (c *caller) charge(f *flow, shared float64) {
	c.virtualTime = max(c.virtualTime, f.virtualStart)
	f.virtualStart = max(f.virtualStart, c.virtualTime) + 1/f.weight
	c.virtualStart = max(c.virtualStart, shared) + 1/(c.weight*f.weight)
}
