package configservice

import (
	"context"
	"errors"
	"time"
)

// Failover reads from the first of several sources that is available. All sources are endpoints of the same service, so
// every other result is final, including that a key does not exist.
type Failover struct{ sources []Source }

// NewFailover returns a Failover that tries the sources in the given order.
func NewFailover(sources ...Source) *Failover { return &Failover{sources: sources} }

// Get implements Source.
func (f *Failover) Get(ctx context.Context, key string) (Value, error) {
	return readInOrder(ctx, f.sources, func(s Source) (Value, error) { return s.Get(ctx, key) })
}

// Watch implements Source.
func (f *Failover) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (Value, error) {
	return readInOrder(ctx, f.sources, func(s Source) (Value, error) { return s.Watch(ctx, key, after, wait) })
}

// Instances implements Source.
func (f *Failover) Instances(ctx context.Context) (InstanceList, error) {
	return readInOrder(ctx, f.sources, func(s Source) (InstanceList, error) { return s.Instances(ctx) })
}

func readInOrder[T any](ctx context.Context, sources []Source, read func(Source) (T, error)) (T, error) {
	var value T
	var err error
	for _, s := range sources {
		value, err = read(s)
		var platformErr *Error
		if err == nil || ctx.Err() != nil || !errors.As(err, &platformErr) || platformErr.Kind != ErrorUnavailable {
			return value, err
		}
	}
	return value, err
}
