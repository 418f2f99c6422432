package failure_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a graceful stop that fails requests in flight or makes the outcome of a command unknown (R7).
func TestGracefulStopFailsNothing(t *testing.T) {
	deploy(t, 2, func(h *harness) {
		for _, domain := range []string{"north", "east"} {
			h.g.Expect(h.d.Stop(h.t.Context(), h.member(domain, 0))).To(Succeed())
			h.run(500 * time.Millisecond)
		}
		h.recovered()
		h.verifyClean()
	})
}

// Guards against a deployment that loses requests while all its nodes are replaced one after another (R7).
func TestRollingReplacementFailsNothing(t *testing.T) {
	deploy(t, 2, func(h *harness) {
		for _, m := range h.d.Members() {
			h.g.Expect(h.d.Replace(h.t.Context(), m)).To(Succeed())
			h.g.Expect(h.d.WaitReady(h.t.Context())).To(Succeed())
		}
		h.recovered()
		h.verifyClean()
	})
}

// Guards against a replacement that breaks answers when a target crashes meanwhile: requests may fail then, but what
// callers are told stays true.
func TestRollingReplacementWhileTargetsCrash(t *testing.T) {
	deploy(t, 2, func(h *harness) {
		for _, m := range h.d.Members() {
			repair := targetCrash(h)
			h.g.Expect(h.d.Replace(h.t.Context(), m)).To(Succeed())
			h.g.Expect(h.d.WaitReady(h.t.Context())).To(Succeed())
			repair()
		}
		h.recovered()
		h.verify()
	})
}

// Guards against a graceful stop that ends in an error because a caller holds a connection without a request on it. Go's
// HTTP client opens such spare connections by itself.
func TestGracefulStopWithUnusedConnection(t *testing.T) {
	deploy(t, 2, func(h *harness) {
		m := h.member("north", 0)
		unused, err := h.network.Dial(h.t.Context(), strings.TrimPrefix(m.URL, "http://"))
		h.g.Expect(err).NotTo(HaveOccurred())
		defer unused.Close()
		h.run(200 * time.Millisecond)
		h.g.Expect(h.d.Stop(h.t.Context(), m)).To(Succeed())
		h.verifyClean()
	})
}
