// Package configservicesim is a stand-in for the configuration service, for tests and development. It serves published values
// with revisions, watches by long poll and the list of instances, and it injects faults on demand.
package configservicesim

import (
	"slices"
	"sync"

	"github.com/medlarshunt/medlarshunt/internal/configservice"
)

// store holds the published values and instances. mu guards all fields. changed is closed and replaced at every change.
type store struct {
	mu            sync.Mutex
	revision      uint64
	values        map[string]configservice.Value
	instances     configservice.InstanceList
	staleSnapshot *snapshot // served instead of the current state while the platform is stale
	changed       chan struct{}
}

// snapshot is the published state at one time.
type snapshot struct {
	values    map[string]configservice.Value
	instances configservice.InstanceList
}

func newStore() *store {
	return &store{values: map[string]configservice.Value{}, changed: make(chan struct{})}
}

func (s *store) publish(key string, data []byte) configservice.Value {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	v := configservice.Value{Key: key, Revision: s.revision, Data: slices.Clone(data)}
	s.values[key] = v
	s.notifyWatches()
	return v
}

// put replaces the entry with the same id, kind and incarnation, or adds it.
func (s *store) put(instance configservice.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := slices.DeleteFunc(slices.Clone(s.instances.Instances), func(o configservice.Instance) bool {
		return o.ID == instance.ID && o.Kind == instance.Kind && o.Incarnation == instance.Incarnation
	})
	s.setInstances(append(list, instance))
}

// mark changes the state of all entries with the given id and reports whether there is one.
func (s *store) mark(id string, state configservice.InstanceState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	list, found := slices.Clone(s.instances.Instances), false
	for i := range list {
		if list[i].ID == id {
			list[i].State, found = state, true
		}
	}
	if found {
		s.setInstances(list)
	}
	return found
}

func (s *store) setInstances(list []configservice.Instance) {
	s.revision++
	s.instances = configservice.InstanceList{Revision: s.revision, Instances: list}
	s.notifyWatches()
}

func (s *store) notifyWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// setStale(true) makes the store serve its current state until setStale(false).
func (s *store) setStale(stale bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case stale && s.staleSnapshot == nil:
		values := make(map[string]configservice.Value, len(s.values))
		for k, v := range s.values {
			values[k] = v
		}
		s.staleSnapshot = &snapshot{values: values, instances: s.instances}
	case !stale && s.staleSnapshot != nil:
		s.staleSnapshot = nil
		s.notifyWatches()
	}
}

// get returns a value and the channel that closes at the next change.
func (s *store) get(key string) (configservice.Value, bool, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	values := s.values
	if s.staleSnapshot != nil {
		values = s.staleSnapshot.values
	}
	v, ok := values[key]
	return v, ok, s.changed
}

func (s *store) list() configservice.InstanceList {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.staleSnapshot != nil {
		return s.staleSnapshot.instances
	}
	return s.instances
}
