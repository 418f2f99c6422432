package intake_test

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/intake"
)

// client is a connection whose standing the test sets.
type client struct {
	standing intake.Standing
	refuses  bool // a request has been completed since its standing was asked
	gone     bool
}

func (c *client) Standing() intake.Standing { return c.standing }

func (c *client) GiveWay() bool {
	c.gone = !c.refuses
	return c.gone
}

func at(seconds int64) time.Time { return time.Unix(seconds, 0) }

// Guards against a listener that closes connections of ordinary clients while others hold connections and send nothing.
func TestConnectionsGiveWayInOrder(t *testing.T) {
	g := NewWithT(t)
	serving := &client{standing: intake.Standing{Phase: intake.Serving, Served: true, Since: at(0)}}
	reading := &client{standing: intake.Standing{Phase: intake.Reading, Served: true, Since: at(1)}}
	idle := &client{standing: intake.Standing{Phase: intake.Awaiting, Served: true, Since: at(2)}}
	recentlyIdle := &client{standing: intake.Standing{Phase: intake.Awaiting, Served: true, Since: at(9)}}
	unused := &client{standing: intake.Standing{Phase: intake.Reading, Since: at(5)}}
	recentlyUnused := &client{standing: intake.Standing{Phase: intake.Awaiting, Since: at(8)}}
	all := []*client{serving, recentlyIdle, reading, recentlyUnused, idle, unused}
	connections := intake.NewConnections(len(all))
	for _, c := range all {
		g.Expect(connections.Admit(c)).To(BeTrue())
	}
	for _, next := range []*client{unused, recentlyUnused, idle, recentlyIdle, reading} {
		g.Expect(next.gone).To(BeFalse())
		g.Expect(connections.Admit(&client{standing: intake.Standing{Phase: intake.Serving}})).To(BeTrue())
		g.Expect(next.gone).To(BeTrue())
		g.Expect(connections.Open()).To(Equal(len(all)))
	}
	g.Expect(connections.Admit(&client{})).To(BeFalse(), "each connection serves a request")
	connections.Remove(serving)
	g.Expect(connections.Admit(&client{refuses: true})).To(BeTrue())
	g.Expect(connections.Admit(&client{})).To(BeFalse(), "the only other connection has begun a request")
}

// Guards against limits that leave no room for an ordinary client on a small machine, or take the sockets that the process needs.
func TestConnectionLimit(t *testing.T) {
	g := NewWithT(t)
	g.Expect(intake.ConnectionLimit(0, 0, 0.5, 0.2)).To(BeZero())
	g.Expect(intake.ConnectionLimit(4100, 0, 0.5, 0.2)).To(Equal(1950))
	g.Expect(intake.ConnectionLimit(4100, 96<<20, 0.5, 0.2)).To(Equal(614))
	g.Expect(intake.ConnectionLimit(0, 96<<20, 0.5, 0.2)).To(Equal(614))
	g.Expect(intake.ConnectionLimit(220, 1<<20, 0.01, 0.01)).To(Equal(16))
}

// Guards against a request that is handled although its connection has given way, so that its client could not be answered. The
// test opens a connection at the same moment as a request is sent on the only other one.
func TestRequestsAreNotHandledOnClosedConnections(t *testing.T) {
	g := NewWithT(t)
	var handled atomic.Int64
	guard := intake.NewGuard(intake.Config{MaxConnections: 1})
	server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Add(1) })}
	guard.Protect(server)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	go func() { _ = server.Serve(guard.Listen(l)) }()
	t.Cleanup(func() { server.Close() })
	test := &guardTest{WithT: g, address: l.Addr().String()}
	answered := 0
	for range 300 {
		c, r := test.dial(t)
		if _, err := fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err == nil {
			other, _ := test.dial(t)
			if resp, err := http.ReadResponse(r, nil); err == nil && resp.StatusCode == http.StatusOK {
				answered++
			}
			other.Close()
		}
		c.Close()
		g.Eventually(guard.OpenConnections).Should(BeZero())
	}
	g.Expect(handled.Load()).To(BeEquivalentTo(answered), "requests that were handled and not answered")
	t.Logf("answered %d", answered)
}
