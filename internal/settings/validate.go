package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/medlarshunt/medlarshunt/internal/config"
)

// Fault is one invalid setting. Message states the problem, Fix how to correct it.
type Fault struct {
	Flag    string
	Message string
	Fix     string
}

// String formats the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("--%s (%s): %s; %s", f.Flag, envName(f.Flag), f.Message, f.Fix)
}

// InvalidError lists all invalid settings.
type InvalidError struct{ Faults []Fault }

// Error implements the error interface.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return "settings: " + strings.Join(lines, "\n")
}

// validator collects faults.
type validator struct{ faults []Fault }

func (v *validator) addFault(flag, fix, message string, args ...any) {
	v.faults = append(v.faults, Fault{Flag: flag, Message: fmt.Sprintf(message, args...), Fix: fix})
}

// Validate returns one *InvalidError with all invalid settings, or nil when there are none. It reads the TLS files.
func (s Settings) Validate() error {
	s = s.WithDerived()
	var v validator
	v.checkIdentity(s)
	v.checkRoles(s)
	v.checkAddresses(s)
	v.checkPlatformAndSeeds(s)
	if level, err := logrus.ParseLevel(s.LogLevel); err != nil || level < logrus.ErrorLevel || level > logrus.DebugLevel {
		v.addFault("log-level", "use debug, info, warn or error", "%q is not a log level", s.LogLevel)
	}
	if s.TraceExporter != TraceOff && s.TraceExporter != TraceStdout && !isHTTPURL(s.TraceExporter) {
		v.addFault("trace-exporter", "use off, stdout or a URL such as http://127.0.0.1:4318", "%q is not an exporter", s.TraceExporter)
	}
	if s.Grace < time.Second || s.Grace > maxGrace {
		v.addFault("grace", fmt.Sprintf("use 1s to %s", maxGrace), "%s is out of range", s.Grace)
	}
	if s.MemoryMB != 0 && s.MemoryMB < minMemoryMB {
		v.addFault("memory-mb", fmt.Sprintf("use %d or more, or 0", minMemoryMB), "%d is too little", s.MemoryMB)
	}
	if s.MaxFDs != 0 && s.MaxFDs < minFDs {
		v.addFault("max-fds", fmt.Sprintf("use %d or more, or 0", minFDs), "%d is too little", s.MaxFDs)
	}
	v.checkTLS("caller-tls", s.CallerTLS, false)
	v.checkTLS("peer-tls", s.PeerTLS, true)
	if s.PeerTLS.Enabled() && s.PeerServerName == "" {
		v.addFault("peer-tls-name", "set the DNS name in the certificates of the nodes", "is empty")
	}
	if len(v.faults) > 0 {
		return &InvalidError{Faults: v.faults}
	}
	return nil
}

func (v *validator) checkIdentity(s Settings) {
	const fix = "use 1 to 63 characters of a-z, 0-9 and -, with a letter first and no - last"
	for _, n := range []struct{ flag, value string }{{"domain", s.Domain}, {"region", s.Region}} {
		if !config.ValidName(n.value) {
			v.addFault(n.flag, fix, "%q is not an identifier", n.value)
		}
	}
	if s.Ordinal < 0 || s.Ordinal > maxOrdinal {
		v.addFault("ordinal", fmt.Sprintf("set the node's own number in its failure domain, 0 to %d", maxOrdinal), "is not set or out of range")
	}
	// A node id that could not be derived is reported with the settings that it is derived from.
	if s.NodeID != "" && !config.ValidName(s.NodeID) && config.ValidName(s.Domain) {
		v.addFault("node-id", fix, "%q is not an identifier", s.NodeID)
	}
}

func (v *validator) checkRoles(s Settings) {
	const fix = "use entry, relay or entry,relay"
	if len(s.Roles) == 0 {
		v.addFault("roles", fix, "is empty")
	}
	for _, r := range s.Roles {
		if Role(r) != RoleEntry && Role(r) != RoleRelay {
			v.addFault("roles", fix, "%q is not a role", r)
		}
	}
}

func (v *validator) checkAddresses(s Settings) {
	const fix = "use IP:port, for example 10.0.0.7:8081"
	flagsByAddress := map[netip.AddrPort]string{}
	listen := []struct {
		flag, value   string
		allowPortZero bool
		required      bool
	}{{"caller-listen", s.CallerListen, true, s.HasRole(RoleEntry)}, {"peer-listen", s.PeerListen, false, true},
		{"admin-listen", s.AdminListen, true, true}}
	for _, l := range listen {
		a, err := netip.ParseAddrPort(l.value)
		switch {
		case !l.required:
		case err != nil:
			v.addFault(l.flag, fix, "%q is not an address", l.value)
		case a.Port() == 0 && !l.allowPortZero:
			v.addFault(l.flag, "choose a port: other nodes must know it", "has port 0")
		case a.Port() != 0 && flagsByAddress[a] != "":
			v.addFault(l.flag, "choose another port", "%s is also --%s", l.value, flagsByAddress[a])
		default:
			flagsByAddress[a] = l.flag
		}
	}
	v.checkDialable("peer-advertise", "set the IP:port at which other nodes reach this one", s.PeerAdvertise)
}

// checkDialable reports an address that another node cannot connect to.
func (v *validator) checkDialable(flag, fix, value string) {
	a, err := netip.ParseAddrPort(value)
	if err != nil {
		v.addFault(flag, fix, "%q is not an address", value)
	} else if a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		v.addFault(flag, fix, "nobody can connect to %s", value)
	}
}

func (v *validator) checkPlatformAndSeeds(s Settings) {
	const fix = "use URLs such as http://10.0.0.2:7000"
	if len(s.PlatformURLs) == 0 {
		v.addFault("platform-url", fix, "is empty")
	}
	for _, u := range s.PlatformURLs {
		if !isHTTPURL(u) {
			v.addFault("platform-url", fix, "%q is not an http or https URL", u)
		}
	}
	for _, seed := range s.Seeds {
		v.checkDialable("seed", "use IP:port of another node's peer-advertise", seed)
	}
}

func isHTTPURL(s string) bool {
	u, err := url.Parse(s)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}
