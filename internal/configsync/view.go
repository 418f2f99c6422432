package configsync

import (
	"time"

	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/membership"
	"github.com/medlarshunt/medlarshunt/internal/statechart"
)

// Kinds of published values that can be rejected.
const (
	KindConfiguration = "configuration"
	KindCatalogue     = "catalogue"
)

// Rejection describes a published version that was found invalid. Document or Catalogue holds what could be decoded, so
// that a fault can be attributed to a team; neither may be modified.
type Rejection struct {
	Kind      string
	Version   config.Version
	At        time.Time
	Err       error
	Document  *config.Document
	Catalogue *config.Catalogue
}

// View is the state of a Syncer for the administration API.
type View struct {
	State     statechart.ConfigState
	Readiness Readiness
	Held      membership.Versions
	Known     membership.Versions // the highest known versions that were not found invalid
	Rejected  []Rejection         // the last rejection of each kind
}

// View returns the current state. Unlike Readiness, it records nothing.
func (s *Syncer) View() View {
	v := View{State: s.State(), Readiness: s.evaluateReadiness()}
	s.store.view(&v)
	return v
}

func (s *store) view(v *View) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v.Held = s.heldVersions()
	v.Known = v.Held.Max(membership.Versions{Config: s.setAcceptor.Pending(), Catalogue: s.catalogueAcceptor.Pending()})
	for _, r := range []*Rejection{s.setAcceptor.rejection, s.catalogueAcceptor.rejection} {
		if r != nil {
			v.Rejected = append(v.Rejected, *r)
		}
	}
}

// rejectManifest records the rejection of a manifest that could not be decoded or validated, without its version.
func (s *store) rejectManifest(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setAcceptor.rejection = &Rejection{Kind: KindConfiguration, At: time.Now(), Err: err}
}
