// Package configservice is the client of the platform's configuration service. It reads the configuration values and the
// list of instances that the platform publishes there for the nodes of package node, which serve the product's own
// interface. The gateway reads the platform's store instead, with package published.
package configservice

import (
	"context"
	"time"
)

// Value is one published value with its revision. The revisions of a key only increase.
type Value struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Data     []byte `json:"data"`
}

// InstanceState is the state of an instance as an operator has marked it.
type InstanceState string

// States of an instance.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
	InstanceGone    InstanceState = "gone"
)

// InstanceKind is the kind of process that runs on an instance.
type InstanceKind string

// Kinds of instances.
const (
	KindNode   InstanceKind = "node"
	KindTarget InstanceKind = "target"
)

// Instance is one entry of the published list. ID is a node id or a target id.
type Instance struct {
	ID          string        `json:"id"`
	Kind        InstanceKind  `json:"kind"`
	Domain      string        `json:"domain"`
	Address     string        `json:"address"`
	State       InstanceState `json:"state"`
	Incarnation string        `json:"incarnation,omitempty"`
}

// InstanceList is the published list of instances. It lags behind the actual state.
type InstanceList struct {
	Revision  uint64     `json:"revision"`
	Instances []Instance `json:"instances"`
}

// Source reads from the platform. Each call, a waiting watch included, counts against the platform's read limit.
// Errors are *Error.
type Source interface {
	Get(ctx context.Context, key string) (Value, error)
	// Watch returns the value once its revision is above after, or ErrNoChange when wait has passed.
	Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error)
	Instances(ctx context.Context) (InstanceList, error)
}
