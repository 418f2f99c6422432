package gateway

import (
	"time"

	"github.com/medlarshunt/medlarshunt/internal/intake"
	"github.com/medlarshunt/medlarshunt/internal/peer"
)

const (
	// requestMemoryShare is the fraction of Config.MemoryLimitBytes that requests of callers may occupy.
	requestMemoryShare = 0.15
	// answerTimeout bounds how long a caller may take none of an answer. It is longer than callers wait.
	answerTimeout = 15 * time.Second
	// callerSocketShare, peerSocketShare and auxSocketShare are the fractions of the sockets of the process that clients of the callers',
	// the peers', and each of the other two addresses may hold. The rest is for connections that the process opens.
	callerSocketShare = 0.5
	peerSocketShare   = 0.125
	auxSocketShare    = 0.015
	// connectionMemoryShare is the fraction of Config.MemoryLimitBytes that connections of callers may occupy beside their requests.
	connectionMemoryShare = 0.2
	// peerMemoryShare is the fraction of Config.MemoryLimitBytes that connections of other nodes may occupy.
	peerMemoryShare = 0.1
	// messageMemoryShare is the fraction of Config.MemoryLimitBytes that messages of other nodes may occupy.
	messageMemoryShare = 0.1
	// messageConnectionShare is the fraction of that which messages of one connection may occupy. A node has a few calls at another.
	messageConnectionShare = 1.0 / 16
)

// memoryShare returns a fraction of the memory of the process in bytes.
func (cfg Config) memoryShare(share float64) int64 {
	return int64(share * float64(cfg.MemoryLimitBytes))
}

// connectionLimit returns the number of connections that a listener with these shares may hold.
func (cfg Config) connectionLimit(socketShare, memoryShare float64) int {
	return intake.ConnectionLimit(cfg.MaxFDs, cfg.MemoryLimitBytes, socketShare, memoryShare)
}

// newCallerGuard returns what bounds the callers of a process.
func newCallerGuard(cfg Config, deps Deps, c *core) *intake.Guard {
	budget := intake.NewBudget(cfg.memoryShare(requestMemoryShare), time.Now)
	guard := intake.NewGuard(intake.Config{
		Budget: budget, MaxHeadBytes: c.maxHeadBytes, MaxConnections: cfg.connectionLimit(callerSocketShare, connectionMemoryShare),
		WriteTimeout: answerTimeout, Refuse: deps.CrowdedHandler,
	})
	deps.MetricsSet.NewGauge("medlarshunt_request_memory_bytes", func() float64 { return float64(budget.Used()) })
	deps.MetricsSet.NewGauge("medlarshunt_caller_connections", func() float64 { return float64(guard.OpenConnections()) })
	return guard
}

func newPeerServer(cfg Config, deps Deps, c *core) *peer.Server {
	return peer.NewServer(deps.PeerListener, c.peerMethods(), peer.ServerConfig{
		Panics: deps.Panics, MaxConnections: cfg.connectionLimit(peerSocketShare, peerMemoryShare), MemoryBytes: cfg.memoryShare(messageMemoryShare),
		ConnectionShare: messageConnectionShare,
	})
}

// maxHeadBytes returns the limit of heads of the configuration in force, or 0 without a configuration.
func (c *core) maxHeadBytes() int {
	if t := c.follower.View().Table; t != nil {
		return t.Configuration.Limits.HeaderBytes
	}
	return 0
}
