package membership

import "time"

// Timeouts and intervals of the protocol.
const (
	// SuspectAfter and DeadAfter are the times without a heartbeat after which a node is suspect and dead.
	SuspectAfter = 2 * time.Second
	DeadAfter    = 5 * time.Second
	// PauseThreshold is the gap between two observations of the clock above which the process counts as paused.
	PauseThreshold = time.Second
	// minHeartbeatInterval is the shortest time between two heartbeats, so that a burst of changes costs one extra
	// heartbeat.
	minHeartbeatInterval = 100 * time.Millisecond
	// clockRegressionWindow is the time after the start in which a record of another incarnation with a later generation
	// counts as an earlier one, left from before the clock went back. After it, such a record means that this node was
	// replaced.
	clockRegressionWindow = 10 * time.Second
	// downRetention is the age of a down declaration at which the dead node is removed.
	downRetention = 10 * time.Minute
	// maxDownRelayAge is the age from which a down declaration is no longer passed on. The margin to downRetention keeps
	// a node whose clock is late from telling others about a node that they have already removed.
	maxDownRelayAge = 9 * time.Minute
	// silentDomainRetention is the time without contact after which the nodes of another failure domain are removed.
	silentDomainRetention = 24 * time.Hour
	// leavingMarkTTL is far longer than a target takes to stop. Reports renew a mark that has at most half of it left.
	leavingMarkTTL = 24 * time.Hour
	// pruneInterval is the interval between removals of expired items, which scan the whole view.
	pruneInterval = 10 * time.Second
)

// Limits on what peers can make a node store: three to five times the planned size.
const (
	maxNodes                = 8_000
	maxMarks                = 50_000
	maxQuarantineEntries    = 10_000
	maxTextBytes            = 1_024
	maxQuarantineEntryBytes = 1_024
	maxRoles                = 8
)

// Size limits of one message.
const (
	// DefaultMaxChangeBytes bounds the changes in one message. The full state at the planned size takes about 30 messages.
	DefaultMaxChangeBytes = 16 << 10
	// DefaultMaxHeartbeatBytes bounds the relayed heartbeats in one message. With 100 nodes in the failure domain a node
	// sends 32 messages a second, and the budget for all control traffic is 19 KB a second.
	DefaultMaxHeartbeatBytes = 160
	// packedHeartbeatBytes is the usual size of one packed heartbeat: 5 bytes of key and up to 3 bytes of counter.
	packedHeartbeatBytes = 8
	// heartbeatsPerRemoteDomain is the number of heartbeats of each other failure domain in a message. They only show
	// that the failure domain is reachable; its own nodes declare each other down.
	heartbeatsPerRemoteDomain = 2
)
