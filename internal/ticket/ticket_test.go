package ticket_test

import (
	"bytes"
	"crypto/rand"
	"encoding/base64"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/ticket"
)

func TestTicket(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ticket")
}

var (
	start       = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	incarnation = uuid.UUID{1, 2, 3}
)

// newIssuer returns an issuer whose key depends on seed.
func newIssuer(node string, inc uuid.UUID, seed byte) *ticket.Issuer {
	i, err := ticket.NewIssuer(node, inc, bytes.NewReader(bytes.Repeat([]byte{seed}, 4096)), ticket.NewClock(start))
	Expect(err).NotTo(HaveOccurred())
	return i
}

func issueToken(i *ticket.Issuer, now time.Time) string {
	token, err := i.Issue(now)
	Expect(err).NotTo(HaveOccurred())
	return token
}

var _ = Describe("Issuer", func() {
	It("verifies its own tokens, which other nodes can parse to find the issuer", func() {
		i := newIssuer(strings.Repeat("n", ticket.MaxNodeIDBytes), incarnation, 7)
		token := issueToken(i, start.Add(time.Second))
		Expect(len(token)).To(Equal(ticket.MaxTokenBytes))
		verified, err := i.Verify(token)
		Expect(err).NotTo(HaveOccurred())
		Expect(verified.Expires).To(Equal(time.Second + ticket.Validity))
		parsed, err := ticket.Parse(token)
		Expect(err).NotTo(HaveOccurred())
		Expect(parsed).To(Equal(verified))
	})

	// Guards against a run on an incarnation whose table does not hold the records of the ticket's issuer.
	DescribeTable("refuses tickets of other issuers",
		func(other func() *ticket.Issuer, kind ticket.ErrorKind) {
			_, err := newIssuer("n1", incarnation, 7).Verify(issueToken(other(), start))
			Expect(err).To(HaveField("Kind", kind))
		},
		Entry("another node", func() *ticket.Issuer { return newIssuer("n2", incarnation, 7) }, ticket.KindForeign),
		Entry("another incarnation", func() *ticket.Issuer { return newIssuer("n1", uuid.UUID{9}, 7) }, ticket.KindForeign),
		Entry("another key", func() *ticket.Issuer { return newIssuer("n1", incarnation, 8) }, ticket.KindForged),
	)

	// Guards against accepting a changed expiry or id, and against a second text form of a token.
	It("refuses every token with one changed bit, and other text forms of the same bytes", func() {
		i := newIssuer("n1", incarnation, 7)
		token := issueToken(i, start)
		raw, err := base64.RawURLEncoding.DecodeString(token)
		Expect(err).NotTo(HaveOccurred())
		for bit := range len(raw) * 8 {
			changed := bytes.Clone(raw)
			changed[bit/8] ^= 1 << (bit % 8)
			_, err := i.Verify(base64.RawURLEncoding.EncodeToString(changed))
			Expect(err).To(HaveOccurred(), "bit %d", bit)
		}
		texts := []string{token + "=", token + "\n", token[:9] + "\n" + token[9:], " " + token, token + "AAAA"}
		last := len(token) - 1
		for _, c := range "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_" {
			if same, _ := base64.RawURLEncoding.DecodeString(token[:last] + string(c)); bytes.Equal(same, raw) && c != rune(token[last]) {
				texts = append(texts, token[:last]+string(c))
			}
		}
		Expect(texts).To(HaveLen(20), "the last character has 4 unused bits, which give 15 other text forms")
		for _, text := range texts {
			_, err := i.Verify(text)
			Expect(err).To(HaveField("Kind", ticket.KindMalformed), "%q", text)
		}
	})

	It("refuses empty and too long node ids", func() {
		for _, id := range []string{"", strings.Repeat("n", ticket.MaxNodeIDBytes+1)} {
			_, err := ticket.NewIssuer(id, incarnation, rand.Reader, ticket.NewClock(start))
			Expect(err).To(HaveField("Kind", ticket.KindNodeID))
		}
	})
})

// Guards against a ticket that is presented with another command and returns the recorded outcome.
var _ = It("hashes every field of a command except the request id", func() {
	base := api.Command{RequestID: "1", Caller: "c", Group: "g", Kind: "k", Key: 1, Body: []byte("b")}
	seen := map[ticket.CommandHash]bool{ticket.HashCommand(base): true}
	for _, change := range []func(*api.Command){
		func(c *api.Command) { c.Caller = "d" },
		func(c *api.Command) { c.Group = "h" },
		func(c *api.Command) { c.Kind = "l" },
		func(c *api.Command) { c.Key = 2 },
		func(c *api.Command) { c.Body = []byte("c") },
		func(c *api.Command) { c.Caller, c.Group = "cg", "" },
	} {
		changed := base
		change(&changed)
		Expect(seen).NotTo(HaveKey(ticket.HashCommand(changed)))
		seen[ticket.HashCommand(changed)] = true
	}
	again := base
	again.RequestID = "2"
	Expect(seen).To(HaveKey(ticket.HashCommand(again)))
})

// Guards against a panic on a token that a caller sends, and against accepting a second text form of a token.
func FuzzParse(f *testing.F) {
	i, err := ticket.NewIssuer("n1", incarnation, bytes.NewReader(make([]byte, 4096)), ticket.NewClock(start))
	if err != nil {
		f.Fatal(err)
	}
	token, err := i.Issue(start)
	if err != nil {
		f.Fatal(err)
	}
	for _, seed := range []string{token, "", token[1:], token + "A", strings.Repeat("A", ticket.MaxTokenBytes), "\n" + token} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := ticket.Parse(text)
		if err == nil {
			if len(text) > ticket.MaxTokenBytes || parsed.NodeID == "" || len(parsed.NodeID) > ticket.MaxNodeIDBytes || parsed.Expires < 0 {
				t.Fatalf("out of bounds: %q %+v", text, parsed)
			}
			raw, err := base64.RawURLEncoding.DecodeString(text)
			if err != nil || base64.RawURLEncoding.EncodeToString(raw) != text {
				t.Fatalf("not the canonical text form: %q", text)
			}
		}
		if _, err := i.Verify(text); err == nil && text != token {
			t.Fatalf("accepted a token that was not issued: %q", text)
		}
	})
}
