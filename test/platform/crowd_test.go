package platform_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/test/crowd"
)

// The tests of crowds open many connections of clients that exceed limits, never finish a request or never end. They check that
// the process lives, that its peak memory and its open sockets stay within the limits of its settings, and that each listener
// still answers an ordinary request while the crowd is there. They check no times.

// crowdLimits are lower than those of a machine, so that a small crowd shows a fault.
var crowdLimits = processLimits{memoryMB: 96, maxFDs: 4100}

// crowdSocketLimits bound the sockets of a process for crowds of connections that send nothing.
var crowdSocketLimits = processLimits{memoryMB: 96, maxFDs: 500}

const (
	// crowdBodyBytes and crowdHeaderBytes are the published limits of a request.
	crowdBodyBytes   = 256 << 10
	crowdHeaderBytes = 16384

	bodyCrowd     = 600 // 150 MB of bodies of the largest legal size
	headCrowd     = 400
	longHeadCrowd = 100
	auxCrowd      = 150 // at the readiness and metrics addresses
	peerCrowd     = 40
	idleCrowd     = 400

	publishedTargets = 2000

	peerMaxBytes = 8<<20 - 1
)

// expectWithinLimits checks the process against the limits of its settings.
func (s *deployment) expectWithinLimits(p *process) {
	s.t.Helper()
	pid := p.currentCommand().Process.Pid
	sockets, memory := crowd.OpenSockets(s.t, pid), crowd.PeakMemoryMB(s.t, pid)
	if memory > float64(s.limits.memoryMB) || sockets > s.limits.maxFDs-crowd.ReservedFDs {
		s.t.Logf("sockets %d, peak memory %.0f MB", sockets, memory)
	}
	s.g.Expect(sockets).To(BeNumerically("<=", s.limits.maxFDs-crowd.ReservedFDs), "open sockets")
	s.g.Expect(memory).To(BeNumerically("<=", s.limits.memoryMB), "peak memory in MB")
}

// expectOrdinaryAnswers checks that each listener of a node answers an ordinary request.
func (s *deployment) expectOrdinaryAnswers(p *process) {
	s.t.Helper()
	c := newCaller("ordinary")
	c.http.Timeout = crowd.IOTimeout
	s.g.Eventually(func() int { return statusOf(c.send(p, "GET", "/all/x")) }, settleTimeout, pollInterval).Should(Equal(http.StatusOK), "search")
	s.g.Eventually(func() int { return statusOf(c.send(p, "POST", "/desk/x")) }, settleTimeout, pollInterval).Should(Equal(http.StatusOK), "single request")
	client := &http.Client{Timeout: crowd.IOTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	for name, url := range map[string]string{"ready": "http://" + p.readyAddress + "/ready", "metrics": "http://" + p.metricsAddress + "/metrics"} {
		s.g.Eventually(func() int {
			resp, err := client.Get(url)
			if err != nil {
				return 0
			}
			defer resp.Body.Close()
			_, _ = io.Copy(io.Discard, resp.Body) // the status is checked
			return resp.StatusCode
		}, settleTimeout, pollInterval).Should(Equal(http.StatusOK), name)
	}
	s.g.Eventually(func() (string, error) { return pingPeer(p.controlAddress) }, settleTimeout, pollInterval).Should(ContainSubstring(`"result":true`), "control")
}

// pingPeer sends a ping as another node does and returns the answer.
func pingPeer(address string) (string, error) {
	conn, err := net.DialTimeout("tcp", address, crowd.IOTimeout)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(crowd.IOTimeout)); err != nil {
		return "", err
	}
	if _, err := io.WriteString(conn, `{"jsonrpc":"2.0","id":1,"method":"peer.ping"}`+"\n"); err != nil {
		return "", err
	}
	return bufio.NewReader(conn).ReadString('\n')
}

// expectCrowdBorne runs a crowd against one node and checks the node while the crowd is there.
func expectCrowdBorne(t *testing.T, limits processLimits, address func(*process) string, size int, behave crowd.Behaviour) {
	t.Helper()
	s := newLimitedDeployment(t, 1, limits)
	p := s.nodes[0]
	s.expectOrdinaryAnswers(p)
	crowd.Start(t, address(p), size, behave)
	s.expectBorne(p)
}

