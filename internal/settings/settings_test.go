package settings_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"flag"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/urfave/cli/v3"

	"github.com/medlarshunt/medlarshunt/internal/settings"
)

var update = flag.Bool("update-docs", false, "rewrite the generated table in docs/settings.md")

func TestSettings(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "settings")
}

func validSettings() settings.Settings {
	s := settings.Default()
	s.Domain, s.Region, s.Ordinal, s.PlatformURLs = "gobabis", "omaheke", 3, []string{"http://127.0.0.1:7000"}
	return s
}

func faultyFlags(err error) []string {
	var invalid *settings.InvalidError
	if !errors.As(err, &invalid) {
		return nil
	}
	var out []string
	for _, f := range invalid.Faults {
		Expect(f.Fix).NotTo(BeEmpty())
		out = append(out, f.Flag)
	}
	return out
}

// Guards against a node that starts with invalid settings, and against a validation that reports only one fault per start.
var _ = DescribeTable("Validate", func(mutate func(*settings.Settings), want ...string) {
	s := validSettings()
	Expect(s.Validate()).To(Succeed())
	mutate(&s)
	Expect(faultyFlags(s.Validate())).To(ConsistOf(want))
},
	Entry("nothing set", func(s *settings.Settings) { *s = settings.Settings{Ordinal: -1} }, "domain", "region", "ordinal",
		"roles", "peer-listen", "admin-listen", "peer-advertise", "platform-url", "log-level", "trace-exporter", "grace"),
	Entry("all interfaces without an advertised address", func(s *settings.Settings) { s.PeerListen = "0.0.0.0:8081" }, "peer-advertise"),
	Entry("one port twice", func(s *settings.Settings) { s.AdminListen = s.PeerListen }, "admin-listen"),
	Entry("port 0 for peers", func(s *settings.Settings) { s.PeerListen, s.PeerAdvertise = "127.0.0.1:0", "127.0.0.1:1" }, "peer-listen"),
	Entry("host names", func(s *settings.Settings) { s.Seeds = []string{"node:1"}; s.PlatformURLs = []string{"platform:7000"} },
		"seed", "platform-url"),
	Entry("unknown role", func(s *settings.Settings) { s.Roles = []string{"entry", "store"} }, "roles"),
	Entry("too little memory and too few descriptors", func(s *settings.Settings) { s.MemoryMB, s.MaxFDs = 10, -1 }, "memory-mb", "max-fds"),
	Entry("key without certificate", func(s *settings.Settings) { s.CallerTLS.Key = "/nonexistent" }, "caller-tls-cert", "caller-tls-key"),
	Entry("no PEM", func(s *settings.Settings) {
		s.PeerTLS = settings.TLSMaterial{Cert: "-----BEGIN x", Key: "-----BEGIN x", CA: "-----BEGIN x"}
	}, "peer-tls-cert"),
)

var _ = Describe("Flags", func() {
	// Guards against a flag that is bound to the wrong field or ignores its environment variable.
	It("take precedence over environment variables, and these over defaults", func() {
		t := GinkgoT()
		t.Setenv("MEDLARSHUNT_DOMAIN", "gobabis")
		t.Setenv("MEDLARSHUNT_SEED", "127.0.0.1:1,127.0.0.2:2")
		t.Setenv("MEDLARSHUNT_ORDINAL", "5")
		t.Setenv("MEDLARSHUNT_GRACE", "3s")
		var got settings.Settings
		cmd := &cli.Command{Name: "node", Flags: settings.Flags(&got), Action: func(context.Context, *cli.Command) error { return nil }}
		Expect(cmd.Run(context.Background(), []string{"node", "--region", "omaheke", "--ordinal", "3",
			"--platform-url", "http://127.0.0.1:7000"})).To(Succeed())
		want := validSettings()
		want.Seeds, want.Grace = []string{"127.0.0.1:1", "127.0.0.2:2"}, 3*time.Second
		Expect(got).To(Equal(want))
		Expect(got.WithDerived().NodeID).To(Equal("gobabis-3"))
		Expect(got.WithDerived().PeerAdvertise).To(Equal("127.0.0.1:8081"))
	})

	// Guards against documentation that lacks a setting or states an outdated default.
	It("are documented in docs/settings.md", func() {
		const name, begin, end = "../../docs/settings.md", "<!-- generated table -->\n", "<!-- end of generated table -->"
		data, err := os.ReadFile(name)
		Expect(err).NotTo(HaveOccurred())
		head, rest, ok := strings.Cut(string(data), begin)
		Expect(ok).To(BeTrue())
		table, tail, ok := strings.Cut(rest, end)
		Expect(ok).To(BeTrue())
		if *update {
			table = settings.MarkdownTable()
			Expect(os.WriteFile(name, []byte(head+begin+table+end+tail), 0o644)).To(Succeed())
		}
		Expect(table).To(Equal(settings.MarkdownTable()), "run: go test ./internal/settings -update-docs")
	})
})

