package targetsim

import (
	"sync"
	"time"
)

// maxTrackedRequests bounds the memory of the run counts of searches: when it is reached, they are cleared. Run counts of
// commands are never cleared, because tests verify at-most-once runs with them.
const maxTrackedRequests = 100_000

// Counts are the counters of a stand-in target since it was created, over all its incarnations.
type Counts struct {
	Received     int64 `json:"received"`
	SearchRuns   int64 `json:"search_runs"`
	CommandRuns  int64 `json:"command_runs"`
	Completed    int64 `json:"completed"`
	Cancelled    int64 `json:"cancelled"`
	Expired      int64 `json:"expired"`
	Shed         int64 `json:"shed"`
	Draining     int64 `json:"draining"`
	VersionGone  int64 `json:"version_gone"`
	OtherRefused int64 `json:"other_refused"`
	Crashes      int64 `json:"crashes"`
	Health       int64 `json:"health"`
	// MaxRunsPerCommand is the highest number of runs of one command; above 1 is a violation of at-most-once.
	MaxRunsPerCommand int `json:"max_runs_per_command"`
	// LastWhileDrainingMS is the time from the start of a drain to the last request that was received during it.
	LastWhileDrainingMS int64 `json:"last_while_draining_ms"`
	ConnectionsOpened   int64 `json:"connections_opened"`
	ConnectionsRefused  int64 `json:"connections_refused"`
	ConnectionsOpen     int   `json:"connections_open"`
	ConnectionsPeak     int   `json:"connections_peak"`
}

// counter collects Counts and the number of runs by request id. mu guards all fields.
type counter struct {
	mu       sync.Mutex
	c        Counts
	searches map[string]int
	commands map[string]int
}

func newCounter() *counter {
	return &counter{searches: map[string]int{}, commands: map[string]int{}}
}

func (k *counter) update(f func(*Counts)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f(&k.c)
}

func (k *counter) countSearchRun(requestID string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.c.SearchRuns++
	if len(k.searches) >= maxTrackedRequests {
		clear(k.searches)
	}
	k.searches[requestID]++
}

func (k *counter) countCommandRun(requestID string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.c.CommandRuns++
	k.commands[requestID]++
	k.c.MaxRunsPerCommand = max(k.c.MaxRunsPerCommand, k.commands[requestID])
}

func (k *counter) runs(requestID string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.searches[requestID] + k.commands[requestID]
}

func (k *counter) countConnectionOpened(open int) {
	k.update(func(c *Counts) {
		c.ConnectionsOpened++
		c.ConnectionsPeak = max(c.ConnectionsPeak, open)
	})
}

func (k *counter) countConnectionRefused() { k.update(func(c *Counts) { c.ConnectionsRefused++ }) }

func (k *counter) countReceived(drainDuration time.Duration) {
	k.update(func(c *Counts) {
		c.Received++
		if drainDuration > 0 {
			c.LastWhileDrainingMS = drainDuration.Milliseconds()
		}
	})
}

func (k *counter) snapshot() Counts {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.c
}
