package api_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/api"
)

func TestAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "api")
}

// Guards against off-by-one errors in range checks, which would count a key of the adjacent range as covered.
var _ = DescribeTable("KeyRange.Overlaps",
	func(a, b api.KeyRange, want bool) {
		Expect(a.Overlaps(b)).To(Equal(want))
		Expect(b.Overlaps(a)).To(Equal(want))
	},
	Entry("adjacent", api.KeyRange{From: 0, To: 10}, api.KeyRange{From: 10, To: 20}, false),
	Entry("one key shared", api.KeyRange{From: 0, To: 11}, api.KeyRange{From: 10, To: 20}, true),
	Entry("contained", api.KeyRange{From: 0, To: 100}, api.KeyRange{From: 10, To: 20}, true),
)
