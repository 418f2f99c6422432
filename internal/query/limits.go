package query

import (
	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/attempts"
	"github.com/medlarshunt/medlarshunt/internal/notice"
)

// hear takes note of what a target says of itself in an answer.
func (e *Engine) hear(t *targetClient, n notice.Notice) {
	t.noticeMu.Lock()
	before := t.notice
	t.notice = n
	t.noticeMu.Unlock()
	if before.Limited == n.Limited {
		return
	}
	fields := logrus.Fields{"target": t.id, "service": t.service.name, "started_at_ms": t.startedAtMS}
	if n.Limited {
		fields["limit_per_s"] = n.RequestsPerSecond
		e.deps.Log.WithFields(fields).Info("target names a limit of requests")
		return
	}
	e.deps.Log.WithFields(fields).Info("target names no limit of requests any more")
}

// countLimitedAttempt counts an attempt that is about to be written to a target that names a limit.
func (e *Engine) countLimitedAttempt(t *targetClient, kind attempts.Kind) {
	t.noticeMu.Lock()
	defer t.noticeMu.Unlock()
	if t.notice.Limited {
		e.metrics.limitedAttempts[kind].Inc()
	}
}
