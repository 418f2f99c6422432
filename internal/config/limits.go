package config

import "time"

// Bounds on the values in published documents. They are wide: they catch typing errors and keep a node within its memory.
const (
	MaxTargets          = 50_000 // 11,000 targets are planned
	MaxServices         = 10_000
	MaxRelaysLimit      = 1_000
	MaxSlotsPerTarget   = 10_000
	MaxConnectionLimit  = 100_000
	MaxTimeout          = 10 * time.Minute
	MaxBodyBytesLimit   = 16 << 20 // bytes; a node holds several bodies in its 64 MB
	MaxHitLimit         = 100_000
	MaxKindWeight       = 1_000.0
	MaxCallerWeight     = 1_000
	MaxCallerConcurrent = 1_000_000

	// MinHedgeQuantile keeps hedges so rare that the retry budget seldom limits them.
	MinHedgeQuantile = 0.5
	MaxHedgeQuantile = 0.999
	// MaxRetryBudget is the largest share of attempts that retries and hedges may add.
	MaxRetryBudget = 0.5
)

// maxDisplayNameBytes lets a display name fit on one line of a log or a table.
const maxDisplayNameBytes = 200
