package intake

import (
	"sync"
	"time"
)

// Phase is what a connection of a client does.
type Phase int

// Phases of a connection.
const (
	Awaiting Phase = iota // no byte of a next request has been read
	Reading               // a request is incomplete
	Serving               // a complete request is served
)

// Standing is what the choice of a connection to close needs to know of it.
type Standing struct {
	Phase  Phase
	Served bool      // has had a complete request
	Since  time.Time // when the connection last ended a request, or was opened
}

// givesWayBefore reports whether a connection is to be closed rather than another when there are too many: one that has never
// sent a request, then one that waits for the next, then one with an incomplete request; among equals the one that has been so for
// longest.
//
// Load pattern: clients open connections up to the limit and send nothing, or little. Ordinary clients send a request soon after
// they connect, so theirs are the youngest, and connections with a complete request are never closed.
func (s Standing) givesWayBefore(other Standing) bool {
	if s.rank() != other.rank() {
		return s.rank() < other.rank()
	}
	return s.Since.Before(other.Since)
}

func (s Standing) rank() int {
	switch {
	case s.Phase == Serving:
		return 3
	case !s.Served:
		return 0
	case s.Phase == Awaiting:
		return 1
	default:
		return 2
	}
}

// Client is a connection of a client.
type Client interface {
	Standing() Standing
	// GiveWay closes the connection unless a complete request is served on it, and reports whether it has been closed.
	GiveWay() bool
}

// Connections are the open connections of one listener. It is safe for concurrent use.
type Connections struct {
	limit int // 0 for no limit

	mu      sync.Mutex // guards clients; it is never held while a method of a Client runs that changes it
	clients map[Client]struct{}
}

// NewConnections returns a set without connections; limit 0 sets no limit.
func NewConnections(limit int) *Connections {
	return &Connections{limit: limit, clients: map[Client]struct{}{}}
}

// maxGiveWayTries bounds how often another connection is asked to give way to a new one.
const maxGiveWayTries = 4

// Admit adds a connection. It closes another one when there are too many, and reports false when none can be closed.
func (c *Connections) Admit(client Client) bool {
	for range maxGiveWayTries {
		victim, admitted := c.tryAdmit(client)
		if admitted {
			return true
		}
		if victim == nil {
			return false
		}
		if victim.GiveWay() {
			c.Remove(victim)
		}
	}
	return false
}

func (c *Connections) tryAdmit(client Client) (victim Client, admitted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limit <= 0 || len(c.clients) < c.limit {
		c.clients[client] = struct{}{}
		return nil, true
	}
	var least Standing
	for other := range c.clients {
		standing := other.Standing()
		if standing.Phase != Serving && (victim == nil || standing.givesWayBefore(least)) {
			victim, least = other, standing
		}
	}
	return victim, false
}

// Remove removes a connection that has been closed.
func (c *Connections) Remove(client Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.clients, client)
}

// Open returns the number of connections.
func (c *Connections) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.clients)
}

const (
	// reservedFDs are the descriptors of a process that sockets may not use.
	reservedFDs = 200
	// connectionBytes is what a connection without a request occupies: stacks, buffers and state.
	connectionBytes = 32 << 10
	// minConnections is the least limit of a listener.
	minConnections = 16
)

// ConnectionLimit returns the number of connections that a listener may hold of a process with maxFDs descriptors and memory
// bytes, when the listener has a share of the sockets and of the memory. 0 for either leaves it out.
func ConnectionLimit(maxFDs int, memory int64, socketShare, memoryShare float64) int {
	limit := 0
	if maxFDs > 0 {
		limit = max(minConnections, int(socketShare*float64(maxFDs-reservedFDs)))
	}
	if memory > 0 {
		byMemory := max(minConnections, int(memoryShare*float64(memory)/connectionBytes))
		if limit == 0 || byMemory < limit {
			limit = byMemory
		}
	}
	return limit
}
