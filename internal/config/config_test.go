package config_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/config"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "config")
}

// newDocument returns a valid document with the given numbers of services and callers.
func newDocument(number uint64, services, callers int) config.Document {
	d := config.Document{
		Version: config.Version{Epoch: 1, Number: number},
		Domains: []config.FailureDomain{{Name: "north", DisplayName: "Norður", Region: "island", MaxRelays: 3}},
		Groups: []config.Group{{Name: "charts", Team: "dental", Policy: config.CoverageFirst, SlotsPerTarget: 2,
			ConnectionLimit: 25, DefaultTimeoutMS: 1000, MaxTimeoutMS: 2000, LatencyGoalMS: 500, HedgeQuantile: 0.95,
			RetryBudget: 0.05, MaxBodyBytes: 1 << 16, MaxLimit: 100, Canary: config.CanaryAlways,
			Kinds: []config.Kind{{Name: "urgent", Weight: 2}}}},
	}
	for i := range services {
		d.Groups[0].Services = append(d.Groups[0].Services, config.Service{Name: fmt.Sprintf("charts-%d", i),
			Targets: []config.Target{{ID: fmt.Sprintf("t-%d", i), Domain: "north",
				Address: fmt.Sprintf("127.0.%d.%d:9000", i/250, 1+i%250)}}})
	}
	for i := range callers {
		d.Callers = append(d.Callers, config.Caller{Name: fmt.Sprintf("desk-%d", i), Team: "dental",
			Role: config.RoleCaller, KeySHA256: fmt.Sprintf("%064x", i+1), Groups: []string{"charts"}, Weight: 1, MaxConcurrent: 9})
	}
	return d
}

func faultPaths(err error) []string {
	var invalid *config.InvalidError
	if !errors.As(err, &invalid) {
		return nil
	}
	var out []string
	for _, f := range invalid.Faults {
		out = append(out, f.Path+" "+string(f.Code))
	}
	return out
}

// Guards against a missing check, a fault at the wrong path, and stopping at the first fault.
var _ = DescribeTable("Document.Validate", func(mutate func(*config.Document), want ...string) {
	d := newDocument(1, 2, 2)
	Expect(d.Validate()).To(Succeed())
	mutate(&d)
	Expect(faultPaths(d.Validate())).To(ConsistOf(want))
},
	Entry("two faults at once", func(d *config.Document) { d.Version = config.Version{}; d.Groups[0].Canary = "x" },
		"version required", "groups[0].canary unknown"),
	Entry("too few connections for all candidate relays", func(d *config.Document) { d.Groups[0].ConnectionLimit = 5 },
		"groups[0].connection_limit conflict"),
	Entry("shared address in IPv4-mapped form", func(d *config.Document) {
		d.Groups[0].Services[1].Targets[0].Address = "[::ffff:127.0.0.1]:9000"
	}, "groups[0].services[1].targets[0].address duplicate"),
	Entry("shared target id", func(d *config.Document) { d.Groups[0].Services[1].Targets[0].ID = "t-0" },
		"groups[0].services[1].targets[0].id duplicate"),
	Entry("control character in a display name", func(d *config.Document) { d.Domains[0].DisplayName = "a\nb" },
		"domains[0].display_name format"),
	Entry("unknown domain", func(d *config.Document) { d.Groups[0].Services[0].Targets[0].Domain = "east" },
		"groups[0].services[0].targets[0].domain unknown"),
	Entry("latency goal above the default timeout", func(d *config.Document) { d.Groups[0].LatencyGoalMS = 1001 },
		"groups[0].latency_goal_ms conflict"),
	Entry("another team's group", func(d *config.Document) { d.Callers[1].Team = "rota" }, "callers[1].groups[0] conflict"),
	Entry("shared key", func(d *config.Document) { d.Callers[1].KeySHA256 = d.Callers[0].KeySHA256 },
		"callers[1].key_sha256 duplicate"),
	Entry("upper-case hash", func(d *config.Document) { d.Callers[1].KeySHA256 = strings.Repeat("A", 64) },
		"callers[1].key_sha256 format"),
	Entry("hash of an empty key", func(d *config.Document) {
		d.Callers[1].KeySHA256 = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
	}, "callers[1].key_sha256 range"),
	Entry("service without target", func(d *config.Document) { d.Groups[0].Services[1].Targets = nil },
		"groups[0].services[1].targets required"),
)

// Guards against rejecting a failure domain of the planned size, in which only the candidates of a group connect, and
// against accepting one whose candidates have no connection.
var _ = DescribeTable("connection limit in a large failure domain", func(limit int, want ...string) {
	d := newDocument(1, 2, 2)
	d.Domains[0].MaxRelays = 100
	d.Groups[0].ConnectionLimit = limit
	Expect(faultPaths(d.Validate())).To(ConsistOf(want))
},
	Entry("one for each incarnation of 12 candidates", 24),
	Entry("one too few", 23, "groups[0].connection_limit conflict"),
)

func newCatalogue(number uint64, ranges ...api.KeyRange) config.Catalogue {
	m := config.PartitionMap{Version: 4}
	for i, r := range ranges {
		m.Assignments = append(m.Assignments, config.Assignment{Service: fmt.Sprintf("charts-%d", i), Range: r})
	}
	return config.Catalogue{Version: config.Version{Epoch: 1, Number: number}, Groups: []config.GroupCatalogue{{
		Group: "charts", Versions: []config.IndexVersion{{Index: 7, Map: 4}}, Maps: []config.PartitionMap{m}}}}
}