// authority is a certificate authority, or a certificate that one has issued.
type authority struct {
	cert    *x509.Certificate
	key     *ecdsa.PrivateKey
	certPEM string
}

// issue returns a new certificate, signed by parent, and its key as PEM. With a nil parent it is a self-signed authority.
func issue(serial int64, parent *authority) (authority, string) {
	GinkgoHelper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	t := &x509.Certificate{SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "test"}, NotBefore: time.Unix(0, 0),
		NotAfter: time.Now().Add(time.Hour), DNSNames: []string{"medlarshunt-peer"}, BasicConstraintsValid: true, IsCA: parent == nil}
	signer, signKey := t, key
	if parent != nil {
		signer, signKey = parent.cert, parent.key
	}
	der, err := x509.CreateCertificate(rand.Reader, t, signer, &key.PublicKey, signKey)
	Expect(err).NotTo(HaveOccurred())
	cert, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	keyDER, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	block := func(kind string, data []byte) string {
		return string(pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}))
	}
	return authority{cert, key, block("CERTIFICATE", der)}, block("EC PRIVATE KEY", keyDER)
}

// handshake connects two configurations over loopback and returns the serial number of the certificate that the client
// received.
func handshake(server, client *tls.Config) (int64, error) {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	b, err := net.Dial("tcp", l.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	defer b.Close()
	a, err := l.Accept()
	Expect(err).NotTo(HaveOccurred())
	defer a.Close()
	done := make(chan error, 1)
	go func() {
		s := tls.Server(a, server)
		err := s.Handshake()
		a.Close()
		done <- err
	}()
	c := tls.Client(b, client)
	err = c.Handshake()
	if err == nil {
		_, _ = c.Read(make([]byte, 1)) // a TLS 1.3 server rejects the client's certificate after the client's handshake
	}
	b.Close()
	serverErr := <-done
	if err != nil || serverErr != nil {
		return 0, errors.Join(err, serverErr)
	}
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

var _ = Describe("Holder", func() {
	// Guards against a renewed certificate that takes effect only after a restart, and against half-written files that stop
	// a node from serving.
	It("serves the certificate of the last good reload", func() {
		dir := GinkgoT().TempDir()
		m := settings.TLSMaterial{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key")}
		write := func(cert, key string) {
			Expect(os.WriteFile(m.Cert, []byte(cert), 0o600)).To(Succeed())
			Expect(os.WriteFile(m.Key, []byte(key), 0o600)).To(Succeed())
		}
		one, oneKey := issue(1, nil)
		two, twoKey := issue(2, nil)
		write(one.certPEM, oneKey)
		h, err := settings.NewTLSReloader(m, "")
		Expect(err).NotTo(HaveOccurred())
		server, client := h.CallerConfig(), &tls.Config{InsecureSkipVerify: true}
		Expect(handshake(server, client)).To(BeEquivalentTo(1))
		write(two.certPEM, oneKey)
		Expect(h.Reload()).NotTo(Succeed())
		Expect(handshake(server, client)).To(BeEquivalentTo(1))
		write(two.certPEM, twoKey)
		Expect(h.Reload()).To(Succeed())
		Expect(handshake(server, client)).To(BeEquivalentTo(2))
	})

	// Guards against a node that accepts a peer, or connects to one, whose certificate another authority has issued.
	It("lets only nodes of the same authority connect", func() {
		node := func(serial int64, ca, trusted authority) *settings.TLSReloader {
			cert, key := issue(serial, &ca)
			h, err := settings.NewTLSReloader(settings.TLSMaterial{Cert: cert.certPEM, Key: key, CA: trusted.certPEM}, "medlarshunt-peer")
			Expect(err).NotTo(HaveOccurred())
			return h
		}
		ours, _ := issue(1, nil)
		other, _ := issue(2, nil)
		a, b := node(10, ours, ours), node(11, ours, ours)
		foreign := node(12, other, ours)
		untrusting := node(13, ours, authority{})
		Expect(handshake(a.PeerServerConfig(), b.PeerClientConfig())).To(BeEquivalentTo(10))
		Expect(untrusting.PeerClientConfig().RootCAs).NotTo(BeNil(), "nil would trust the authorities of the system")
		_, err := handshake(a.PeerServerConfig(), foreign.PeerClientConfig())
		Expect(err).To(HaveOccurred())
		_, err = handshake(foreign.PeerServerConfig(), b.PeerClientConfig())
		Expect(err).To(HaveOccurred())
		_, err = handshake(a.PeerServerConfig(), &tls.Config{RootCAs: nil, InsecureSkipVerify: true})
		Expect(err).To(HaveOccurred())
	})
})
