package membership

import (
	"net"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

// Defaults of the settings.
const (
	DefaultHeartbeat       = 500 * time.Millisecond
	DefaultExchangeTimeout = time.Second
	DefaultFanout          = 8
	DefaultRemoteFanout    = 2
)

// Config holds the settings of a Loop.
type Config struct {
	Heartbeat       time.Duration
	ExchangeTimeout time.Duration
	Fanout          int
	RemoteFanout    int
	// RemoteHeartbeatEvery sends only every n-th heartbeat to other failure domains, for networks on which traffic between
	// them is expensive; 0 and 1 send every heartbeat. Nodes of other failure domains are then suspect at times, which only
	// their own failure domain acts on.
	RemoteHeartbeatEvery int
	Seeds                []string
	Limits               MessageLimits
}

// DefaultConfig returns the settings that apply when no flag is set.
func DefaultConfig() Config {
	return Config{
		Heartbeat: DefaultHeartbeat, ExchangeTimeout: DefaultExchangeTimeout, Fanout: DefaultFanout,
		RemoteFanout: DefaultRemoteFanout,
		Limits:       MessageLimits{MaxChangeBytes: DefaultMaxChangeBytes, MaxHeartbeatBytes: DefaultMaxHeartbeatBytes},
	}
}

// Flags returns the command line flags that set c.
func (c *Config) Flags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "seed", Usage: "peer address (IP:port) to contact at start; may be repeated",
			Sources: cli.EnvVars("MEDLARSHUNT_SEEDS"), Destination: &c.Seeds},
		&cli.DurationFlag{Name: "heartbeat", Usage: "interval between heartbeats", Value: c.Heartbeat,
			Sources: cli.EnvVars("MEDLARSHUNT_HEARTBEAT"), Destination: &c.Heartbeat},
		&cli.DurationFlag{Name: "heartbeat-timeout", Usage: "time limit of one exchange with a peer",
			Value: c.ExchangeTimeout, Sources: cli.EnvVars("MEDLARSHUNT_HEARTBEAT_TIMEOUT"),
			Destination: &c.ExchangeTimeout},
		&cli.IntFlag{Name: "heartbeat-fanout", Usage: "nodes of the own failure domain per heartbeat",
			Value: c.Fanout, Sources: cli.EnvVars("MEDLARSHUNT_HEARTBEAT_FANOUT"), Destination: &c.Fanout},
	}
}

// Validate returns an error for each invalid setting.
func (c Config) Validate() []error {
	var errs []error
	check := func(invalid bool, message string) {
		if invalid {
			errs = append(errs, &Error{Code: CodeInvalidConfig, Message: message})
		}
	}
	check(c.Heartbeat < 50*time.Millisecond || c.Heartbeat > SuspectAfter/2,
		"heartbeat must be between 50ms and 1s: a node is suspect after 2s")
	check(c.ExchangeTimeout < 10*time.Millisecond || c.ExchangeTimeout > SuspectAfter,
		"heartbeat-timeout must be between 10ms and 2s")
	check(c.Fanout < 1 || c.Fanout > 64, "heartbeat-fanout must be between 1 and 64")
	check(c.RemoteFanout < 1 || c.RemoteFanout > 16, "fanout to other failure domains must be between 1 and 16")
	check(c.Limits.MaxChangeBytes < 4<<10 || c.Limits.MaxChangeBytes > 256<<10, "change bytes must be between 4 KB and 256 KB")
	check(c.Limits.MaxHeartbeatBytes < 2*packedHeartbeatBytes || c.Limits.MaxHeartbeatBytes > 64<<10,
		"heartbeat bytes must be between 16 B and 64 KB")
	for _, seed := range c.Seeds {
		check(!isIPPort(seed), "seed "+seed+" is not IP:port")
	}
	return errs
}

// isIPPort reports whether the address is an IP address with a port other than 0.
func isIPPort(address string) bool {
	host, port, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(strings.Trim(host, "[]")) != nil && port != "" && port != "0"
}
