package configservice

import "time"

// tokenBucket is a rate limiter. It reads no clock: callers pass the time. It is not safe for concurrent use.
type tokenBucket struct {
	tokensPerSecond float64
	burst           float64
	tokens          float64
	updatedAt       time.Time
}

func newTokenBucket(tokensPerSecond float64, burst int, now time.Time) *tokenBucket {
	return &tokenBucket{tokensPerSecond: tokensPerSecond, burst: float64(burst), tokens: float64(burst), updatedAt: now}
}

// take removes one token and returns 0. If none is available, it returns the time until the next one is.
func (b *tokenBucket) take(now time.Time) time.Duration {
	if elapsed := now.Sub(b.updatedAt); elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+b.tokensPerSecond*elapsed.Seconds())
		b.updatedAt = now
	}
	if b.tokens >= 1 {
		b.tokens--
		return 0
	}
	return time.Duration((1 - b.tokens) / b.tokensPerSecond * float64(time.Second))
}
