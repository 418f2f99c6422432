// Package fleet runs a simulated deployment in one process: a stand-in for the platform and one for each target of a
// configuration. The demo, the load tool and the tests use it.
package fleet

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/api"
	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/configservice"
	"github.com/medlarshunt/medlarshunt/internal/standin/configservicesim"
	"github.com/medlarshunt/medlarshunt/internal/standin/targetsim"
)

// Options configures a Fleet.
type Options struct {
	Document  config.Document
	Catalogue config.Catalogue
	// ServiceTime is the service time distribution of each target; its seed differs for each target.
	ServiceTime targetsim.ServiceTime
	// ConnectCost is the time that a target takes to accept one connection, by group name. Groups that are not listed
	// use DefaultConnectCost.
	ConnectCost map[string]time.Duration
	// Documents is the number of documents of each group; 0 selects the default of the stand-in target. With many
	// documents, finding hits takes more processor time than the tier under measurement.
	Documents int
	// DrainGrace is how long a draining target still runs new requests.
	DrainGrace time.Duration
	// KeepAddresses makes targets listen on the addresses of the document instead of free ports.
	KeepAddresses bool
	// Listen opens the listeners of the stand-ins; nil listens on TCP.
	Listen func(address string) (net.Listener, error)
}

// DefaultConnectCost is the time that the older targets of today's users take to accept a connection.
const DefaultConnectCost = 6 * time.Millisecond

// Fleet owns the stand-ins of one deployment. mu guards document and catalogue.
type Fleet struct {
	Platform *configservicesim.Server
	Targets  map[string]*targetsim.Server // by target ID

	mu        sync.Mutex
	document  config.Document
	catalogue config.Catalogue
}

// Start starts the stand-ins and publishes the document and the catalogue. It sets the target addresses in
// opts.Document to those on which the stand-ins listen.
func Start(opts Options) (*Fleet, error) {
	f := &Fleet{Platform: configservicesim.New(configservicesim.Config{Listen: opts.Listen}), Targets: map[string]*targetsim.Server{}}
	if err := f.Platform.Start(); err != nil {
		return nil, eris.Wrap(err, "start stand-in platform")
	}
	for i := range opts.Document.Groups {
		if err := f.startGroup(&opts, &opts.Document.Groups[i]); err != nil {
			f.Close()
			return nil, err
		}
	}
	if err := f.Publish(opts.Document); err != nil {
		f.Close()
		return nil, err
	}
	if err := f.PublishCatalogue(opts.Catalogue); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) startGroup(opts *Options, g *config.Group) error {
	catalogue := groupCatalogue(opts.Catalogue, g.Name)
	for i := range g.Services {
		s := &g.Services[i]
		s.Targets = slices.Clone(s.Targets)
		for j := range s.Targets {
			t := &s.Targets[j]
			server, err := f.startTarget(opts, g, s.Name, *t, catalogue)
			if err != nil {
				return err
			}
			t.Address = server.Address()
			f.Platform.PutInstance(configservice.Instance{
				ID: t.ID, Kind: configservice.KindTarget, Domain: t.Domain, Address: t.Address, State: configservice.InstanceLive,
				Incarnation: server.Incarnation(),
			})
		}
	}
	return nil
}

func (f *Fleet) startTarget(opts *Options, g *config.Group, service string, t config.Target, c config.GroupCatalogue) (*targetsim.Server, error) {
	cfg := targetsim.Config{
		ID: t.ID, Service: service, Slots: g.SlotsPerTarget, ConnectionLimit: g.ConnectionLimit,
		ConnectCost: DefaultConnectCost, ServiceTime: opts.ServiceTime, Maps: RangesOf(c, service),
		Documents: opts.Documents, DrainGrace: opts.DrainGrace, Listen: opts.Listen,
	}
	if cost, ok := opts.ConnectCost[g.Name]; ok {
		cfg.ConnectCost = cost
	}
	if opts.KeepAddresses {
		cfg.Address = t.Address
	}
	cfg.ServiceTime.Seed += uint64(len(f.Targets)) + 1
	for _, v := range c.Versions {
		cfg.Indexes = append(cfg.Indexes, targetsim.Index{Version: v.Index, Map: v.Map})
	}
	server, err := targetsim.New(cfg)
	if err == nil {
		err = server.Start()
	}
	if err != nil {
		return nil, eris.Wrapf(err, "start stand-in target %s", t.ID)
	}
	f.Targets[t.ID] = server
	return server, nil
}

func groupCatalogue(c config.Catalogue, group string) config.GroupCatalogue {
	for _, g := range c.Groups {
		if g.Group == group {
			return g
		}
	}
	return config.GroupCatalogue{Group: group}
}

