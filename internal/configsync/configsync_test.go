package configsync

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/configservice"
	"github.com/medlarshunt/medlarshunt/internal/membership"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
)

// Guards against a version in force that decreases, an invalid set that replaces the last good one, and a version
// whose content depends on which of two contents was offered last.
func TestVersionNeverDecreases(t *testing.T) {
	g := NewWithT(t)
	charts, err := statechart.NewCharts(metrics.NewSet())
	g.Expect(err).NotTo(HaveOccurred())
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 2))
		s := newStore(fakeChecker{}, charts.Config.NewMachine())
		var best, bestCatalogue uint64
		for range 40 {
			before, _, _ := s.status()
			n := 1 + rng.Uint64N(12)
			switch kind := rng.IntN(5); kind {
			case 0:
				data, _ := json.Marshal(config.Catalogue{Version: version(n)})
				_, _ = s.offerCatalogue(data)
				bestCatalogue = max(bestCatalogue, n)
			case 1:
				s.announce(membership.Versions{Config: version(n), Catalogue: version(n)})
			case 2:
				m, values := testSet(n, "invalid")
				d, _ := s.offerSet(m, values)
				g.Expect(d).NotTo(Equal(Accepted))
			case 3:
				m, _ := testSet(n, "absent")
				d, _ := s.offerSet(m, nil)
				g.Expect(d).NotTo(Equal(Accepted))
			default:
				m, values := testSet(n, "p")
				d, _ := s.offerSet(m, values)
				g.Expect(d == Accepted).To(Equal(n > best))
				best = max(best, n)
			}
			after, _, _ := s.status()
			g.Expect(after.Config.Less(before.Config) || after.Catalogue.Less(before.Catalogue)).To(BeFalse())
			g.Expect(after.Config.Number).To(Equal(best))
			g.Expect(after.Catalogue.Number).To(Equal(bestCatalogue))
		}
		m, values := testSet(best, "other")
		d, _ := s.offerSet(m, values)
		g.Expect(d).To(BeElementOf(Conflicting, Accepted)) // accepted only if no version was in force
		g.Expect(d == Accepted).To(Equal(best == 0))
	}
}

// Guards against violations of R8: a new version that takes more than 6 s to be in force on all nodes, also when the
// platform is slow, was unresponsive or is reachable from one failure domain only, or when all readers are lost.
func TestNewVersionIsInForceWithinSixSeconds(t *testing.T) {
	cases := map[string]func(c *cluster){
		"platform up": func(*cluster) {},
		"one failure domain reaches the platform": func(c *cluster) {
			c.platform.set(func() { c.platform.down["d1"], c.platform.down["d2"] = true, true })
		},
		"platform slow": func(c *cluster) {
			c.platform.set(func() {
				for _, d := range []string{"d0", "d1", "d2"} {
					c.platform.slow[d] = time.Second
				}
			})
		},
		"platform unresponsive for 30 s": func(c *cluster) {
			c.platform.publish(2, "p") // after this all watches start at the same time
			time.Sleep(time.Second)
			c.platform.set(func() { c.platform.unresponsive = true })
			time.Sleep(30*time.Second + 100*time.Millisecond)
			c.platform.set(func() { c.platform.unresponsive = false })
		},
		"all readers lost": func(c *cluster) {
			for id, n := range c.nodes {
				if n.ranksInTopN(readersPerDomain) {
					c.kill(id)
				}
			}
		},
	}
	for name, fault := range cases {
		for _, nodes := range []int{3, 9} {
			t.Run(fmt.Sprint(name, " ", nodes), func(t *testing.T) {
				runCluster(t, 3, nodes, func(g *WithT, c *cluster) {
					_, ok := c.awaitVersion(1, 6*time.Second)
					g.Expect(ok).To(BeTrue())
					time.Sleep(10 * time.Second)
					fault(c)
					for n := uint64(2); n < 5; n++ {
						c.platform.publish(n, "p")
						took, ok := c.awaitVersion(n, 6*time.Second)
						g.Expect(ok).To(BeTrue(), "version %d", n)
						t.Logf("version %d everywhere after %v", n, took)
					}
				})
			})
		}
	}
}

// Guards against timeouts with which a single reader could miss the bound of R8 after the platform was unresponsive.
func TestWorstCaseReadDelay(t *testing.T) {
	worst := DefaultWatchWait + watchMargin + maxBackoff/2 + maxBackoff
	NewWithT(t).Expect(worst).To(BeNumerically("<", 6*time.Second))
}

