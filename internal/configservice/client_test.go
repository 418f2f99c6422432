package configservice_test

import (
	"errors"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/configservice"
	"github.com/medlarshunt/medlarshunt/internal/standin/configservicesim"
	"github.com/medlarshunt/medlarshunt/internal/standin/netsim"
)

func TestConfigService(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "configservice")
}

func startPlatform(change func(*configservice.Config)) (*configservicesim.Server, *configservice.Client) {
	GinkgoHelper()
	s := configservicesim.New(configservicesim.Config{})
	Expect(s.Start()).To(Succeed())
	DeferCleanup(s.Close)
	cfg := configservice.Config{Address: s.Address(), ReadsPerSecond: 1000, Burst: 1000, Timeout: time.Minute}
	if change != nil {
		change(&cfg)
	}
	c, err := configservice.NewClient(cfg)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(c.Close)
	return s, c
}

func publish(s *configservicesim.Server, data string) configservice.Value {
	GinkgoHelper()
	v, err := s.Publish(config.KeyManifest, []byte(data))
	Expect(err).NotTo(HaveOccurred())
	return v
}

var _ = Describe("Client", func() {
	// Guards against lost revisions, wrongly escaped keys, such as those with slashes, and a wrong list of instances.
	It("reads values and instances", func(ctx SpecContext) {
		s, c := startPlatform(nil)
		want := publish(s, "one")
		Expect(c.Get(ctx, config.KeyManifest)).To(Equal(want))
		escaped, err := s.Publish("a/b c?d", []byte("odd"))
		Expect(err).NotTo(HaveOccurred())
		Expect(c.Get(ctx, escaped.Key)).To(Equal(escaped))
		in := configservice.Instance{ID: "n1", Kind: configservice.KindNode, Domain: "d", Address: "127.0.0.1:1", State: configservice.InstanceLive}
		s.PutInstance(in)
		Expect(s.Mark("n1", configservice.InstanceLeaving)).To(BeTrue())
		in.State = configservice.InstanceLeaving
		list, err := c.Instances(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(list.Instances).To(Equal([]configservice.Instance{in}))
	})

	// Guards against a second read that is lost like the first one: connections that were idle together go silent together.
	It("drops idle connections after a silent one", func(ctx SpecContext) {
		network := netsim.New(0, 0, 1)
		s, c := startPlatform(func(cfg *configservice.Config) {
			cfg.Dial, cfg.Timeout = network.Dialer("node"), 400*time.Millisecond
			network.SetLocation(cfg.Address, "platform")
		})
		want := publish(s, "one")
		s.SetFaults(configservicesim.Faults{SlowMS: 50})
		var reads sync.WaitGroup
		for range 2 {
			reads.Go(func() { _, _ = c.Get(ctx, config.KeyManifest) })
		}
		reads.Wait()
		s.SetFaults(configservicesim.Faults{})
		Expect(network.Silence(1)).To(Equal(2))
		_, err := c.Get(ctx, config.KeyManifest)
		Expect(err).To(HaveOccurred())
		Expect(c.Get(ctx, config.KeyManifest)).To(Equal(want))
	})

	// Guards against a watch that misses a change, and against polling: one watch counts as one call.
	It("watches for a newer revision with one call", func(ctx SpecContext) {
		s, c := startPlatform(nil)
		oldValue := publish(s, "one")
		received := make(chan configservice.Value, 1)
		go func() {
			defer GinkgoRecover()
			v, err := c.Watch(ctx, config.KeyManifest, oldValue.Revision, time.Minute)
			Expect(err).NotTo(HaveOccurred())
			received <- v
		}()
		Eventually(ctx, func() int64 { return s.Counts().Watches }).Should(BeEquivalentTo(1))
		s.PutInstance(configservice.Instance{ID: "n1"}) // an unrelated change
		want := publish(s, "two")
		Eventually(ctx, received).Should(Receive(Equal(want)))
		Expect(s.Counts().Calls()).To(BeEquivalentTo(1))
		_, err := c.Watch(ctx, config.KeyManifest, want.Revision, time.Millisecond)
		Expect(err).To(MatchError(configservice.ErrNoChange))
	})

	// Guards against a node that exceeds its share of the read limit: reads beyond it must not reach the platform.
	It("fails reads above its own limit without a request to the platform", func(ctx SpecContext) {
		s, c := startPlatform(func(c *configservice.Config) { c.ReadsPerSecond, c.Burst = 0.001, 2 })
		publish(s, "one")
		for range 2 {
			Expect(c.Get(ctx, config.KeyManifest)).Error().NotTo(HaveOccurred())
		}
		_, err := c.Get(ctx, config.KeyManifest)
		var e *configservice.Error
		Expect(errors.As(err, &e)).To(BeTrue())
		Expect(e.Kind).To(Equal(configservice.ErrorLimited))
		Expect(e.RetryAfter).To(BeNumerically(">", 0))
		Expect(s.Counts().Calls()).To(BeEquivalentTo(2))
	})

	// Guards against an old revision from a stale platform that is reported as a change.
	It("reports no change while the platform is stale", func(ctx SpecContext) {
		s, c := startPlatform(nil)
		oldValue := publish(s, "one")
		s.SetFaults(configservicesim.Faults{Stale: true})
		newer := publish(s, "two")
		Expect(c.Get(ctx, config.KeyManifest)).To(Equal(oldValue))
		_, err := c.Watch(ctx, config.KeyManifest, oldValue.Revision, 50*time.Millisecond)
		Expect(err).To(MatchError(configservice.ErrNoChange))
		s.SetFaults(configservicesim.Faults{RepeatOld: true})
		_, err = c.Watch(ctx, config.KeyManifest, newer.Revision, time.Minute)
		Expect(err).To(MatchError(configservice.ErrNoChange))
		s.SetFaults(configservicesim.Faults{})
		Expect(c.Watch(ctx, config.KeyManifest, oldValue.Revision, time.Minute)).To(Equal(newer))
	})
})

// Guards against a failed read that the caller takes for an empty or an unchanged value.
var _ = DescribeTable("failed reads",
	func(ctx SpecContext, faults configservicesim.Faults, timeout time.Duration, key string, kind configservice.ErrorKind) {
		s, c := startPlatform(func(c *configservice.Config) { c.Timeout = timeout })
		publish(s, "one")
		s.SetFaults(faults)
		_, err := c.Get(ctx, key)
		var e *configservice.Error
		Expect(errors.As(err, &e)).To(BeTrue(), "%T", err)
		Expect(e.Kind).To(Equal(kind), "%v", e)
		Expect(e.Key).To(Equal(key))
	},
	Entry("down", configservicesim.Faults{Down: true}, time.Minute, config.KeyManifest, configservice.ErrorUnavailable),
	Entry("slow", configservicesim.Faults{SlowMS: 60_000}, 50*time.Millisecond, config.KeyManifest, configservice.ErrorTimeout),
	Entry("read limit exceeded", configservicesim.Faults{LimitExceeded: true}, time.Minute, config.KeyManifest, configservice.ErrorRefused),
	Entry("nothing published", configservicesim.Faults{}, time.Minute, config.KeyCatalogue, configservice.ErrorNotFound),
)
