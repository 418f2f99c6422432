package hedge

import (
	"time"

	"github.com/medlarshunt/medlarshunt/internal/panics"
)

const (
	// DefaultShare is the share of primary attempts that may be added as hedges and retries.
	DefaultShare = 0.05
	// DefaultBurst is the number of extra attempts that may be made at once after an idle time.
	DefaultBurst = 10
	// tokenUnit is one token, or one extra attempt, in fixed point; integers keep the bound exact over any window.
	tokenUnit = 1_000_000
)

// Budget is a token bucket that bounds the extra attempts (hedges and retries) of one group or service: each primary attempt,
// which is the first one of a part or request, deposits a share of a token, each extra attempt withdraws one. Over any window,
// withdrawals are at most share × primary attempts + burst.
// It is safe for concurrent use.
type Budget struct {
	mu             panics.Mutex // guards tokens, closed, retryStarvedAt and limit
	tokens         int64
	closed         bool
	retryStarvedAt time.Time // when a retry last found no token

	depositPerPrimary, limit int64
}

// NewBudget returns a full budget. The defaults replace a share or burst that is not positive.
func NewBudget(share float64, burst int) *Budget {
	if share <= 0 {
		share = DefaultShare
	}
	if burst <= 0 {
		burst = DefaultBurst
	}
	limit := int64(burst) * tokenUnit
	return &Budget{tokens: limit, depositPerPrimary: int64(share * tokenUnit), limit: limit}
}

// NewEmptyBudget returns a budget without tokens. The share must be positive; the burst may be a fraction above 1.
func NewEmptyBudget(share, burst float64) *Budget {
	return &Budget{depositPerPrimary: int64(share * tokenUnit), limit: int64(burst * tokenUnit)}
}

// Fill raises the tokens to the burst.
func (b *Budget) Fill() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = b.limit
}

// SetBurst changes the number of tokens that the budget can hold. Tokens above it are discarded.
func (b *Budget) SetBurst(burst float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limit = int64(burst * tokenUnit)
	b.tokens = min(b.tokens, b.limit)
}

// DepositPrimary adds the share of a token for one primary attempt.
func (b *Budget) DepositPrimary() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.depositPerPrimary, b.limit)
}

// withdraw takes one token. It reports false when the budget is empty or closed. The caller holds mu.
func (b *Budget) withdraw() bool {
	if b.closed || b.tokens < tokenUnit {
		return false
	}
	b.tokens -= tokenUnit
	return true
}

// retryReserveTime is the time after a retry found no token during which only retries may withdraw. At the usual request
// rates, tokens for a few retries are deposited within it.
const retryReserveTime = time.Second

// WithdrawHedge takes one token for a hedge. It reports false when the budget is empty, closed, or reserved for retries.
func (b *Budget) WithdrawHedge(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now.Sub(b.retryStarvedAt) >= retryReserveTime && b.withdraw()
}

// WithdrawRetry takes one token for a retry. It reports false when the budget is empty or closed.
func (b *Budget) WithdrawRetry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.withdraw() {
		return true
	}
	b.retryStarvedAt = now
	return false
}

// Refund returns the token of an extra attempt that was never sent.
func (b *Budget) Refund() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+tokenUnit, b.limit)
}

// SetOverloaded closes the budget while the group is overloaded and opens it again afterwards. Deposits continue.
func (b *Budget) SetOverloaded(overloaded bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = overloaded
}

// Available returns the whole tokens left, 0 while closed.
func (b *Budget) Available() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return 0
	}
	return int(b.tokens / tokenUnit)
}