// Guards against platform reads that grow with the number of nodes, and against a simultaneous restart of all nodes that
// exceeds its bound on reads.
func TestPlatformReadsAreBounded(t *testing.T) {
	for _, nodes := range []int{3, 9, 30, 100} {
		runCluster(t, 1, nodes, func(g *WithT, c *cluster) {
			time.Sleep(10 * time.Second)
			start := c.platform.count()
			_, ok := c.awaitVersion(1, time.Second)
			g.Expect(ok).To(BeTrue())
			for n := uint64(2); n < 4; n++ {
				c.platform.publish(n, "p")
				took, ok := c.awaitVersion(n, 6*time.Second)
				g.Expect(ok).To(BeTrue())
				t.Logf("%d nodes: version %d everywhere after %v", nodes, n, took)
				time.Sleep(15*time.Second - took)
			}
			update := c.platform.count() - start
			t.Logf("%d nodes: %d reads while all start at once, %d in 30 s with 2 versions", nodes, start, update)
			// Each node reads twice; each reader also reads all parts, has two watches return and starts two in each wait.
			// Twice as many readers may watch briefly, since 100 nodes do not discover each other at the same time.
			waits := int(10 * time.Second / DefaultWatchWait)
			readers := 0
			for _, n := range c.nodes {
				if n.IsReader() {
					readers++
				}
			}
			g.Expect(readers).To(Equal(readersPerDomain))
			g.Expect(start).To(BeNumerically("<=", 2*nodes+2*readersPerDomain*(commonParts+1+2+2*waits)))
			// Each reader starts two watches in each wait. Each version takes two watches and the one part that changed,
			// and the same again for a change of readers.
			waits = int(30 * time.Second / DefaultWatchWait)
			g.Expect(update).To(BeNumerically("<=", readersPerDomain*(2*waits+2*2*3)))
		})
	}
}

// Guards against nodes that read without a pause from a platform that ends watches at once, and against all nodes reading
// when a version is slow to arrive.
func TestReadsStayBoundedOnAFaultyPlatform(t *testing.T) {
	runCluster(t, 1, 40, func(g *WithT, c *cluster) {
		time.Sleep(10 * time.Second)
		c.platform.set(func() { c.platform.endsWatchesEarly = true })
		for _, n := range c.nodes {
			n.store.announce(membership.Versions{Config: version(9)})
		}
		before, seconds := c.platform.count(), 2*int(fallbackAfter/time.Second)-1
		time.Sleep(time.Duration(seconds) * time.Second)
		// Two watches of each reader with the shortest pause in between, and two reads of each node of the next ranks.
		watches := 2 * readersPerDomain * seconds * int(time.Second/(maxBackoff/2))
		g.Expect(c.platform.count() - before).To(BeNumerically("<=", watches+2*2*readersPerDomain))
	})
}

// Guards against a restarted node that accepts work with an outdated version, or that reverts to the values of a stale
// platform.
func TestRestartedNodePrefersNewerPeers(t *testing.T) {
	for _, fault := range []string{"stale", "down"} {
		t.Run(fault, func(t *testing.T) {
			runCluster(t, 3, 3, func(g *WithT, c *cluster) {
				time.Sleep(8 * time.Second)
				var old map[string]configservice.Value
				c.platform.set(func() { old = c.platform.values })
				c.platform.publish(2, "p")
				_, ok := c.awaitVersion(2, 6*time.Second)
				g.Expect(ok).To(BeTrue())
				c.platform.set(func() {
					for _, d := range []string{"d0", "d1", "d2"} {
						c.platform.down[d] = fault == "down"
						c.platform.stale[d] = old
					}
				})
				for _, id := range []string{"n0", "n1", "n2"} {
					c.kill(id)
				}
				for _, id := range []string{"n0", "n1", "n2"} {
					c.start(id, "d0", "2")
				}
				for range 500 {
					time.Sleep(20 * time.Millisecond)
					for _, n := range c.nodes {
						g.Expect(n.Readiness().Ready && n.versionNumber() != 2).To(BeFalse(), n.id)
					}
				}
				for _, n := range c.nodes {
					g.Expect(n.Readiness()).To(Equal(Readiness{Ready: true}), n.id)
				}
			})
		})
	}
}