// expectBorne checks a node for some time while crowds are there, so that it has read what they sent.
func (s *deployment) expectBorne(p *process) {
	s.t.Helper()
	for end := time.Now().Add(crowd.Stay); ; {
		s.expectOrdinaryAnswers(p)
		s.expectWithinLimits(p)
		if time.Now().After(end) {
			s.t.Logf("peak memory %.0f MB", crowd.PeakMemoryMB(s.t, p.currentCommand().Process.Pid))
			return
		}
	}
}

// crowdListener is one listener of a node.
type crowdListener struct {
	name    string
	address func(*process) string
}

func frontAddress(p *process) string   { return p.frontAddress }
func readyAddress(p *process) string   { return p.readyAddress }
func controlAddress(p *process) string { return p.controlAddress }
func metricsAddress(p *process) string { return p.metricsAddress }

var crowdListeners = []crowdListener{{"front", frontAddress}, {"ready", readyAddress}, {"control", controlAddress}, {"metrics", metricsAddress}}

const requestLines = "POST /desk/x HTTP/1.1\r\nHost: " + requestHost + "\r\nX-Deadline-Ms: 60000\r\n"

func requestID(n int) string { return fmt.Sprintf("X-Request-Id: crowd-%d\r\n", n) }

// unfinishedHead sends a head of short lines that stays open.
func unfinishedHead(size int) crowd.Behaviour {
	lines := crowd.ShortLines(size - len(requestLines))
	return func(w io.Writer, _ int) { crowd.Write(w, []byte(requestLines), lines) }
}

// endlessLine sends a header line until the server closes the connection.
func endlessLine(w io.Writer, _ int) {
	parts := [][]byte{[]byte("GET /ready HTTP/1.1\r\nHost: " + requestHost + "\r\nX-Long: ")}
	crowd.Write(w, append(parts, crowd.Repeat(bytes.Repeat([]byte("x"), 4096), crowd.EndlessBytes)...)...)
}

// endlessLines sends header lines until the server closes the connection.
func endlessLines(w io.Writer, _ int) {
	parts := [][]byte{[]byte("GET /ready HTTP/1.1\r\nHost: " + requestHost + "\r\n")}
	crowd.Write(w, append(parts, crowd.Repeat(crowd.ShortLines(1<<20), crowd.EndlessBytes)...)...)
}

// Guards against heads whose parsed form takes the memory of the process: many short lines, below the size at which a head is
// refused.
func TestCrowdOfHeadsOverTheLimit(t *testing.T) {
	expectCrowdBorne(t, crowdLimits, frontAddress, longHeadCrowd, unfinishedHead(120<<10))
}

// Guards against heads within the published limit that are never finished.
func TestCrowdOfUnfinishedHeads(t *testing.T) {
	expectCrowdBorne(t, crowdLimits, frontAddress, headCrowd, unfinishedHead(crowdHeaderBytes))
}

// Guards against heads without end, in one line or in many, at each HTTP listener.
func TestCrowdOfEndlessHeads(t *testing.T) {
	for _, l := range crowdListeners {
		t.Run(l.name+" line", func(t *testing.T) { expectCrowdBorne(t, crowdLimits, l.address, auxCrowd, endlessLine) })
		t.Run(l.name+" lines", func(t *testing.T) { expectCrowdBorne(t, crowdLimits, l.address, auxCrowd, endlessLines) })
	}
}

// Guards against heads that are not finished and stay just below the size at which a server refuses them.
func TestCrowdOfUnfinishedHeadsAtOtherListeners(t *testing.T) {
	for _, l := range crowdListeners[1:] {
		t.Run(l.name, func(t *testing.T) {
			expectCrowdBorne(t, crowdLimits, l.address, auxCrowd, func(w io.Writer, _ int) {
				parts := [][]byte{[]byte("GET /ready HTTP/1.1\r\nHost: " + requestHost + "\r\nX-Long: ")}
				crowd.Write(w, append(parts, crowd.Repeat(bytes.Repeat([]byte("x"), 4096), 1000<<10)...)...)
			})
		})
	}
}