// RangesOf returns the key ranges of a service in each partition map.
func RangesOf(c config.GroupCatalogue, service string) map[uint64][]api.KeyRange {
	ranges := map[uint64][]api.KeyRange{}
	for _, m := range c.Maps {
		ranges[m.Version] = nil
		for _, a := range m.Assignments {
			if a.Service == service {
				ranges[m.Version] = append(ranges[m.Version], a.Range)
			}
		}
	}
	return ranges
}

// Document returns the document that was published last.
func (f *Fleet) Document() config.Document {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.document
}

// Catalogue returns the catalogue that was published last.
func (f *Fleet) Catalogue() config.Catalogue {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.catalogue
}

// Publish publishes a document in the order in which an operator does: the parts first, then the manifest.
func (f *Fleet) Publish(d config.Document) error {
	manifest, parts, err := config.Split(d)
	if err != nil {
		return eris.Wrap(err, "split document")
	}
	for _, key := range slices.Sorted(maps.Keys(parts)) {
		if _, err := f.Platform.Publish(key, parts[key]); err != nil {
			return eris.Wrapf(err, "publish %s", key)
		}
	}
	data, err := config.EncodeManifest(manifest)
	if err != nil {
		return eris.Wrap(err, "encode manifest")
	}
	if _, err := f.Platform.Publish(config.KeyManifest, data); err != nil {
		return eris.Wrap(err, "publish manifest")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.document = d
	return nil
}

// PublishCatalogue publishes a catalogue.
func (f *Fleet) PublishCatalogue(c config.Catalogue) error {
	data, err := config.EncodeCatalogue(c)
	if err != nil {
		return eris.Wrap(err, "encode catalogue")
	}
	if _, err := f.Platform.Publish(config.KeyCatalogue, data); err != nil {
		return eris.Wrap(err, "publish catalogue")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.catalogue = c
	return nil
}

// ServiceTargets returns the IDs of the targets of one service.
func (f *Fleet) ServiceTargets(group, service string) []string {
	var ids []string
	for _, g := range f.Document().Groups {
		for _, s := range g.Services {
			if g.Name == group && s.Name == service {
				for _, t := range s.Targets {
					ids = append(ids, t.ID)
				}
			}
		}
	}
	return ids
}

// Close stops all stand-ins.
func (f *Fleet) Close() {
	var wg sync.WaitGroup
	for _, t := range f.Targets {
		wg.Go(t.Close)
	}
	wg.Wait()
	f.Platform.Close()
}

// SmallDeployment returns the document and the catalogue of a small deployment for demos and tests: one group in three failure
// domains with one target per service and failure domain.
func SmallDeployment(services int) (config.Document, config.Catalogue) {
	domains := []string{"north", "east", "south"}
	d := config.Document{Version: config.Version{Epoch: 1, Number: 1}}
	for _, name := range domains {
		d.Domains = append(d.Domains, config.FailureDomain{Name: name, Region: "main", MaxRelays: 3})
	}
	g := config.Group{
		Name: "records", Team: "demo", Policy: config.CoverageFirst, Commands: true, SlotsPerTarget: 2, ConnectionLimit: 25,
		DefaultTimeoutMS: 2000, MaxTimeoutMS: 10_000, HedgeQuantile: 0.95, RetryBudget: 0.05, MaxBodyBytes: 64 << 10,
		MaxLimit: 1000, Canary: config.CanaryAlways, LatencyGoalMS: 100,
	}
	m := config.PartitionMap{Version: 1}
	for i := range services {
		name := fmt.Sprintf("records-%02d", i)
		s := config.Service{Name: name}
		for _, domain := range domains {
			s.Targets = append(s.Targets, config.Target{ID: name + "-" + domain, Domain: domain, Address: "127.0.0.1:1"})
		}
		g.Services = append(g.Services, s)
		width := api.KeySpaceEnd / uint64(services)
		r := api.KeyRange{From: uint64(i) * width, To: uint64(i+1) * width}
		if i == services-1 {
			r.To = api.KeySpaceEnd
		}
		m.Assignments = append(m.Assignments, config.Assignment{Service: name, Range: r})
	}
	d.Groups = []config.Group{g}
	d.Callers = []config.Caller{
		{Name: "demo-caller", Team: "demo", Role: config.RoleCaller, KeySHA256: HashKey(DemoKey), Groups: []string{"records"}, Weight: 1, MaxConcurrent: 1000},
		{Name: "demo-admin", Team: "demo", Role: config.RoleAdmin, KeySHA256: HashKey(DemoAdminKey), Weight: 1, MaxConcurrent: 10},
	}
	c := config.Catalogue{Version: config.Version{Epoch: 1, Number: 1}, Groups: []config.GroupCatalogue{{
		Group: "records", Versions: []config.IndexVersion{{Index: 1, Map: 1}}, Maps: []config.PartitionMap{m},
	}}}
	return d, c
}
