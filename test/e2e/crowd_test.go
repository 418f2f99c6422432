package e2e_test

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/fleet"
	"github.com/medlarshunt/medlarshunt/test/crowd"
)

// The limits of a node under a crowd are lower than those of a machine, so that a small crowd shows a fault.
const (
	crowdMemoryMB     = 96
	crowdFDs          = 4100
	crowdIdleFDs      = 500
	crowdSize         = 150
	crowdIdleSize     = 400
	crowdPeers        = 40
	crowdBodyBytes    = 1 << 20 // the largest body of a search
	crowdExplainBytes = 8 << 20
	crowdExplainSize  = 40
)

// Guards against a node that a crowd of clients which exceed limits, or never finish a request, ends or makes useless: its peak
// memory and its open sockets stay within its settings, and each listener answers an ordinary request while the crowd is there.
func TestCrowdsAtANode(t *testing.T) {
	d := startDeployment(t)
	document := d.document
	document.Version.Number++
	document.Groups[0].MaxBodyBytes = crowdBodyBytes
	d.publish(document)
	callers := func(m *node) string { return strings.TrimPrefix(m.callerURL, "http://") }
	admin := func(m *node) string { return strings.TrimPrefix(m.adminURL, "http://") }
	peers := func(m *node) string { return m.peerAddress }
	unfinishedLine := func(size int) crowd.Behaviour {
		return func(w io.Writer, _ int) {
			parts := [][]byte{[]byte("GET /readyz HTTP/1.1\r\nHost: x\r\nX-Long: ")}
			crowd.Write(w, append(parts, crowd.Repeat(bytes.Repeat([]byte("x"), 4096), size)...)...)
		}
	}
	endlessLines := func(w io.Writer, _ int) {
		parts := [][]byte{[]byte("GET /readyz HTTP/1.1\r\nHost: x\r\n")}
		crowd.Write(w, append(parts, crowd.Repeat(crowd.ShortLines(1<<20), crowd.EndlessBytes)...)...)
	}
	unfinishedBody := func(path, key string, size int) crowd.Behaviour {
		return func(w io.Writer, _ int) {
			head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", path, key, size)
			crowd.Write(w, append([][]byte{[]byte(head)}, crowd.Repeat(bytes.Repeat([]byte("b"), 64<<10), size-1)...)...)
		}
	}
	chunkedBody := func(w io.Writer, _ int) {
		head := "POST /v1/groups/" + groupName + "/search HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + fleet.DemoKey + "\r\nTransfer-Encoding: chunked\r\n\r\n"
		crowd.Write(w, append([][]byte{[]byte(head)}, crowd.Repeat(bytes.Repeat([]byte("8\r\nbbbbbbbb\r\n"), 4096), crowdBodyBytes)...)...)
	}
	for i, c := range []struct {
		name    string
		address func(*node) string
		fds     int
		size    int
		behave  crowd.Behaviour
	}{
		{"callers, unfinished heads", callers, crowdFDs, crowdSize, unfinishedLine(1000 << 10)},
		{"callers, endless heads", callers, crowdFDs, crowdSize, endlessLines},
		{"callers, empty lines", callers, crowdFDs, crowdSize, crowd.EmptyLines},
		{"callers, bodies", callers, crowdFDs, crowdSize, unfinishedBody("/v1/groups/"+groupName+"/search", fleet.DemoKey, crowdBodyBytes)},
		{"callers, chunked bodies", callers, crowdFDs, crowdSize, chunkedBody},
		{"callers, idle", callers, crowdIdleFDs, crowdIdleSize, crowd.SendNothing},
		{"admin, unfinished heads", admin, crowdFDs, crowdSize, unfinishedLine(1000 << 10)},
		{"admin, endless heads", admin, crowdFDs, crowdSize, endlessLines},
		{"admin, empty lines", admin, crowdFDs, crowdSize, crowd.EmptyLines},
		{"admin, bodies", admin, crowdFDs, crowdExplainSize, unfinishedBody("/v1/explain", fleet.DemoAdminKey, crowdExplainBytes)},
		{"admin, idle", admin, crowdIdleFDs, crowdIdleSize, crowd.SendNothing},
		{"peers, unfinished messages", peers, crowdFDs, crowdPeers, func(w io.Writer, _ int) {
			crowd.Write(w, crowd.Repeat(bytes.Repeat([]byte("x"), 64<<10), 8<<20-1)...)
		}},
		{"peers, idle", peers, crowdIdleFDs, crowdIdleSize, crowd.SendNothing},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Setenv("MEDLARSHUNT_MEMORY_MB", fmt.Sprint(crowdMemoryMB))
			t.Setenv("MEDLARSHUNT_MAX_FDS", fmt.Sprint(c.fds))
			m := d.startNode(d.document.Domains[0].Name, i+1)
			g := NewWithT(t)
			d.expectOrdinaryAnswers(g, m)
			crowd.Start(t, c.address(m), c.size, c.behave)
			for end := time.Now().Add(crowd.Stay); time.Now().Before(end); {
				d.expectOrdinaryAnswers(g, m)
				sockets, memory := crowd.OpenSockets(t, m.cmd.Process.Pid), crowd.PeakMemoryMB(t, m.cmd.Process.Pid)
				if memory > crowdMemoryMB || sockets > c.fds-crowd.ReservedFDs {
					t.Logf("sockets %d, peak memory %.0f MB", sockets, memory)
				}
				g.Expect(sockets).To(BeNumerically("<=", c.fds-crowd.ReservedFDs), "open sockets")
				g.Expect(memory).To(BeNumerically("<=", crowdMemoryMB), "peak memory in MB")
			}
			t.Logf("peak memory %.0f MB", crowd.PeakMemoryMB(t, m.cmd.Process.Pid))
		})
		d.nodes[len(d.nodes)-1].kill()
	}
}

// expectOrdinaryAnswers checks that each listener of a node answers an ordinary request.
func (d *deployment) expectOrdinaryAnswers(g *WithT, m *node) {
	client := &http.Client{Timeout: crowd.IOTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for _, url := range []string{m.callerURL + "/readyz", m.adminURL + "/metrics"} {
		g.Eventually(func() int {
			resp, err := client.Get(url)
			if err != nil {
				return 0
			}
			defer resp.Body.Close()
			_, _ = io.Copy(io.Discard, resp.Body) // the status is checked
			return resp.StatusCode
		}, settleTimeout, probeInterval).Should(Equal(http.StatusOK), url)
	}
	g.Eventually(func() bool { return d.answersCompleteSearch(m) }, settleTimeout, probeInterval).Should(BeTrue(), "search")
}
