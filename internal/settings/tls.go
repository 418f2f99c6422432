package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// TLSMaterial names a certificate, its key and the certificate authorities (CA) that peers are verified against. Each is
// PEM text or the name of a PEM file.
type TLSMaterial struct {
	Cert string
	Key  string
	CA   string
}

// Enabled reports whether any field is set.
func (m TLSMaterial) Enabled() bool { return m != TLSMaterial{} }

// pemHeader distinguishes PEM text from a file name.
const pemHeader = "-----BEGIN "

// readPEM returns the value if it is PEM text, and the contents of the file that it names otherwise.
func readPEM(value string) ([]byte, error) {
	if strings.Contains(value, pemHeader) {
		return []byte(value), nil
	}
	data, err := os.ReadFile(value)
	return data, eris.Wrap(err, "settings: read PEM")
}

// credentials holds the parsed certificate with its key, and the authorities.
type credentials struct {
	cert    tls.Certificate
	peerCAs *x509.CertPool
}

func (m TLSMaterial) load() (*credentials, error) {
	cert, err := readPEM(m.Cert)
	if err != nil {
		return nil, err
	}
	key, err := readPEM(m.Key)
	if err != nil {
		return nil, err
	}
	// Without a CA the pool stays empty, so that no peer is trusted; with nil the system's authorities would be.
	creds := &credentials{peerCAs: x509.NewCertPool()}
	if creds.cert, err = tls.X509KeyPair(cert, key); err != nil {
		return nil, eris.Wrap(err, "settings: parse certificate and key")
	}
	if m.CA == "" {
		return creds, nil
	}
	creds.peerCAs, err = m.loadCA()
	return creds, err
}

func (m TLSMaterial) loadCA() (*x509.CertPool, error) {
	data, err := readPEM(m.CA)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, eris.New("settings: no PEM certificate in the certificate authorities")
	}
	return pool, nil
}

// TLSReloader holds the current certificate and authorities. Reload replaces both at once; open connections keep the ones that
// they were set up with. It is safe for concurrent use.
type TLSReloader struct {
	material TLSMaterial
	peerName string
	current  atomic.Pointer[credentials]
}

// NewTLSReloader loads the material. peerName is the DNS name in the certificates of all nodes; it is not used for callers.
func NewTLSReloader(m TLSMaterial, peerName string) (*TLSReloader, error) {
	h := &TLSReloader{material: m, peerName: peerName}
	return h, h.Reload()
}

// Reload reads the files again. After an error the previous material stays in use.
func (h *TLSReloader) Reload() error {
	creds, err := h.material.load()
	if err != nil {
		return err
	}
	h.current.Store(creds)
	return nil
}

// CallerConfig returns the server configuration for callers. Each handshake uses the certificate that is current then.
func (h *TLSReloader) CallerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &h.current.Load().cert, nil
		},
	}
}

// PeerServerConfig returns the server configuration for connections between nodes. Each handshake uses the certificate and
// the authorities that are current then, and requires a certificate of the other node.
func (h *TLSReloader) PeerServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			creds := h.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{creds.cert},
				ClientCAs:    creds.peerCAs,
				ClientAuth:   tls.RequireAndVerifyClientCert,
				// A resumed session could outlive an authority that was removed.
				SessionTicketsDisabled: true,
			}, nil
		},
	}
}

// PeerClientConfig returns the client configuration for one connection to another node. It does not follow Reload: each
// later connection needs a new one.
func (h *TLSReloader) PeerClientConfig() *tls.Config {
	creds := h.current.Load()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{creds.cert},
		RootCAs:      creds.peerCAs,
		ServerName:   h.peerName,
	}
}

// checkTLS checks one set of material. prefix is the common prefix of its flags.
func (v *validator) checkTLS(prefix string, m TLSMaterial, needsCA bool) {
	if !m.Enabled() {
		return
	}
	complete := true
	for _, p := range []struct {
		flagSuffix, value string
		required          bool
	}{{"-cert", m.Cert, true}, {"-key", m.Key, true}, {"-ca", m.CA, needsCA}} {
		if !p.required {
			continue
		}
		if p.value == "" {
			v.addFault(prefix+p.flagSuffix, "set PEM text or a file name, or leave all of "+prefix+"-* empty", "is empty while others are set")
			complete = false
		} else if _, err := readPEM(p.value); err != nil {
			v.addFault(prefix+p.flagSuffix, "set PEM text or the name of a readable file", "%v", eris.Cause(err))
			complete = false
		}
	}
	if !complete {
		return
	}
	if _, err := m.load(); err != nil {
		v.addFault(prefix+"-cert", "set a certificate, its own key and, for nodes, their authorities", "%v", err)
	}
}