// Guards against empty lines without end before a request.
func TestCrowdOfEmptyLines(t *testing.T) {
	for _, l := range crowdListeners {
		t.Run(l.name, func(t *testing.T) { expectCrowdBorne(t, crowdLimits, l.address, auxCrowd, crowd.EmptyLines) })
	}
}

// Guards against bodies of legal size, sent at once or piece by piece, most of which stop one byte before their end.
func TestCrowdOfLargeBodies(t *testing.T) {
	whole := bytes.Repeat([]byte("b"), crowdBodyBytes)
	send := func(pieceBytes int) crowd.Behaviour {
		return func(w io.Writer, n int) {
			size := len(whole) - 1
			if n%10 == 0 {
				size = len(whole)
			}
			parts := [][]byte{[]byte(requestLines + requestID(n) + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(whole)))}
			crowd.Write(w, append(parts, crowd.Repeat(whole[:pieceBytes], size)...)...)
		}
	}
	t.Run("at once", func(t *testing.T) { expectCrowdBorne(t, crowdLimits, frontAddress, bodyCrowd, send(len(whole))) })
	t.Run("piece by piece", func(t *testing.T) { expectCrowdBorne(t, crowdLimits, frontAddress, bodyCrowd, send(1000)) })
}

// chunkedBody sends a chunked body of legal size. Only a tenth of the members send the last chunk.
func chunkedBody(chunkBytes int) crowd.Behaviour {
	chunk := []byte(fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("c", chunkBytes)))
	body := bytes.Repeat(chunk, crowdBodyBytes/chunkBytes)
	return func(w io.Writer, n int) {
		crowd.Write(w, []byte(requestLines+requestID(n)+"Transfer-Encoding: chunked\r\n\r\n"), body)
		if n%10 == 0 {
			crowd.Write(w, []byte("0\r\n\r\n"))
		}
	}
}

// Guards against chunked bodies of legal size, in large or very small chunks, most of which lack their last chunk.
func TestCrowdOfChunkedBodies(t *testing.T) {
	t.Run("large chunks", func(t *testing.T) { expectCrowdBorne(t, crowdLimits, frontAddress, bodyCrowd, chunkedBody(64<<10)) })
	t.Run("small chunks", func(t *testing.T) { expectCrowdBorne(t, crowdLimits, frontAddress, bodyCrowd, chunkedBody(8)) })
}

// Guards against messages of other nodes that are never finished.
func TestCrowdOfUnfinishedPeerMessages(t *testing.T) {
	expectCrowdBorne(t, crowdLimits, controlAddress, peerCrowd, unfinishedPeerMessage)
}

// unfinishedPeerMessage sends a message that stops just below the largest size of one.
func unfinishedPeerMessage(w io.Writer, _ int) {
	crowd.Write(w, crowd.Repeat(bytes.Repeat([]byte("x"), 64<<10), peerMaxBytes)...)
}

// Guards against peers that send calls and read no answers.
func TestCrowdOfPeerCalls(t *testing.T) {
	call := func(i int) string {
		return fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"published.watch","params":{"pad":%q}}`+"\n", i, strings.Repeat("p", 4000))
	}
	var calls bytes.Buffer
	for i := range 1000 {
		calls.WriteString(call(i))
	}
	expectCrowdBorne(t, crowdLimits, controlAddress, peerCrowd, func(w io.Writer, _ int) { crowd.Write(w, calls.Bytes()) })
}

// Guards against peers that ask for the published state again and again and read no answers.
func TestCrowdOfPeerFetches(t *testing.T) {
	s := newLimitedDeployment(t, 1, crowdLimits)
	p := s.nodes[0]
	s.expectOrdinaryAnswers(p)
	for i := range publishedTargets {
		s.registerTarget(fmt.Sprintf("i-desk-leaving-%d", i), "desk", fmt.Sprintf("127.0.0.1:%d", 1+i), "draining")
	}
	time.Sleep(crowd.Stay) // until the node holds them
	s.expectWithinLimits(p)
	crowd.Start(t, p.controlAddress, peerCrowd, func(w io.Writer, _ int) {
		for i := range 1000 {
			crowd.Write(w, []byte(fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"published.fetch"}`+"\n", i)))
		}
	})
	s.expectBorne(p)
}

