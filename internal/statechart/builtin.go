package statechart

import (
	"embed"

	"github.com/VictoriaMetrics/metrics"
)

// chartFiles holds the YAML sources of the built-in charts.
//
//go:embed charts/*.yaml
var chartFiles embed.FS

// NodeState is a lifecycle state of a node.
type NodeState string

// Lifecycle states of a node.
const (
	NodeStarting NodeState = "starting"
	NodeSyncing  NodeState = "syncing"
	NodeReady    NodeState = "ready"
	NodePaused   NodeState = "paused"
	NodeDraining NodeState = "draining"
	NodeStopped  NodeState = "stopped"
)

// NodeEvent is a lifecycle event of a node.
type NodeEvent string

// Lifecycle events of a node.
const (
	NodeStarted       NodeEvent = "started"
	NodeSynced        NodeEvent = "synced"
	NodeResync        NodeEvent = "resync"
	NodePauseDetected NodeEvent = "pause_detected"
	NodeRefresh       NodeEvent = "refresh"
	NodeDrain         NodeEvent = "drain"
	NodeStop          NodeEvent = "stop"
)

// TargetState is a lifecycle state of a target as one node sees it.
type TargetState string

// Lifecycle states of a target.
const (
	TargetUnknown   TargetState = "unknown"
	TargetWarming   TargetState = "warming"
	TargetHealthy   TargetState = "healthy"
	TargetEjected   TargetState = "ejected"
	TargetProbation TargetState = "probation"
	TargetLeaving   TargetState = "leaving"
	TargetGone      TargetState = "gone"
)

// TargetEvent is a lifecycle event of a target.
type TargetEvent string

// Lifecycle events of a target.
const (
	TargetFirstAnswer   TargetEvent = "first_answer"
	TargetWarmed        TargetEvent = "warmed"
	TargetEject         TargetEvent = "eject"
	TargetProbeDue      TargetEvent = "probe_due"
	TargetProbeAnswered TargetEvent = "probe_answered"
	TargetProbeFailed   TargetEvent = "probe_failed"
	TargetLeave         TargetEvent = "leave"
	TargetRestarted     TargetEvent = "restarted"
	TargetRemoved       TargetEvent = "removed"
)

// AttemptState is a state of a request attempt.
type AttemptState string

// States of a request attempt.
const (
	AttemptPlanned   AttemptState = "planned"
	AttemptQueued    AttemptState = "queued"
	AttemptSent      AttemptState = "sent"
	AttemptAnswered  AttemptState = "answered"
	AttemptRefused   AttemptState = "refused"
	AttemptFailed    AttemptState = "failed"
	AttemptCancelled AttemptState = "cancelled"
)

// AttemptEvent is an event of a request attempt.
type AttemptEvent string

// Events of a request attempt.
const (
	AttemptEnqueue AttemptEvent = "enqueue"
	AttemptSend    AttemptEvent = "send"
	AttemptAnswer  AttemptEvent = "answer"
	AttemptRefuse  AttemptEvent = "refuse"
	AttemptFail    AttemptEvent = "fail"
	AttemptCancel  AttemptEvent = "cancel"
)

// ConfigState is a state of the configuration that a node holds.
type ConfigState string

// States of the configuration.
const (
	ConfigNone       ConfigState = "none"
	ConfigLoading    ConfigState = "loading"
	ConfigInForce    ConfigState = "in_force"
	ConfigNewerKnown ConfigState = "newer_known"
)

// ConfigEvent is an event of the configuration.
type ConfigEvent string

// Events of the configuration.
const (
	ConfigAnnounced ConfigEvent = "announced"
	ConfigAccepted  ConfigEvent = "accepted"
	ConfigRejected  ConfigEvent = "rejected"
)

// Charts holds the built-in charts.
type Charts struct {
	Node    *Chart[NodeState, NodeEvent]
	Target  *Chart[TargetState, TargetEvent]
	Attempt *Chart[AttemptState, AttemptEvent]
	Config  *Chart[ConfigState, ConfigEvent]
}

// NewCharts loads the built-in charts. Events that they reject are counted in set.
func NewCharts(set *metrics.Set) (*Charts, error) {
	c := &Charts{}
	if err := loadFile("charts/node.yaml", set, &c.Node); err != nil {
		return nil, err
	}
	if err := loadFile("charts/target.yaml", set, &c.Target); err != nil {
		return nil, err
	}
	if err := loadFile("charts/attempt.yaml", set, &c.Attempt); err != nil {
		return nil, err
	}
	if err := loadFile("charts/configuration.yaml", set, &c.Config); err != nil {
		return nil, err
	}
	return c, nil
}

// loadFile loads one embedded chart into dst.
func loadFile[S, E ~string](name string, set *metrics.Set, dst **Chart[S, E]) error {
	source, err := chartFiles.ReadFile(name)
	if err != nil {
		return &LoadError{Chart: name, Problems: []string{err.Error()}}
	}
	*dst, err = Load[S, E](source, set)
	return err
}
