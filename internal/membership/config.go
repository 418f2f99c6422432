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
	DefaultDomainFanout    = 2
)

// Config holds the settings of the loop.
type Config struct {
	Heartbeat       time.Duration
	ExchangeTimeout time.Duration
	Fanout          int
	DomainFanout    int
	// DomainEvery makes only each n-th heartbeat reach other failure domains, where the bytes between them are dear; 0 and 1
	// take each one. Nodes of other failure domains are then suspect at times, which only their own failure domain acts on.
	DomainEvery int
	Seeds       []string
	Bounds      Bounds
}

// DefaultConfig returns the settings that apply without flags.
func DefaultConfig() Config {
	return Config{
		Heartbeat: DefaultHeartbeat, ExchangeTimeout: DefaultExchangeTimeout, Fanout: DefaultFanout,
		DomainFanout: DefaultDomainFanout,
		Bounds:       Bounds{ChangeBytes: DefaultMessageBytes, BeatBytes: DefaultBeatBytes},
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

// Validate returns all faults of the settings.
func (c Config) Validate() []error {
	var faults []error
	add := func(bad bool, message string) {
		if bad {
			faults = append(faults, &Error{Code: CodeInvalidConfig, Message: message})
		}
	}
	add(c.Heartbeat < 50*time.Millisecond || c.Heartbeat > SuspectAfter/2,
		"heartbeat must be between 50ms and 1s: a node is suspect after 2s")
	add(c.ExchangeTimeout < 10*time.Millisecond || c.ExchangeTimeout > SuspectAfter,
		"heartbeat-timeout must be between 10ms and 2s")
	add(c.Fanout < 1 || c.Fanout > 64, "heartbeat-fanout must be between 1 and 64")
	add(c.DomainFanout < 1 || c.DomainFanout > 16, "fanout to other failure domains must be between 1 and 16")
	add(c.Bounds.ChangeBytes < 4<<10 || c.Bounds.ChangeBytes > 256<<10, "change bytes must be between 4 KB and 256 KB")
	add(c.Bounds.BeatBytes < 2*beatBytes || c.Bounds.BeatBytes > 64<<10, "beat bytes must be between 16 and 64 KB")
	for _, seed := range c.Seeds {
		add(!validAddress(seed), "seed "+seed+" is not IP:port")
	}
	return faults
}

// validAddress reports whether the address is an IP address with a port.
func validAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	return err == nil && net.ParseIP(strings.Trim(host, "[]")) != nil && port != "" && port != "0"
}