// Guards against connections that take all descriptors of the process: it could no longer call targets or accept callers.
func TestCrowdOfIdleConnections(t *testing.T) {
	for _, l := range crowdListeners {
		t.Run(l.name, func(t *testing.T) { expectCrowdBorne(t, crowdSocketLimits, l.address, idleCrowd, crowd.SendNothing) })
	}
}

// Guards against clients that send requests without end and read no answer.
func TestCrowdThatReadsNoAnswers(t *testing.T) {
	send := func(path string) crowd.Behaviour {
		request := []byte("GET " + path + " HTTP/1.1\r\nHost: " + requestHost + "\r\nX-Deadline-Ms: 60000\r\n\r\n")
		return func(w io.Writer, _ int) {
			crowd.Write(w, crowd.Repeat(bytes.Repeat(request, 1000), crowd.EndlessBytes)...)
		}
	}
	for _, l := range []struct {
		crowdListener
		path string
	}{{crowdListeners[0], "/none/x"}, {crowdListeners[1], "/ready"}, {crowdListeners[3], "/metrics"}} {
		t.Run(l.name, func(t *testing.T) { expectCrowdBorne(t, crowdLimits, l.address, auxCrowd, send(l.path)) })
	}
}

// unfinishedBody sends a body of the largest legal size but its last byte.
func unfinishedBody(w io.Writer, n int) {
	head := []byte(requestLines + requestID(n) + fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBodyBytes))
	crowd.Write(w, head, bytes.Repeat([]byte("b"), crowdBodyBytes-1))
}

// Guards against crowds that are each bearable and not together.
func TestCrowdsAtAllListeners(t *testing.T) {
	s := newLimitedDeployment(t, 1, crowdLimits)
	p := s.nodes[0]
	s.expectOrdinaryAnswers(p)
	crowd.Start(t, p.frontAddress, bodyCrowd/2, unfinishedBody)
	crowd.Start(t, p.frontAddress, headCrowd/2, unfinishedHead(crowdHeaderBytes))
	crowd.Start(t, p.readyAddress, auxCrowd/2, endlessLines)
	crowd.Start(t, p.metricsAddress, auxCrowd/2, endlessLine)
	crowd.Start(t, p.controlAddress, peerCrowd/2, unfinishedPeerMessage)
	s.expectBorne(p)
}

// Guards against a single request at the published limits that is refused in calm.
func TestRequestAtTheLimitsIsServed(t *testing.T) {
	s := newLimitedDeployment(t, 1, crowdLimits)
	body := bytes.Repeat([]byte("b"), crowdBodyBytes)
	head := requestLines + requestID(1)
	lines := crowd.ShortLines(crowdHeaderBytes - len(head) - len("Transfer-Encoding: chunked\r\n\r\n"))
	for name, send := range map[string]func(io.Writer){
		"length": func(w io.Writer) {
			crowd.Write(w, []byte(head), lines, []byte(fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))), body)
		},
		"small chunks": func(w io.Writer) {
			crowd.Write(w, []byte(head), lines, []byte("Transfer-Encoding: chunked\r\n\r\n"), bytes.Repeat([]byte("8\r\ncccccccc\r\n"), len(body)/8), []byte("0\r\n\r\n"))
		},
	} {
		conn, err := net.DialTimeout("tcp", s.nodes[0].frontAddress, crowd.IOTimeout)
		s.g.Expect(err).NotTo(HaveOccurred())
		defer conn.Close()
		send(conn)
		s.g.Expect(conn.SetReadDeadline(time.Now().Add(settleTimeout))).To(Succeed())
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		s.g.Expect(err).NotTo(HaveOccurred(), name)
		s.g.Expect(resp.StatusCode).To(Equal(http.StatusOK), name)
	}
}
