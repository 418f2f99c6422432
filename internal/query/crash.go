package query

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/quarantine"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
)

// attemptLife is the state of one attempt, run by the attempt chart.
type attemptLife = statechart.Machine[statechart.AttemptState, statechart.AttemptEvent]

// fire passes an event to the chart of an attempt. A rejected event means that this package lost track of an attempt.
func (e *Engine) fire(life *attemptLife, event statechart.AttemptEvent) {
	if _, err := life.Fire(event); err != nil {
		e.deps.Log.WithError(err).Error("an attempt got an event that its state does not allow")
	}
}

// fingerprint identifies equal requests of callers, whatever their ids.
func fingerprint(route string, r *Request) quarantine.Fingerprint {
	return quarantine.FingerprintOf(route, r.Method+" "+r.URI, r.Body)
}

const (
	// crashCheckDelay gives a crashed process the time to give up its port.
	crashCheckDelay = 20 * time.Millisecond
	// crashCheckTimeout bounds the connection that tells a crash from a lost answer.
	crashCheckTimeout = 300 * time.Millisecond
)

// crashChecks finds out whether targets that lost a call have crashed. mu guards running.
type crashChecks struct {
	mu      sync.Mutex
	running map[string][]crashSuspect
}

// crashSuspect is a request that was in flight on a target when the connection was lost.
type crashSuspect struct {
	fp      quarantine.Fingerprint
	attempt string
}

// begin notes a suspect and reports whether a check of the target has to be started.
func (c *crashChecks) begin(target string, s crashSuspect) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, running := c.running[target]
	c.running[target] = append(c.running[target], s)
	return !running
}

func (c *crashChecks) end(target string) []crashSuspect {
	c.mu.Lock()
	defer c.mu.Unlock()
	suspects := c.running[target]
	delete(c.running, target)
	return suspects
}

// checkCrash finds out whether a target that lost a call has crashed: its address then refuses connections. One check
// serves all calls that the target lost meanwhile.
func (e *Engine) checkCrash(client *targetClient, s crashSuspect) {
	id := client.info.ID
	if !e.checks.begin(id, s) {
		return
	}
	go func() {
		time.Sleep(crashCheckDelay)
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
		refused := client.pool.Refuses(ctx)
		cancel()
		suspects := e.checks.end(id)
		if !refused {
			return
		}
		for _, s := range suspects {
			e.strike(id, s)
		}
	}()
}

func (e *Engine) strike(target string, s crashSuspect) {
	record, refused := e.deps.Strikes.Crash(s.fp, s.attempt, time.Now())
	fields := logrus.Fields{"request_id": s.attempt, "target": target, "fingerprint": s.fp.String(), "strikes": len(record.Attempts), "refused": refused}
	e.deps.Log.WithFields(fields).Warn("a target crashed while it ran the request")
	e.tellStrike(record)
}

func (e *Engine) tellStrike(r quarantine.StrikeRecord) {
	if e.deps.OnStrike != nil {
		e.deps.OnStrike(r)
	}
}
