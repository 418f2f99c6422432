package query

import "github.com/medlarshunt/medlarshunt/internal/notice"

// ResponseMemory returns the memory that is reserved for responses of targets.
func (e *Engine) ResponseMemory() int64 { return e.memory.Used() }

// ReserveResponseMemory reserves memory as responses of other requests would, until release is called.
func (e *Engine) ReserveResponseMemory(bytes int) (release func()) {
	account := e.memory.Open()
	if err := account.Reserve(bytes); err != nil {
		panic(err)
	}
	return account.Close
}

// HearFrom takes note of what a target says of itself, as after an answer.
func (e *Engine) HearFrom(id string, n notice.Notice) {
	e.hear(e.listedClient(id), n)
}

// RestrictedTargets returns how many targets of a service restrict the requests to them, as counted and as their reports say.
func (e *Engine) RestrictedTargets(name string) (counted, actual int) {
	e.mu.RLock()
	defer e.mu.RUnlock()
	s := e.services[name]
	for _, t := range s.clients {
		if t.report.restricted.Load() {
			actual++
		}
	}
	return int(s.restrictedTargets.Load()), actual
}