// Guards against a node that becomes ready too early or never when an announced version is available nowhere.
func TestReadinessWhileBehind(t *testing.T) {
	runCluster(t, 1, 3, func(g *WithT, c *cluster) {
		n := c.nodes["n0"]
		g.Expect(n.Readiness().Reason).To(Equal(ReasonNoConfig))
		time.Sleep(10 * time.Second)
		g.Expect(n.Readiness()).To(Equal(Readiness{Ready: true}))
		g.Expect(n.State()).To(Equal(statechart.ConfigInForce))
		n.store.announce(membership.Versions{Config: version(9)})
		g.Expect(n.State()).To(Equal(statechart.ConfigNewerKnown))
		g.Expect(n.Readiness().Ready).To(BeTrue(), "a running node stays ready during an update")
		time.Sleep(DefaultLagLimit + time.Second)
		g.Expect(n.Readiness()).To(Equal(Readiness{Ready: true, Warning: true}), "no peer holds the version")
		c.mu.Lock()
		c.isDisconnected = func(a, b string) bool { return a == "n1" && b == "n0" || a == "n0" && b != "n1" }
		c.mu.Unlock()
		c.nodes["n1"].loop.SetHeld(membership.Versions{Config: version(9)})
		time.Sleep(time.Second)
		g.Expect(n.Readiness().Reason).To(Equal(ReasonLagging), "a peer holds the version")
		n.Refresh(c.ctx)
		g.Expect(n.Readiness().Reason).To(Equal(ReasonBehind), "after a pause")
		time.Sleep(DefaultBehindWait)
		g.Expect(n.Readiness()).To(Equal(Readiness{Ready: true, Warning: true}))
	})
}

// Guards against a node that becomes ready with what one peer held before it has queried the platform.
func TestJoiningNodeQueriesBeforeItIsReady(t *testing.T) {
	runCluster(t, 1, 3, func(g *WithT, c *cluster) {
		time.Sleep(10 * time.Second)
		n := c.start("n3", "d0", "1")
		time.Sleep(1200 * time.Millisecond)
		g.Expect(n.versionNumber()).To(Equal(uint64(1)))
		g.Expect(n.Readiness().Reason).To(Equal(ReasonNotQueried))
		time.Sleep(DefaultReaderDelay + DefaultStartupJitter)
		g.Expect(n.Readiness()).To(Equal(Readiness{Ready: true}))
	})
}

// Guards against a known version that is never read because the readers are cut off from the platform.
func TestOtherNodesReadWhenReadersCannot(t *testing.T) {
	runCluster(t, 1, 5, func(g *WithT, c *cluster) {
		time.Sleep(10 * time.Second)
		c.platform.set(func() {
			for id, n := range c.nodes {
				c.platform.down[id] = n.ranksInTopN(readersPerDomain)
			}
		})
		c.platform.publish(2, "p")
		for _, n := range c.nodes {
			n.store.announce(membership.Versions{Config: version(2), Catalogue: version(2)})
		}
		_, ok := c.awaitVersion(2, 10*time.Second)
		g.Expect(ok).To(BeTrue())
	})
}

// Guards against an invalid publication that makes nodes unready or blocks later versions.
func TestInvalidSetLeavesLastValidInForce(t *testing.T) {
	runCluster(t, 2, 3, func(g *WithT, c *cluster) {
		time.Sleep(10 * time.Second)
		c.platform.publish(2, "invalid")
		time.Sleep(time.Minute)
		for _, n := range c.nodes {
			g.Expect(n.Current().Document.Version).To(Equal(version(1)))
			g.Expect(n.Readiness()).To(Equal(Readiness{Ready: true}))
			g.Expect(n.State()).To(Equal(statechart.ConfigInForce))
			// Only readers see an invalid version, because peers pass on only versions in force.
			rejected := n.View().Rejected
			g.Expect(len(rejected) == 1).To(Equal(n.ranksInTopN(readersPerDomain)))
			for _, r := range rejected {
				g.Expect(r.Version).To(Equal(version(2)))
				g.Expect(r.Err).To(HaveOccurred())
			}
		}
		c.platform.publish(3, "p")
		_, ok := c.awaitVersion(3, 6*time.Second)
		g.Expect(ok).To(BeTrue())
		// A lower valid version that peers hold is still fetched after a higher one was found invalid.
		s := c.nodes["n0"].store
		s.announce(membership.Versions{Config: version(4)})
		m, values := testSet(5, "invalid")
		d, _ := s.offerSet(m, values)
		g.Expect(d).To(Equal(Invalid))
		s.announce(membership.Versions{Config: version(4)})
		set, _ := s.isBehind()
		g.Expect(set).To(BeTrue())
	})
}
