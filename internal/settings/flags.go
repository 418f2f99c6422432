package settings

import (
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"
)

// envPrefix is the prefix of the names of all environment variables.
const envPrefix = "MEDLARSHUNT_"

// envName returns the name of the environment variable of a flag.
func envName(flag string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(flag, "-", "_"))
}

func envSource(flag string) cli.ValueSourceChain { return cli.EnvVars(envName(flag)) }

// Flags returns the flags of a node. Parsing them writes to s. A flag takes precedence over its environment variable.
func Flags(s *Settings) []cli.Flag {
	d := Default()
	stringFlag := func(name, value string, dst *string, usage string) cli.Flag {
		return &cli.StringFlag{Name: name, Value: value, Destination: dst, Sources: envSource(name), Usage: usage}
	}
	listFlag := func(name string, value []string, dst *[]string, usage string) cli.Flag {
		return &cli.StringSliceFlag{Name: name, Value: value, Destination: dst, Sources: envSource(name), Usage: usage}
	}
	return []cli.Flag{
		stringFlag("node-id", "", &s.NodeID, "name of the node, unique in the fleet and the same after a restart; when empty, domain and ordinal joined, for example gobabis-3"),
		stringFlag("domain", "", &s.Domain, "failure domain of the node, as named in the published documents"),
		stringFlag("region", "", &s.Region, "region of the failure domain"),
		&cli.IntFlag{Name: "ordinal", Value: d.Ordinal, Destination: &s.Ordinal, Sources: envSource("ordinal"), HideDefault: true,
			Usage: "number of the node in its failure domain, from 0, unique there; it decides which groups the node may own"},
		listFlag("roles", d.Roles, &s.Roles, "entry (serves callers), relay (calls targets), or both, separated by commas"),
		stringFlag("caller-listen", d.CallerListen, &s.CallerListen, "IP:port for callers; port 0 lets the system choose"),
		stringFlag("peer-listen", d.PeerListen, &s.PeerListen, "IP:port for other nodes"),
		stringFlag("peer-advertise", "", &s.PeerAdvertise, "IP:port at which other nodes reach this one; that of peer-listen when empty"),
		stringFlag("admin-listen", d.AdminListen, &s.AdminListen, "IP:port for health, metrics and the administration API; port 0 lets the system choose"),
		listFlag("platform-url", nil, &s.PlatformURLs, "URLs of the platform's configuration service, separated by commas, tried in order"),
		listFlag("seed", nil, &s.Seeds, "IP:port of nodes to contact first, separated by commas, beside those in the published list"),
		stringFlag("log-level", d.LogLevel, &s.LogLevel, "debug, info, warn or error"),
		stringFlag("trace-exporter", d.TraceExporter, &s.TraceExporter, "off, stdout, or the URL of an OTLP/HTTP endpoint"),
		stringFlag("caller-tls-cert", "", &s.CallerTLS.Cert, "certificate chain for callers: PEM text or file name; no TLS when empty"),
		stringFlag("caller-tls-key", "", &s.CallerTLS.Key, "key of that certificate: PEM text (by environment only) or file name"),
		stringFlag("peer-tls-cert", "", &s.PeerTLS.Cert, "certificate chain for other nodes: PEM text or file name; no TLS when empty"),
		stringFlag("peer-tls-key", "", &s.PeerTLS.Key, "key of that certificate: PEM text (by environment only) or file name"),
		stringFlag("peer-tls-ca", "", &s.PeerTLS.CA, "authorities that sign the certificates of nodes: PEM text or file name"),
		stringFlag("peer-tls-name", d.PeerServerName, &s.PeerServerName, "DNS name that the certificate of each node carries"),
		&cli.DurationFlag{Name: "grace", Value: d.Grace, Destination: &s.Grace, Sources: envSource("grace"),
			Usage: "time for requests in flight at a stop, with its unit; at least the longest time budget of a group"},
		&cli.IntFlag{Name: "memory-mb", Value: d.MemoryMB, Destination: &s.MemoryMB, Sources: envSource("memory-mb"),
			Usage: "memory of the node in MB, at least 64, from which the bounds on clients follow; 0 sets none"},
		&cli.IntFlag{Name: "max-fds", Value: d.MaxFDs, Destination: &s.MaxFDs, Sources: envSource("max-fds"),
			Usage: "descriptors that the node may open, at least 300, from which the bounds on connections follow; 0 takes the limit of the process"},
	}
}

// MarkdownTable returns the documentation of the settings as a Markdown table.
func MarkdownTable() string {
	var b strings.Builder
	b.WriteString("| flag | environment variable | default | meaning |\n|---|---|---|---|\n")
	for _, f := range Flags(&Settings{}) {
		doc, ok := f.(cli.DocGenerationFlag)
		if !ok {
			continue
		}
		name := f.Names()[0]
		fmt.Fprintf(&b, "| `--%s` | `%s` | %s | %s |\n", name, envName(name), defaultText(f), doc.GetUsage())
	}
	return b.String()
}

// defaultText returns the default of a flag as it is written on a command line, or "none".
func defaultText(f cli.Flag) string {
	value := ""
	switch f := f.(type) {
	case *cli.StringFlag:
		value = f.Value
	case *cli.StringSliceFlag:
		value = strings.Join(f.Value, ",")
	case *cli.DurationFlag:
		value = f.Value.String()
	}
	if value == "" {
		return "none"
	}
	return "`" + value + "`"
}
