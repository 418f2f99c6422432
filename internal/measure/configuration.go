package measure

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/configsync"
	"github.com/medlarshunt/medlarshunt/internal/fleet"
	"github.com/medlarshunt/medlarshunt/internal/topology"
)

const (
	// plannedServices is the number of services that one search covers at the planned deployment size.
	plannedServices = 500
	plannedDomains  = 18
)

// documentSet is a document split into the manifest and the values that the platform stores.
type documentSet struct {
	manifest config.Manifest
	values   map[string][]byte
	encoded  []byte // the encoded manifest
}

// newDocument returns a document with one group of the given number of targets in plannedDomains failure domains, and the
// given number of callers in addition to those of the scenario.
func newDocument(targets, callers int) (config.Document, config.Catalogue) {
	d, c := fleet.SmallDeployment(min(plannedServices, targets))
	d.Domains = nil
	for i := range plannedDomains {
		d.Domains = append(d.Domains, config.FailureDomain{
			Name: fmt.Sprintf("domain-%02d", i), Region: fmt.Sprintf("region-%d", i%5), MaxRelays: 100,
		})
	}
	services := d.Groups[0].Services
	for i := range services {
		services[i].Targets = nil
	}
	for i := range targets {
		s := &services[i%len(services)]
		s.Targets = append(s.Targets, config.Target{
			ID: fmt.Sprintf("%s-t%02d", s.Name, i/len(services)), Domain: d.Domains[(i/len(services)+i)%plannedDomains].Name,
			Address: fmt.Sprintf("10.2.%d.%d:8000", i/250, i%250),
		})
	}
	for i := range callers {
		caller := d.Callers[0]
		caller.Name, caller.KeySHA256 = fmt.Sprintf("caller-%04d", i), fleet.HashKey(fmt.Sprint("key of caller ", i))
		d.Callers = append(d.Callers, caller)
	}
	return d, c
}

// splitDocument splits a document as the platform stores it.
func splitDocument(d config.Document) (documentSet, error) {
	var p documentSet
	var err error
	if p.manifest, p.values, err = config.Split(d); err != nil {
		return p, err
	}
	p.encoded, err = config.EncodeManifest(p.manifest)
	return p, err
}

// withMovedTarget returns a copy of the document in which one target has another address. It adds number to the version
// number and derives the address from number, modulo 200.
func withMovedTarget(d config.Document, number uint64) config.Document {
	out := d
	out.Version.Number += number
	out.Groups = append([]config.Group(nil), d.Groups...)
	services := append([]config.Service(nil), d.Groups[0].Services...)
	at := &services[len(services)/2]
	at.Targets = append([]config.Target(nil), at.Targets...)
	at.Targets[0].Address = fmt.Sprintf("10.3.0.%d:8000", 1+number%200)
	out.Groups[0].Services = services
	return out
}

func measureConfigurationTargets(ctx context.Context, o Options) ([]Series, error) {
	t := newTable("targets")
	err := o.forEachSize(ctx, o.sizes(1500, 3000, 5500, 11_000), func(size int) error { return measureDocument(o, t, size, size, 100) })
	return t.result(), err
}

func measureConfigurationCallers(ctx context.Context, o Options) ([]Series, error) {
	t := newTable("callers")
	err := o.forEachSize(ctx, o.sizes(100, 500, 1000, 2000), func(size int) error { return measureDocument(o, t, size, 1500, size) })
	return t.result(), err
}

// measureDocument records the cost of a document set, and of one change to it, for a node.
func measureDocument(o Options, t *table, size, targets, callers int) error {
	d, c := newDocument(targets, callers)
	old, err := splitDocument(d)
	if err != nil {
		return err
	}
	if err := d.Validate(); err != nil {
		return err
	}
	next, err := splitDocument(withMovedTarget(d, 1))
	if err != nil {
		return err
	}
	if err := measureBytes(t, size, old, next); err != nil {
		return err
	}
	count := max(1, o.Count/40)
	var lastErr error
	t.addCost(size, "decode and validate all parts", measureRepeated(count, func() {
		assembled, err := config.Assemble(next.manifest, next.values)
		if err == nil {
			err = assembled.Validate()
		}
		lastErr = err
	}))
	if lastErr != nil {
		return lastErr
	}
	if err := measureChange(t, size, count, d); err != nil {
		return err
	}
	return measureTopology(t, size, count, d, c)
}

// measureChange records the cost of one change for a node, which keeps the decoded parts of the previous document.
func measureChange(t *table, size, count int, d config.Document) error {
	var a config.Assembler
	versions := make([]documentSet, count+2)
	for i := range versions {
		var err error
		if versions[i], err = splitDocument(withMovedTarget(d, uint64(i)+1)); err != nil {
			return err
		}
	}
	next := 0
	var lastErr error
	decodeNext := func() {
		assembled, err := a.Assemble(versions[next].manifest, versions[next].values)
		if err == nil {
			err = assembled.Validate()
		}
		lastErr = err
		next++
	}
	decodeNext() // the first call decodes all parts, as a node does at startup
	t.addCost(size, "decode and validate a change", measureCost(count, func() {
		for range count {
			decodeNext()
		}
	}))
	return lastErr
}

// measureTopology records the cost of indexing a document and putting it in force, and the memory that it retains.
func measureTopology(t *table, size, count int, d config.Document, c config.Catalogue) error {
	h := topology.NewHolder()
	if err := h.SetCatalogue(c); err != nil {
		return err
	}
	var lastErr error
	t.addCost(size, "index and put in force", measureRepeated(count, func() { lastErr = h.SetDocument(d) }))
	retained := retainedBytes(func() *topology.Holder {
		document, catalogue := newDocument(len(d.Groups[0].Services)*len(d.Groups[0].Services[0].Targets), len(d.Callers))
		h := topology.NewHolder()
		_ = h.SetCatalogue(catalogue)
		_ = h.SetDocument(document)
		return h
	}, nil)
	t.add(size, "memory of one document in force", "KB", retained/1e3)
	return lastErr
}

// measureBytes records the size of a document set, of one change, and of the request and reply by which a follower fetches
// the change.
func measureBytes(t *table, size int, old, next documentSet) error {
	total, changedBytes, changedParts := 0, 0, 0
	offer := configsync.Offer{Manifest: next.manifest, Values: map[string][]byte{}}
	request := configsync.Request{}
	for _, p := range old.manifest.Parts {
		request.Parts = append(request.Parts, p.SHA256)
	}
	for key, value := range next.values {
		total += len(value)
		if _, same := old.values[key]; !same {
			changedBytes += len(value)
			changedParts++
			offer.Values[key] = value
		}
	}
	sent, err := json.Marshal(offer)
	if err != nil {
		return eris.Wrap(err, "encode offer")
	}
	asked, err := json.Marshal(request)
	if err != nil {
		return eris.Wrap(err, "encode request")
	}
	t.add(size, "bytes of all parts", "KB", float64(total)/1e3)
	t.add(size, "parts", "", float64(len(next.manifest.Parts)))
	t.add(size, "bytes of the manifest", "KB", float64(len(next.encoded))/1e3)
	t.add(size, "bytes of the changed parts", "KB", float64(changedBytes)/1e3)
	t.add(size, "changed parts", "", float64(changedParts))
	t.add(size, "fetch of a change: request", "KB", float64(len(asked))/1e3)
	t.add(size, "fetch of a change: reply", "KB", float64(len(sent))/1e3)
	return nil
}
