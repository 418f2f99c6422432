// Package configsync fetches the configuration and the catalogue from the platform and from peers and keeps the highest
// valid version of each in force.
package configsync

import (
	"fmt"
	"time"

	"github.com/urfave/cli/v3"
)

// Defaults of the settings.
const (
	// DefaultWatchWait is the duration of one long poll. Each watch counts as a platform read: the 36 readers of the
	// planned size make 36 of 2,000 reads a second. A silently lost connection blocks a watch for this time plus
	// watchMargin, which must stay below the 6 s of requirement R8: the time within which a new version is in force on
	// all nodes.
	DefaultWatchWait = 2 * time.Second
	// DefaultStartupJitter spreads the first reads of nodes that start together: 1,800 nodes with two reads each stay
	// at 1,200 reads a second, below the platform's 2,000.
	DefaultStartupJitter = 3 * time.Second
	// DefaultReaderDelay is the time after the start during which a node does not watch the platform. Before it knows
	// its peers, every node of a restarted failure domain would consider itself a reader.
	DefaultReaderDelay = 1500 * time.Millisecond
	// DefaultReadRate and DefaultReadBurst bound the platform reads of one node. The 36 readers of the planned size
	// stay at 1,440 of 2,000 reads a second when they all read a whole document set after a restart. A set of 100
	// parts then takes 2 s.
	DefaultReadRate  = 40.0
	DefaultReadBurst = 20
	// DefaultBehindWait is how long a starting node waits for a known version that neither peers nor the platform provide.
	DefaultBehindWait = 30 * time.Second
	// DefaultLagLimit is how long a running node may lag behind a peer of its failure domain: the bound of R8.
	DefaultLagLimit = 6 * time.Second
)

const (
	// pollInterval is the interval at which known versions and the rank of this node as a reader are checked.
	pollInterval = 200 * time.Millisecond
	// fetchTimeout bounds one fetch from a peer, readTimeout one platform read other than a watch.
	fetchTimeout = 2 * time.Second
	readTimeout  = 2 * time.Second
	// watchMargin is the time by which the response to a watch may exceed the wait of the watch.
	watchMargin = 2 * time.Second
	// minBackoff and maxBackoff bound the backoff after a failed platform read. It doubles with each failure, and the
	// pause is a random 0.5 to 1.5 times the backoff, so that readers do not retry at the same time. A delayed watch
	// plus the longest pause after it must stay below the 6 s of R8.
	minBackoff = 200 * time.Millisecond
	maxBackoff = time.Second
	// fallbackAfter is how long the nodes of the next ranks wait for a peer that provides a newer version before they
	// read the platform although they are not readers. It exceeds the time in which a lost reader is replaced.
	fallbackAfter = 4 * time.Second
	// minRankDuration is how long a rank must last before a node starts or stops watching. With the 2 s until a lost
	// node is suspect, a new version is still in force within the 6 s of R8 when both readers are lost.
	minRankDuration = time.Second
	// readersPerDomain is the number of live nodes per failure domain that watch the platform. The second one keeps
	// watching until the loss of the first is detected.
	readersPerDomain = 2
	// initialFetchPeers is the number of peers from which a node fetches after a start or a pause.
	initialFetchPeers = 3
)

// Config holds the settings.
type Config struct {
	WatchWait     time.Duration
	StartupJitter time.Duration
	ReaderDelay   time.Duration
	ReadRate      float64
	ReadBurst     int
	BehindWait    time.Duration
	LagLimit      time.Duration
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		WatchWait: DefaultWatchWait, StartupJitter: DefaultStartupJitter, ReaderDelay: DefaultReaderDelay,
		ReadRate: DefaultReadRate, ReadBurst: DefaultReadBurst, BehindWait: DefaultBehindWait, LagLimit: DefaultLagLimit,
	}
}

