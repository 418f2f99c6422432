package e2e_test

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/standin/configservicesim"
)

// failureDuration is how long a failure lasts under traffic.
const failureDuration = 1500 * time.Millisecond

// waitingRequests is the number of requests that wait at a paused node.
const waitingRequests = 8

// Guards against faults that show only with separate processes: a SIGKILL, a pause of the whole process after which it
// resumes late, and a graceful stop with its exit status (R1 to R5, R7). The steps run in sequence on one deployment,
// because its start is expensive.
func TestProcessesFailAndRecover(t *testing.T) {
	d := startDeployment(t)

	healthy := d.startTraffic("healthy")
	d.waitUntilServing(healthy)
	d.verifyOutcomes(healthy)
	d.g.Expect(healthy.Failures()).To(BeEmpty(), "requests failed although no failure was injected")

	d.killNode()
	d.pauseNode()
	d.stopNode()
	d.killTarget()
}

// killNode kills a node and starts another incarnation of it.
func (d *deployment) killNode() {
	traffic := d.startTraffic("kill-node")
	m := d.nodes[1]
	m.kill()
	time.Sleep(failureDuration)
	d.replaceNode(m)
	d.waitUntilServing(traffic)
	d.verifyOutcomes(traffic)
}

// pauseNode stops a node with SIGSTOP for 2 seconds, longer than the shortest pause that it must detect, and resumes it.
// Meanwhile a new configuration removes a caller whose requests wait in the sockets of the paused node. The node must not
// answer them according to the configuration from before the pause.
func (d *deployment) pauseNode() {
	traffic := d.startTraffic("freeze-node")
	m, other := d.nodes[0], d.nodes[1]
	status, _ := d.search(m, removedKey)
	d.g.Expect(status).To(Equal(http.StatusOK), "the caller is known before the change")
	m.signal(syscall.SIGSTOP)
	pausedAt := time.Now()
	next := d.document
	next.Version.Number++
	next.Callers = next.Callers[:len(next.Callers)-1]
	d.publish(next)
	d.document = next
	d.g.Eventually(func() int { status, _ := d.search(other, removedKey); return status }, settleTimeout, probeInterval).
		Should(Equal(http.StatusUnauthorized), "the new configuration is in force")
	statuses := make(chan int, waitingRequests)
	for range waitingRequests {
		go func() { status, _ := d.search(m, removedKey); statuses <- status }()
	}
	time.Sleep(time.Until(pausedAt.Add(2 * time.Second)))
	d.put(d.controlAddress, "/control/faults", configservicesim.Faults{Down: true}) // the node has to ask its peers
	m.signal(syscall.SIGCONT)
	for range waitingRequests {
		if status := <-statuses; status == http.StatusOK {
			d.t.Errorf("R8: a paused node answered according to an outdated configuration after it resumed")
		}
	}
	d.g.Eventually(func() bool { return d.answersCompleteSearch(m) }, settleTimeout, probeInterval).
		Should(BeTrue(), "the node serves after its pause")
	d.put(d.controlAddress, "/control/faults", configservicesim.Faults{})
	d.waitUntilServing(traffic)
	d.verifyOutcomes(traffic)
}

// stopNode stops a node gracefully. It must exit with status 0 and no request may fail (R7).
func (d *deployment) stopNode() {
	traffic := d.startTraffic("stop-node")
	m := d.nodes[0]
	status := m.stop()
	if status != 0 {
		d.t.Errorf("R7: a graceful stop ended with exit status %d", status)
	}
	d.waitUntilServing(traffic)
	d.replaceNode(m)
	d.waitUntilServing(traffic)
	d.verifyOutcomes(traffic)
	for _, f := range traffic.Failures() {
		d.t.Errorf("R7: request failed during a graceful stop: %s", f)
	}
}

// killTarget kills a target. Its run counts are lost with it, so a command that it answered counts as one run there.
func (d *deployment) killTarget() {
	traffic := d.startTraffic("kill-target")
	lostTarget := d.document.Groups[0].Services[0].Targets[0].ID
	d.targets[lostTarget].kill()
	time.Sleep(failureDuration)
	d.waitUntilServing(traffic)
	d.verifyOutcomes(traffic, lostTarget)
}

// replaceNode starts another incarnation of a node that has ended and waits until it serves.
func (d *deployment) replaceNode(m *node) {
	d.t.Helper()
	d.mu.Lock()
	delete(d.ready, m)
	d.mu.Unlock()
	for i := range d.nodes {
		if d.nodes[i] == m {
			d.nodes = append(d.nodes[:i], d.nodes[i+1:]...)
			break
		}
	}
	next := d.startNode(m.domain, m.ordinal)
	d.g.Eventually(func() bool { return d.answersCompleteSearch(next) }, settleTimeout, probeInterval).
		Should(BeTrue(), "the new incarnation serves")
}
