package node

import (
	"net/http"

	"github.com/medlarshunt/medlarshunt/internal/admin"
)

// adminHandler serves health, metrics and the administration API.
func adminHandler(c *core) http.Handler {
	deps := admin.Deps{
		Lifecycle: c.lifecycle, Topology: c.topology, Members: c.members, Config: c.syncer, Directory: c.directory, Quarantine: c.guard,
		Searcher: c.entry, Metrics: c.deps.Metrics, Log: c.log,
	}
	if c.relay != nil {
		deps.Relay = c.relay
	}
	return admin.New(deps).Handler()
}
