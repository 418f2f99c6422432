package config_test

import (
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/config"
)

// publishedSet is one set as a node fetches it.
type publishedSet struct {
	manifest config.Manifest
	parts    map[string][]byte
	valid    bool
}

func splitDocument(d config.Document) publishedSet {
	GinkgoHelper()
	m, parts, err := config.Split(d)
	Expect(err).NotTo(HaveOccurred())
	return publishedSet{m, parts, d.Validate() == nil}
}

// shuffledSets returns valid, conflicting and invalid sets of eight versions in a random order, with repetitions.
func shuffledSets(r *rand.Rand) []publishedSet {
	var list []publishedSet
	for n := uint64(1); n <= 8; n++ {
		other, bad := newDocument(n, 2, 2), newDocument(n, 2, 1)
		bad.Groups[0].SlotsPerTarget = 0
		list = append(list, splitDocument(newDocument(n, 2, 1)), splitDocument(other), splitDocument(bad),
			splitDocument(newDocument(n, 2, 1)))
	}
	r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

var _ = Describe("Acceptor", func() {
	// Guards against a version in force that decreases or changes its content, in any order of offers (R8).
	It("never decreases the version in force", func() {
		r := rand.New(rand.NewPCG(3, 4))
		for range 50 {
			var a config.Acceptor
			for _, o := range shuffledSets(r) {
				before, hash := a.Version(), a.Hash()
				_, decision, err := a.OfferDocument(o.manifest, o.parts)
				Expect(a.Version().Less(before)).To(BeFalse())
				Expect(a.Highest().Less(a.Version())).To(BeFalse())
				v := o.manifest.Version
				switch {
				case v.Less(before):
					Expect(decision).To(Equal(config.Older))
				case v == before && o.manifest.Hash() == hash:
					Expect(decision).To(Equal(config.Same))
				case v == before:
					Expect(decision).To(Equal(config.Conflicting))
				case o.valid:
					Expect(decision).To(Equal(config.Accepted))
					Expect(a.Version()).To(Equal(v))
					continue
				default:
					Expect(decision).To(Equal(config.Invalid))
					Expect(err).To(HaveOccurred())
				}
				Expect([]any{a.Version(), a.Hash()}).To(Equal([]any{before, hash}))
			}
			Expect(a.Version().Number).To(BeEquivalentTo(8))
		}
	})

	// Guards against an invalid publication that keeps every restarted node unready.
	It("does not wait for an invalid version", func() {
		var a config.Acceptor
		good, bad := splitDocument(newDocument(1, 1, 0)), newDocument(2, 1, 0)
		bad.Domains[0].MaxRelays = 0
		b := splitDocument(bad)
		a.Announce(good.manifest.Version)
		a.Announce(b.manifest.Version)
		Expect(a.Behind()).To(BeTrue())
		_, _, _ = a.OfferDocument(b.manifest, b.parts)
		a.Announce(b.manifest.Version)
		a.Announce(good.manifest.Version)
		Expect(a.Behind()).To(BeTrue(), "version 1 has not been offered")
		_, decision, _ := a.OfferDocument(good.manifest, good.parts)
		Expect(decision).To(Equal(config.Accepted))
		Expect(a.Behind()).To(BeFalse())
		Expect(a.Highest()).To(Equal(bad.Version))
	})

	// Guards against treating a failed read as an invalid publication: the node would be ready with an old version.
	It("still waits for a version after its parts could not be read", func() {
		var a config.Acceptor
		p := splitDocument(newDocument(1, 1, 0))
		a.Announce(p.manifest.Version)
		_, decision, _ := a.OfferDocument(p.manifest, nil)
		Expect(decision).To(Equal(config.Invalid))
		Expect(a.Behind()).To(BeTrue())
		a.Reject(p.manifest.Version)
		Expect(a.Behind()).To(BeFalse())
		_, decision, _ = a.OfferDocument(p.manifest, p.parts)
		Expect(decision).To(Equal(config.Accepted))
	})

	// Guards against checking invalid content again on each offer, and against rejecting a corrected set of the same
	// version because of the first one.
	It("checks invalid content once", func() {
		var a config.Acceptor
		v, checks := config.Version{Number: 1}, 0
		failCheck := func() error { checks++; return &config.InvalidError{Faults: []config.Fault{{Code: config.FaultRange}}} }
		for range 3 {
			decision, err := a.Offer(v, "bad", failCheck)
			Expect(decision).To(Equal(config.Invalid))
			Expect(err).To(HaveOccurred())
		}
		Expect(checks).To(Equal(1))
		decision, err := a.Offer(v, "good", func() error { return nil })
		Expect(err).NotTo(HaveOccurred())
		Expect(decision).To(Equal(config.Accepted))
	})

	// Guards against reused parts that mix two sets in one document or modify a document that is in use.
	It("returns each accepted set as it was published", func() {
		var a config.Acceptor
		r := rand.New(rand.NewPCG(5, 6))
		var accepted, want []config.Document
		for n := uint64(1); n <= 12; n++ {
			d := newDocument(n, 350+r.IntN(60), 40)
			d.Groups[0].Services[r.IntN(300)].Targets[0].Address = "127.8.8.8:1"
			p := splitDocument(d)
			got, decision, err := a.OfferDocument(p.manifest, p.parts)
			Expect(err).NotTo(HaveOccurred())
			Expect(decision).To(Equal(config.Accepted))
			accepted, want = append(accepted, got), append(want, d)
			Expect(accepted).To(Equal(want))
			p.parts[p.manifest.Parts[0].Key] = nil
			p.manifest.Version.Number = 99
			_, decision, _ = a.OfferDocument(p.manifest, p.parts)
			Expect(decision).To(Equal(config.Invalid), "the value of a cached part is still checked")
		}
	})

	It("compares catalogues by their bytes", func() {
		var a config.Acceptor
		encode := func(c config.Catalogue) []byte {
			data, err := config.EncodeCatalogue(c)
			Expect(err).NotTo(HaveOccurred())
			return data
		}
		full := api.KeyRange{From: 0, To: api.KeySpaceEnd}
		steps := []struct {
			data []byte
			want config.Decision
		}{
			{encode(newCatalogue(2, full)), config.Accepted},
			{encode(newCatalogue(2, full)), config.Same},
			{encode(newCatalogue(2, api.KeyRange{From: 0, To: 5})), config.Conflicting},
			{encode(newCatalogue(1, full)), config.Older},
			{encode(newCatalogue(3, full, full)), config.Invalid},
			{[]byte("{"), config.Invalid},
		}
		for _, s := range steps {
			_, decision, _ := a.OfferCatalogue(s.data)
			Expect(decision).To(Equal(s.want))
			Expect(a.Version().Number).To(BeEquivalentTo(2))
		}
	})
})