// Flags returns the command line flags that set the fields of c.
func (c *Config) Flags() []cli.Flag {
	return []cli.Flag{
		&cli.DurationFlag{Name: "config-watch-wait", Usage: "length of one long poll of the platform",
			Value: c.WatchWait, Sources: cli.EnvVars("MEDLARSHUNT_CONFIG_WATCH_WAIT"), Destination: &c.WatchWait},
		&cli.DurationFlag{Name: "config-startup-jitter", Usage: "time over which first platform reads are spread",
			Value: c.StartupJitter, Sources: cli.EnvVars("MEDLARSHUNT_CONFIG_STARTUP_JITTER"),
			Destination: &c.StartupJitter},
		&cli.DurationFlag{Name: "config-reader-delay", Usage: "time after the start before a node watches the platform",
			Value: c.ReaderDelay, Sources: cli.EnvVars("MEDLARSHUNT_CONFIG_READER_DELAY"), Destination: &c.ReaderDelay},
		&cli.FloatFlag{Name: "config-read-rate", Usage: "platform reads per second of this node",
			Value: c.ReadRate, Sources: cli.EnvVars("MEDLARSHUNT_CONFIG_READ_RATE"), Destination: &c.ReadRate},
		&cli.IntFlag{Name: "config-read-burst", Usage: "platform reads of this node that may follow at once",
			Value: c.ReadBurst, Sources: cli.EnvVars("MEDLARSHUNT_CONFIG_READ_BURST"), Destination: &c.ReadBurst},
		&cli.DurationFlag{Name: "config-behind-wait", Usage: "longest wait at start for a known but unavailable version",
			Value: c.BehindWait, Sources: cli.EnvVars("MEDLARSHUNT_CONFIG_BEHIND_WAIT"), Destination: &c.BehindWait},
		&cli.DurationFlag{Name: "config-lag-limit", Usage: "longest lag behind a peer of the own failure domain",
			Value: c.LagLimit, Sources: cli.EnvVars("MEDLARSHUNT_CONFIG_LAG_LIMIT"), Destination: &c.LagLimit},
	}
}

// Validate returns one error for each invalid setting.
func (c Config) Validate() []error {
	var faults []error
	checkDuration := func(name string, value, low, high time.Duration) {
		if value < low || value > high {
			faults = append(faults, &Error{Code: CodeInvalidConfig,
				Message: fmt.Sprintf("%s is %v, must be between %v and %v", name, value, low, high)})
		}
	}
	checkDuration("config-watch-wait", c.WatchWait, time.Second, time.Minute)
	checkDuration("config-startup-jitter", c.StartupJitter, 0, time.Minute)
	checkDuration("config-reader-delay", c.ReaderDelay, 0, time.Minute)
	checkDuration("config-behind-wait", c.BehindWait, time.Second, time.Hour)
	checkDuration("config-lag-limit", c.LagLimit, time.Second, time.Hour)
	if c.ReadRate < 0.1 || c.ReadRate > 100 {
		faults = append(faults, &Error{Code: CodeInvalidConfig, Message: "config-read-rate must be between 0.1 and 100"})
	}
	if c.ReadBurst < 4 || c.ReadBurst > 1000 {
		faults = append(faults, &Error{Code: CodeInvalidConfig, Message: "config-read-burst must be between 4 and 1000"})
	}
	return faults
}

// Code classifies an Error.
type Code string

// Error codes.
const (
	CodeInvalidConfig Code = "configsync_invalid_config"
	CodePlatform      Code = "configsync_platform"
	CodePeer          Code = "configsync_peer"
	CodeInvalidSet    Code = "configsync_invalid_set"
	CodeIncompleteSet Code = "configsync_incomplete_set"
	CodeConflict      Code = "configsync_version_conflict"
)

// Error is an error of this package. Err is the underlying cause and may be nil.
type Error struct {
	Code    Code
	Message string
	Err     error
}

// Error implements the error interface.
func (e *Error) Error() string {
	if e.Err == nil {
		return string(e.Code) + ": " + e.Message
	}
	return string(e.Code) + ": " + e.Message + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
