package loopback_test

import (
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/test/loopback"
)

// Guards against processes of a test that cannot start, or start again, because another socket has been given their port meanwhile.
func TestReservedAddressesStayFree(t *testing.T) {
	g := NewWithT(t)
	addresses := loopback.Reserve(t, 200)
	for range 500 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		defer l.Close()
	}
	for _, other := range loopback.Reserve(t, 200) {
		g.Expect(addresses).NotTo(ContainElement(other))
	}
	for _, address := range addresses {
		l, err := net.Listen("tcp", address)
		g.Expect(err).NotTo(HaveOccurred())
		defer l.Close()
	}
}
