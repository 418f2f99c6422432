package peer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/creachadair/jrpc2"
	"github.com/creachadair/jrpc2/channel"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

const (
	// pingInterval is the time between pings while calls with FailWhenSilent are outstanding.
	pingInterval = 50 * time.Millisecond
	// silenceTimeout is the time without any message after which a peer counts as lost for calls that may be retried at another
	// peer. It is three ping intervals, so that one delayed answer does not cause a second run of the work.
	silenceTimeout = 150 * time.Millisecond
	// probeTimeout is the time within which a peer must answer the ping of a probe. It is more than two of the periods of 100 ms
	// for which a process that has used its share of a core does not run.
	probeTimeout = 250 * time.Millisecond
	// confirmationAge is how long ago the peer may have sent a message for calls with Confirmed.
	confirmationAge = 500 * time.Millisecond
	// maxProbes is how often a probe is repeated when this process was paused during it.
	maxProbes = 3
)

var errSilent = eris.New("peer is silent while calls are outstanding")

// link is one connection to a peer. mu of its peerConn guards calls, probeEnded, waiters and isPinging.
//
// A connection can go silent for good without a reset. A call that got no answer, with nothing received since it began, starts a
// probe: a ping. When the peer does not answer that either, the connection is replaced: it takes no more calls, and is closed
// when those on it have ended. So a peer that was only slow still delivers its answers.
type link struct {
	client     *jrpc2.Client
	openedAt   time.Time
	lastRecv   atomic.Int64  // time of the last message, in nanoseconds since processStart
	messages   atomic.Int64  // received so far
	calls      int           // in progress
	probeEnded chan struct{} // closed at the end of the probe in progress; nil for none
	waiters    map[*silenceWaiter]struct{}
	isPinging  bool
}

// silenceWaiter is a call in progress that fails when the peer falls silent.
type silenceWaiter struct{ cancel context.CancelCauseFunc }

// processStart is the origin of the times in lastRecv.
var processStart = time.Now()

func newLink(conn net.Conn) *link {
	l := &link{openedAt: time.Now(), waiters: map[*silenceWaiter]struct{}{}}
	l.resetSilence()
	l.client = jrpc2.NewClient(&recvTimeChannel{Channel: newLineChannel(conn, writeTimeoutConn{conn}, acceptAll), link: l}, &jrpc2.ClientOptions{
		OnCancel: func(cli *jrpc2.Client, rsp *jrpc2.Response) {
			go cli.Notify(context.Background(), methodCancel, cancelParams{ID: rsp.ID()})
		},
	})
	return l
}

// resetSilence starts the measurement of the silence anew.
func (l *link) resetSilence() { l.lastRecv.Store(int64(time.Since(processStart))) }

// silentFor returns the time since the last message.
func (l *link) silentFor() time.Duration {
	return time.Since(processStart) - time.Duration(l.lastRecv.Load())
}

// probe pings the peer in the background and replaces the connection when the peer does not answer. Calls that begin meanwhile
// wait for the result. It returns false when the pool is closed.
func (pc *peerConn) probe(p *Pool, l *link) bool {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	if pc.current != l || l.probeEnded != nil {
		return true
	}
	ended := make(chan struct{})
	if !p.goUnlessClosed(func() {
		answered := l.answersPing()
		pc.mu.Lock()
		l.probeEnded = nil
		unused := !answered && pc.replace(p, l)
		pc.mu.Unlock()
		close(ended)
		if unused {
			l.client.Close()
		}
	}) {
		return false
	}
	l.probeEnded = ended
	return true
}

// answersPing reports whether the peer sends a message within probeTimeout after a ping.
func (l *link) answersPing() bool {
	for range maxProbes {
		began, received := time.Now(), l.messages.Load()
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		_, _ = l.client.Call(ctx, methodPing, nil) // recvTimeChannel records the answer
		cancel()
		if l.messages.Load() > received {
			return true
		}
		if l.client.IsStopped() || time.Since(began) < 2*probeTimeout {
			return false
		}
		// This process itself did not run, so the silence says nothing about the peer.
	}
	return false
}

// replace makes new calls open another connection. It reports whether the connection has no calls and must be closed. The caller
// must hold mu.
func (pc *peerConn) replace(p *Pool, l *link) bool {
	if pc.current != l {
		return false
	}
	pc.current = nil
	if l.client.IsStopped() {
		return pc.dropUnused(l)
	}
	p.metrics.replaced.Inc()
	if p.log != nil {
		p.log.WithFields(logrus.Fields{
			"peer": pc.address, "open_ms": time.Since(l.openedAt).Milliseconds(), "silent_ms": l.silentFor().Milliseconds(), "calls": l.calls,
		}).Info("the connection to a node is silent; the next call opens another")
	}
	return pc.dropUnused(l)
}

// withSilenceTimeout returns a context that ends with errSilent when the peer falls silent, and a function that releases it.
func (pc *peerConn) withSilenceTimeout(ctx context.Context, p *Pool, l *link) (context.Context, func()) {
	callCtx, cancel := context.WithCancelCause(ctx)
	w := &silenceWaiter{cancel: cancel}
	pc.mu.Lock()
	if len(l.waiters) == 0 {
		l.resetSilence()
	}
	l.waiters[w] = struct{}{}
	if !l.isPinging {
		l.isPinging = p.goUnlessClosed(func() { pc.pingLoop(p, l) })
	}
	pc.mu.Unlock()
	return callCtx, func() {
		pc.mu.Lock()
		delete(l.waiters, w)
		pc.mu.Unlock()
		cancel(nil)
	}
}

// pingLoop pings while calls are waiting. When the peer is silent, it fails them all and replaces the connection.
func (pc *peerConn) pingLoop(p *Pool, l *link) {
	ticker := time.NewTicker(pingInterval)
	defer ticker.Stop()
	lastTick := time.Now()
	for {
		select {
		case <-ticker.C:
		case <-p.done:
			return
		}
		now := time.Now()
		paused := now.Sub(lastTick) > 2*pingInterval
		lastTick = now
		pc.mu.Lock()
		if len(l.waiters) == 0 || l.client.IsStopped() {
			l.isPinging = false
			pc.mu.Unlock()
			return
		}
		if paused {
			// This process itself did not run, so the silence says nothing about the peer.
			l.resetSilence()
		}
		if l.silentFor() > silenceTimeout {
			for w := range l.waiters {
				w.cancel(errSilent)
			}
			pc.replace(p, l) // the calls that fail now still use the connection, so the last of them closes it
		}
		pc.mu.Unlock()
		go func() {
			pingCtx, cancel := context.WithTimeout(context.Background(), silenceTimeout)
			defer cancel()
			_, _ = l.client.Call(pingCtx, methodPing, nil) // recvTimeChannel records the answer
		}()
	}
}

// recvTimeChannel records on the link when a message was received.
type recvTimeChannel struct {
	channel.Channel
	link *link
}

// Recv implements channel.Channel.
func (r *recvTimeChannel) Recv() ([]byte, error) {
	msg, err := r.Channel.Recv()
	if err == nil {
		r.link.messages.Add(1)
		r.link.resetSilence()
	}
	return msg, err
}
