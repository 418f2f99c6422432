package failure_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a graceful stop that fails requests in flight or makes the outcome of a command unknown (R7).
func TestGracefulStopFailsNoRequest(t *testing.T) {
	withDeployment(t, 2, func(h *harness) {
		for _, domain := range []string{"north", "east"} {
			h.g.Expect(h.deployment.Stop(h.t.Context(), h.member(domain, 0))).To(Succeed())
			h.letTrafficRun(500 * time.Millisecond)
		}
		h.waitUntilServing()
		h.verifyNoFailures()
	})
}

// Guards against requests that are lost while all nodes of a deployment are replaced one after another (R7).
func TestRollingReplacementFailsNoRequest(t *testing.T) {
	withDeployment(t, 2, func(h *harness) {
		for _, m := range h.deployment.Members() {
			h.g.Expect(h.deployment.Replace(h.t.Context(), m)).To(Succeed())
			h.g.Expect(h.deployment.WaitReady(h.t.Context())).To(Succeed())
		}
		h.waitUntilServing()
		h.verifyNoFailures()
	})
}

// Guards against false answers when a target crashes during a rolling replacement: requests may fail then, but what callers
// are told must be true.
func TestRollingReplacementWhileTargetsCrash(t *testing.T) {
	withDeployment(t, 2, func(h *harness) {
		for _, m := range h.deployment.Members() {
			repair := crashTarget(h)
			h.g.Expect(h.deployment.Replace(h.t.Context(), m)).To(Succeed())
			h.g.Expect(h.deployment.WaitReady(h.t.Context())).To(Succeed())
			repair()
		}
		h.waitUntilServing()
		h.verifyAnswers()
	})
}

// Guards against a graceful stop that ends in an error because a caller holds a connection without a request on it. Go's
// HTTP client opens such spare connections on its own.
func TestGracefulStopWithUnusedConnection(t *testing.T) {
	withDeployment(t, 2, func(h *harness) {
		m := h.member("north", 0)
		unused, err := h.network.Dial(h.t.Context(), strings.TrimPrefix(m.CallerURL, "http://"))
		h.g.Expect(err).NotTo(HaveOccurred())
		defer unused.Close()
		h.letTrafficRun(200 * time.Millisecond)
		h.g.Expect(h.deployment.Stop(h.t.Context(), m)).To(Succeed())
		h.verifyNoFailures()
	})
}
