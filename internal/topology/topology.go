// Package topology holds the configuration and the catalogue in force on one node and notifies other components of
// changes to the configuration.
package topology

import (
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/panics"
	"github.com/medlarshunt/medlarshunt/internal/snapshot"
)

// View is the configuration in force with one snapshot chooser per group. The view is immutable; the choosers are shared
// with later views and change with the catalogue and with what responses report.
type View struct {
	*config.Index
	choosers map[string]*snapshot.Chooser
}

// Chooser returns the snapshot chooser of a group and reports whether the group is configured.
func (v *View) Chooser(group string) (*snapshot.Chooser, bool) {
	c, ok := v.choosers[group]
	return c, ok
}

// Holder stores the view and the catalogue in force. It is safe for concurrent use.
type Holder struct {
	view atomic.Pointer[View]

	mu        panics.Mutex // guards the fields below and serializes changes
	catalogue *config.Catalogue
	listeners []func(*View)
}

// NewHolder returns a Holder without configuration and catalogue.
func NewHolder() *Holder { return &Holder{} }

// View returns the view in force, or nil before the first configuration.
func (h *Holder) View() *View { return h.view.Load() }

// CatalogueVersion returns the version of the catalogue in force, or zero before the first one.
func (h *Holder) CatalogueVersion() config.Version {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.catalogue == nil {
		return config.Version{}
	}
	return h.catalogue.Version
}

// OnChange registers f. It calls f with the current view, if there is one, and then after each change of the
// configuration, in order. f runs with the Holder locked and must not call methods of the Holder.
func (h *Holder) OnChange(f func(*View)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.listeners = append(h.listeners, f)
	if v := h.view.Load(); v != nil {
		f(v)
	}
}

// SetDocument puts an accepted document in force and notifies the listeners. Choosers of groups that already existed
// keep their state. An error concerns only the catalogue; the document is in force nevertheless.
func (h *Holder) SetDocument(d config.Document) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	previous := h.view.Load()
	v := &View{Index: config.NewIndex(d), choosers: make(map[string]*snapshot.Chooser, len(d.Groups))}
	for _, g := range d.Groups {
		c := snapshot.NewChooser()
		if previous != nil && previous.choosers[g.Name] != nil {
			c = previous.choosers[g.Name]
		}
		c.SetServices(g.Services)
		v.choosers[g.Name] = c
	}
	err := h.applyCatalogue(v)
	h.view.Store(v)
	for _, f := range h.listeners {
		f(v)
	}
	return err
}

// SetCatalogue puts an accepted catalogue in force. The error is the first one of a group whose catalogue is invalid.
func (h *Holder) SetCatalogue(c config.Catalogue) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.catalogue = &c
	return h.applyCatalogue(h.view.Load())
}

// applyCatalogue passes each group's catalogue to its chooser and returns the first error. A group whose catalogue is
// invalid keeps its last valid one.
func (h *Holder) applyCatalogue(v *View) error {
	if h.catalogue == nil || v == nil {
		return nil
	}
	var firstErr error
	for _, g := range h.catalogue.Groups {
		c, ok := v.choosers[g.Group]
		if !ok {
			continue
		}
		if _, err := c.SetCatalogue(h.catalogue.Version, g); err != nil && firstErr == nil {
			firstErr = eris.Wrapf(err, "catalogue of group %s", g.Group)
		}
	}
	return firstErr
}