// Guards against accepting overlapping ranges, with which an answer could count one key twice.
var _ = DescribeTable("Catalogue.Validate", func(c config.Catalogue, want ...string) {
	Expect(faultPaths(c.Validate())).To(ConsistOf(want))
},
	Entry("gap is allowed", newCatalogue(1, api.KeyRange{From: 0, To: 10}, api.KeyRange{From: 20, To: api.KeySpaceEnd})),
	Entry("overlap with a non-adjacent range, unsorted",
		newCatalogue(1, api.KeyRange{From: 50, To: 60}, api.KeyRange{From: 5, To: 6}, api.KeyRange{From: 0, To: 55}),
		"groups[0].maps[0].assignments[0].range conflict", "groups[0].maps[0].assignments[1].range conflict"),
	Entry("beyond the key space", newCatalogue(1, api.KeyRange{From: 0, To: api.KeySpaceEnd + 1}),
		"groups[0].maps[0].assignments[0].range range"),
	Entry("unknown map and no version", func() config.Catalogue {
		c := newCatalogue(0, api.KeyRange{From: 0, To: 1})
		c.Version, c.Groups[0].Versions[0].Map = config.Version{}, 5
		return c
	}(), "version required", "groups[0].versions[0].map unknown"),
)

var _ = Describe("Split and Assemble", func() {
	// Guards against parts that lose, reorder or regroup items, and against output that is not deterministic.
	It("round-trip documents of many sizes", func() {
		r := rand.New(rand.NewPCG(1, 2))
		for range 40 {
			d := newDocument(1+r.Uint64N(9), 1+r.IntN(900), r.IntN(300))
			extra := newDocument(1, 1, 0).Groups[0]
			extra.Name, extra.Kinds, extra.Services = "desk", nil, extra.Services[:1:1]
			d.Groups = append(d.Groups, extra)
			m, parts, err := config.Split(d)
			Expect(err).NotTo(HaveOccurred())
			m2, parts2, _ := config.Split(d)
			Expect(m2).To(Equal(m))
			Expect(parts2).To(Equal(parts))
			for _, p := range parts {
				Expect(len(p)).To(BeNumerically("<", 1_000_000))
			}
			got, err := config.Assemble(m, parts)
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(d))
		}
	})

	// Guards against shifting part boundaries: each node would read the whole document again after a small change.
	It("change at most two parts when one service is inserted", func() {
		d := newDocument(1, 2000, 0)
		_, before, err := config.Split(d)
		Expect(err).NotTo(HaveOccurred())
		d.Groups[0].Services = slices.Insert(d.Groups[0].Services, 30, config.Service{Name: "new",
			Targets: []config.Target{{ID: "new", Domain: "north", Address: "127.9.9.9:1"}}})
		_, after, err := config.Split(d)
		Expect(err).NotTo(HaveOccurred())
		added := 0
		for key := range after {
			if _, ok := before[key]; !ok {
				added++
			}
		}
		Expect(len(after)).To(BeNumerically(">", 8))
		Expect(added).To(BeNumerically("<=", 2))
	})

	// Guards against a cached part that appears in a later document, and a later document that modifies an earlier one.
	It("assemble the same document with cached parts", func() {
		var assembler config.Assembler
		var earlier []config.Document
		for number := range 3 {
			d := newDocument(uint64(number)+1, 900, 5)
			d.Groups[0].Services[number].Targets[0].Address = "127.9.9.9:1"
			m, parts, err := config.Split(d)
			Expect(err).NotTo(HaveOccurred())
			got, err := assembler.Assemble(m, parts)
			Expect(err).NotTo(HaveOccurred())
			Expect(got).To(Equal(d))
			earlier = append(earlier, got)
		}
		Expect(earlier[0].Groups[0].Services[1].Targets[0].Address).NotTo(Equal("127.9.9.9:1"))
	})

	It("reject an item that is larger than a value may be", func() {
		d := newDocument(1, 1, 0)
		d.Domains[0].DisplayName = strings.Repeat("x", 1_000_000) // Split does not validate
		_, _, err := config.Split(d)
		Expect(faultPaths(err)).To(ContainElement(HaveSuffix(" size")))
	})

	// Guards against using a part that was altered, truncated or not read.
	It("report every altered part", func() {
		m, parts, err := config.Split(newDocument(1, 400, 0))
		Expect(err).NotTo(HaveOccurred())
		Expect(len(m.Parts)).To(BeNumerically(">", 2))
		parts[m.Parts[0].Key][10] ^= 1
		parts[m.Parts[1].Key] = parts[m.Parts[1].Key][1:]
		delete(parts, m.Parts[2].Key)
		_, err = config.Assemble(m, parts)
		Expect(faultPaths(err)).To(Equal([]string{"parts[0] hash", "parts[1] size", "parts[2] missing"}))
		Expect(config.IsIncomplete(err)).To(BeTrue())
	})
})

var _ = Describe("Index", func() {
	// Guards against a lookup that authenticates by a prefix of the hash or finds a caller for an empty key.
	It("finds callers only by their full key hash", func() {
		d := newDocument(1, 1, 2)
		d.Callers[0].KeySHA256 = "2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b" // "secret"
		d.Callers[1].KeySHA256 = d.Callers[0].KeySHA256[:62] + "00"
		x := config.NewIndex(d)
		c, ok := x.CallerByKey("secret")
		Expect(ok).To(BeTrue())
		Expect(c.Name).To(Equal("desk-0"))
		_, ok = x.CallerByKey("")
		Expect(ok).To(BeFalse())
		_, ok = x.Group("charts")
		Expect(ok).To(BeTrue())
		_, ok = x.Domain("south")
		Expect(ok).To(BeFalse())
	})
})
