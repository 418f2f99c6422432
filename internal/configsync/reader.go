package configsync

import (
	"context"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/config"
	"github.com/medlarshunt/medlarshunt/internal/configservice"
	"github.com/medlarshunt/medlarshunt/internal/membership"
)

// readerRole decides when a node starts and stops watching the platform. A rank must last for minRankDuration, because
// replacing a reader that is only briefly suspect would cost four reads.
type readerRole struct {
	notBefore time.Time
	watching  bool
	since     time.Time // when the rank last matched watching
}

// update evaluates the current rank and reports whether watching changed.
func (r *readerRole) update(ranksAsReader bool, now time.Time) bool {
	if ranksAsReader == r.watching || now.Before(r.notBefore) {
		r.since = now
	}
	if now.Sub(r.since) < minRankDuration {
		return false
	}
	r.watching, r.since = ranksAsReader, now
	return true
}

// watch watches one key of the platform until ctx ends and passes each new value to handle. If handle fails, the value
// is read again after a backoff.
func (s *Syncer) watch(ctx context.Context, key string, handle func(context.Context, configservice.Value) error) {
	s.deps.Panics.Loop(ctx, "watch of the configuration", func(ctx context.Context) { s.watchUntilDone(ctx, key, handle) })
}

func (s *Syncer) watchUntilDone(ctx context.Context, key string, handle func(context.Context, configservice.Value) error) {
	var afterRevision uint64
	backoff := minBackoff
	for ctx.Err() == nil {
		started := time.Now()
		value, changed, err := s.watchOnce(ctx, key, afterRevision)
		switch {
		case err == nil && changed:
			err = handle(ctx, value)
		case err == nil && time.Since(started) < s.cfg.WatchWait/2:
			// Without a pause, a platform that ends watches at once would be read as fast as the token bucket allows.
			err = &Error{Code: CodePlatform, Message: "watch ended early without a change"}
		}
		if err == nil {
			backoff = minBackoff
			if changed {
				afterRevision = value.Revision
			}
			continue
		}
		if ctx.Err() != nil {
			return
		}
		s.deps.Log.WithError(err).WithField("key", key).Warn("platform read failed")
		if sleep(ctx, backoff/2+s.jitter(backoff)) != nil {
			return
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// watchOnce performs one long poll. changed is false if the wait passed without a new revision.
func (s *Syncer) watchOnce(ctx context.Context, key string, afterRevision uint64) (v configservice.Value, changed bool, err error) {
	err = s.read(ctx, "watch", s.cfg.WatchWait+watchMargin, func(ctx context.Context) error {
		v, err = s.deps.Source.Watch(ctx, key, afterRevision, s.cfg.WatchWait)
		if err != nil && s.deps.IsNoChange(err) {
			return nil
		}
		changed = err == nil && v.Revision > afterRevision
		return err
	})
	return v, changed, err
}

// get reads one value from the platform.
func (s *Syncer) get(ctx context.Context, key string) (v configservice.Value, err error) {
	err = s.read(ctx, "get", readTimeout, func(ctx context.Context) error {
		v, err = s.deps.Source.Get(ctx, key)
		return err
	})
	return v, err
}

// read runs call as one platform read: it waits for a token, counts the read and applies the timeout.
func (s *Syncer) read(ctx context.Context, op string, timeout time.Duration, call func(context.Context) error) error {
	if err := s.readLimiter.wait(ctx); err != nil {
		return err
	}
	s.metrics.countRead(op)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if err := call(ctx); err != nil {
		s.metrics.readErrors.Inc()
		return &Error{Code: CodePlatform, Message: op + " failed", Err: err}
	}
	return nil
}

// readPlatform reads the manifest and the catalogue once. Without parts, a newer document set is only announced and later
// fetched from a reader, so that a restart of a whole failure domain does not read the parts once per node. Failures are
// only logged: peers may still provide what is missing.
func (s *Syncer) readPlatform(ctx context.Context, parts bool) {
	handle := s.handleManifest
	if !parts {
		handle = s.announceManifest
	}
	s.getAndHandle(ctx, config.KeyManifest, handle)
	s.getAndHandle(ctx, config.KeyCatalogue, s.handleCatalogue)
}

// getAndHandle reads one key, passes its value to handle and logs a failure.
func (s *Syncer) getAndHandle(ctx context.Context, key string, handle func(context.Context, configservice.Value) error) {
	value, err := s.get(ctx, key)
	if err == nil {
		err = handle(ctx, value)
	}
	if err != nil && ctx.Err() == nil {
		s.deps.Log.WithError(err).WithField("key", key).Warn("platform read failed")
	}
}

// decodeManifest decodes a published manifest. It records an invalid one as a rejection and returns false.
func (s *Syncer) decodeManifest(value configservice.Value) (config.Manifest, bool) {
	manifest, err := s.deps.Checker.Manifest(value.Data)
	if err != nil {
		s.store.rejectManifest(err)
		s.handleDecision("configuration", "platform", Invalid,
			&Error{Code: CodeInvalidSet, Message: "manifest is invalid", Err: err})
	}
	return manifest, err == nil
}

// announceManifest announces the version of a manifest to the store.
func (s *Syncer) announceManifest(_ context.Context, value configservice.Value) error {
	if manifest, ok := s.decodeManifest(value); ok {
		s.store.announce(membership.Versions{Config: manifest.Version})
	}
	return nil
}

// handleManifest reads the parts of a newer document set that are not held and offers the set. An error means that
// another read may succeed; an invalid set is not an error here.
func (s *Syncer) handleManifest(ctx context.Context, value configservice.Value) error {
	manifest, ok := s.decodeManifest(value)
	if !ok {
		return nil
	}
	select {
	case s.readingSet <- struct{}{}:
		defer func() { <-s.readingSet }()
	case <-ctx.Done():
		return ctx.Err()
	}
	s.store.announce(membership.Versions{Config: manifest.Version})
	values := map[string][]byte{}
	for _, part := range s.store.missingParts(manifest) {
		v, err := s.get(ctx, part.Key)
		if err != nil {
			return err
		}
		values[part.Key] = v.Data
		if len(s.store.missingParts(manifest)) == 0 {
			break // a peer provided the set in the meantime
		}
	}
	d, err := s.store.offerSet(manifest, values)
	s.handleDecision("configuration", "platform", d, err)
	if d == Incomplete {
		return err
	}
	return nil
}

// handleCatalogue offers a published catalogue. It never fails.
func (s *Syncer) handleCatalogue(_ context.Context, value configservice.Value) error {
	d, err := s.store.offerCatalogue(value.Data)
	s.handleDecision("catalogue", "platform", d, err)
	return nil
}
