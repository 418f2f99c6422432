// Package loopback reserves addresses for processes that tests start.
package loopback

import (
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
)

const (
	// claimPort is held on the reserved IP address, so that no other test gets the same one. The ports after it are those that
	// Reserve returns; all lie below the range from which systems choose ports for other sockets.
	claimPort = 20000
	maxTries  = 100
)

// Reserve returns n addresses of the loopback interface that stay free for the test until it ends: a process may be started on them, end,
// and be started again, while other processes open sockets on ports of the system's choice. A port that is only looked up once can
// be taken meanwhile. The addresses have an IP address of their own, which needs the whole of 127.0.0.0/8, as Linux has it.
func Reserve(t testing.TB, n int) []string {
	t.Helper()
	var err error
	for range maxTries {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254))
		var claim net.Listener
		if claim, err = net.Listen("tcp", fmt.Sprintf("%s:%d", ip, claimPort)); err != nil {
			continue
		}
		t.Cleanup(func() { _ = claim.Close() }) // the end of the test process releases it otherwise
		addresses := make([]string, n)
		for i := range addresses {
			addresses[i] = fmt.Sprintf("%s:%d", ip, claimPort+1+i)
		}
		return addresses
	}
	t.Fatalf("no address of 127.0.0.0/8 can be reserved: %v", err)
	return nil
}
