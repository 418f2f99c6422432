package query

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/quarantine"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
)

// attemptLifecycle is the state machine of one attempt. The attempt state chart defines it.
type attemptLifecycle = statechart.Machine[statechart.AttemptState, statechart.AttemptEvent]

// fire passes an event to the state machine of an attempt. A rejected event means that this package lost track of the
// attempt's state.
func (e *Engine) fire(lifecycle *attemptLifecycle, event statechart.AttemptEvent) {
	if _, err := lifecycle.Fire(event); err != nil {
		e.deps.Log.WithError(err).Error("attempt state machine rejected an event")
	}
}

// fingerprint identifies requests with the same content, whatever their ids.
func fingerprint(route string, r *Request) quarantine.Fingerprint {
	return quarantine.FingerprintOf(route, r.Method+" "+r.URI, r.Body)
}

const (
	// crashCheckDelay gives the operating system time to release the port of a crashed process.
	crashCheckDelay = 20 * time.Millisecond
	// crashCheckTimeout bounds the connection attempt that distinguishes a crash from a lost answer.
	crashCheckTimeout = 300 * time.Millisecond
)

// crashChecks tracks the running checks of targets that lost a call and may have crashed. mu guards suspectsByTarget.
type crashChecks struct {
	mu               sync.Mutex
	suspectsByTarget map[string][]crashSuspect
}

// crashSuspect is a request that was in flight on a target when the connection was lost.
type crashSuspect struct {
	fp        quarantine.Fingerprint
	requestID string
}

// addSuspect records a suspect and reports whether a check of the target has to be started.
func (c *crashChecks) addSuspect(target string, s crashSuspect) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, running := c.suspectsByTarget[target]
	c.suspectsByTarget[target] = append(c.suspectsByTarget[target], s)
	return !running
}

func (c *crashChecks) takeSuspects(target string) []crashSuspect {
	c.mu.Lock()
	defer c.mu.Unlock()
	suspects := c.suspectsByTarget[target]
	delete(c.suspectsByTarget, target)
	return suspects
}

// checkCrash checks in the background whether a target that lost a call has crashed: its address then refuses connections.
// One check covers all calls that the target loses while the check runs.
func (e *Engine) checkCrash(client *targetClient, s crashSuspect) {
	id := client.id
	if !e.crashChecks.addSuspect(id, s) {
		return
	}
	go func() {
		defer e.deps.Panics.Contain("crash check", logrus.Fields{"target": id}, func() { e.crashChecks.takeSuspects(id) })
		time.Sleep(crashCheckDelay)
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
		refused := client.pool.RefusesConnections(ctx)
		cancel()
		suspects := e.crashChecks.takeSuspects(id)
		if !refused {
			return
		}
		for _, s := range suspects {
			e.recordCrash(id, s)
		}
	}()
}

func (e *Engine) recordCrash(target string, s crashSuspect) {
	record, refused := e.deps.CrashCounter.Crash(s.fp, s.requestID, time.Now())
	fields := logrus.Fields{"request_id": s.requestID, "target": target, "fingerprint": s.fp.String(), "strikes": len(record.Attempts), "refused": refused}
	e.deps.Log.WithFields(fields).Warn("target crashed while running the request")
	e.notifyCrashRecord(record)
}

func (e *Engine) notifyCrashRecord(r quarantine.CrashRecord) {
	if e.deps.OnCrashRecord != nil {
		e.deps.OnCrashRecord(r)
	}
}
