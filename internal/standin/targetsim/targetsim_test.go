package targetsim_test

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/standin/targetsim"
)

func TestTargetsim(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "targetsim")
}

var _ = Describe("Find", func() {
	const documents = 1000
	whole := []api.KeyRange{{From: 0, To: api.KeySpaceEnd}}

	// Guards against expected hits that depend on how a partition map divides the key space.
	It("finds the same documents under every partition map", func() {
		want, _ := targetsim.Find(documents, 7, whole, []byte("q"), 0)
		var got []api.Hit
		for _, cut := range [][]uint64{{0, 1}, {1, 12345678}, {12345678, 3 << 30}, {3 << 30, api.KeySpaceEnd}} {
			hits, _ := targetsim.Find(documents, 7, []api.KeyRange{{From: cut[0], To: cut[1]}}, []byte("q"), 0)
			got = append(got, hits...)
		}
		targetsim.SortHits(got)
		Expect(got).To(Equal(want))
	})

	// Guards against index versions with equal documents: a test could not detect an answer that mixes them.
	It("gives each index version different documents", func() {
		a, _ := targetsim.Find(documents, 7, whole, nil, 0)
		b, _ := targetsim.Find(documents, 8, whole, nil, 0)
		keys := func(hits []api.Hit) (k []uint64) {
			for _, h := range hits {
				k = append(k, h.Key)
			}
			slices.Sort(k)
			return k
		}
		Expect(keys(a)).NotTo(Equal(keys(b)))
	})
})

// Guards against a control endpoint that does not answer while the target that it controls is frozen or down.
var _ = It("is controlled over HTTP while it is frozen and after a crash", func() {
	s, err := targetsim.New(targetsim.Config{Service: "s1", Slots: 1, ControlAddress: "127.0.0.1:0"})
	Expect(err).NotTo(HaveOccurred())
	Expect(s.Start()).To(Succeed())
	DeferCleanup(s.Close)
	do := func(method, path, body string) *http.Response {
		GinkgoHelper()
		req, err := http.NewRequest(method, "http://"+s.ControlAddress()+path, strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(resp.Body.Close)
		return resp
	}
	first, address := s.Incarnation(), s.Address()
	Expect(do("PUT", "/control/faults", `{"freeze":true,"slow_factor":2}`).StatusCode).To(Equal(http.StatusNoContent))
	Expect(s.Faults()).To(Equal(targetsim.Faults{Freeze: true, SlowFactor: 2}))
	Expect(do("PUT", "/control/faults", `{"no_such_fault":true}`).StatusCode).To(Equal(http.StatusBadRequest))
	Expect(do("POST", "/control/crash", "").StatusCode).To(Equal(http.StatusNoContent))
	Expect(do("POST", "/control/restart", "").StatusCode).To(Equal(http.StatusNoContent))
	Expect(s.Incarnation()).NotTo(Equal(first))
	Expect(s.Address()).To(Equal(address))
	var counts targetsim.Counts
	Expect(json.NewDecoder(do("GET", "/control/counts", "").Body).Decode(&counts)).To(Succeed())
	Expect(counts.Crashes).To(BeEquivalentTo(1))
})
