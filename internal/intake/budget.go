// Package intake bounds what the clients of a process may occupy: the memory of the requests that they send and the connections
// that they hold. Clients that send more than they should, or never finish, cost their own requests and not the process.
package intake

import (
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

var (
	// ErrExhausted is returned by Reserve when the memory is taken by requests that are better kept.
	ErrExhausted = eris.New("no memory is left for requests")
	// ErrEvicted is returned to a request that has given way to others before it was complete.
	ErrEvicted = eris.New("the incomplete request gave way to others")
)

const (
	// smallRequestBytes is the size up to which a request may displace any incomplete one, and use the memory that larger ones
	// may not. Most requests are far smaller.
	smallRequestBytes = 32 << 10
	// smallRequestShare is the share of the capacity that only small requests may use.
	smallRequestShare = 0.125
	// minStall is how long an incomplete request must have received nothing before a large one displaces it. It is longer than
	// the retransmission of a lost packet takes.
	minStall = 300 * time.Millisecond
)

// Budget is the memory that the requests of a process may occupy together while they are read and served. It is safe for
// concurrent use.
//
// Load pattern: many clients send heads or bodies and stop before their end. Requests that arrive meanwhile displace the
// incomplete one that has held the most memory for the longest time without receiving a byte. Complete requests are never
// displaced; when they hold all of the memory, others are refused.
type Budget struct {
	capacity int64 // 0 for no limit
	now      func() time.Time

	mu         sync.Mutex // guards used, incomplete and the fields of the accounts
	used       int64
	incomplete map[*Account]struct{}
}

// NewBudget returns a budget of capacity bytes; 0 sets no limit. now returns the current time.
func NewBudget(capacity int64, now func() time.Time) *Budget {
	return &Budget{capacity: capacity, now: now, incomplete: map[*Account]struct{}{}}
}

// Used returns the reserved bytes.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Account holds what one request has reserved. It is safe for concurrent use.
type Account struct {
	budget  *Budget
	evict   func()        // ends the reading of the request
	evicted chan struct{} // closed when the request has to give way
	closed  chan struct{} // closed when the account has given everything back

	held     int64
	progress time.Time // when the request last received bytes
	isClosed bool
}

// Open returns an account of an incomplete request. evict is called, at most once, when the request has to give way; it makes
// the reader of the request fail, which then closes the account.
func (b *Budget) Open(evict func()) *Account {
	a := &Account{budget: b, evict: evict, evicted: make(chan struct{}), closed: make(chan struct{}), progress: b.now()}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.incomplete[a] = struct{}{}
	return a
}

// Reserve adds n bytes to the account of a request that has just received bytes. It displaces incomplete requests if it must,
// and waits until they have given their memory back.
func (a *Account) Reserve(n int) error {
	for {
		victim, err := a.budget.reserve(a, int64(n))
		if err != nil || victim == nil {
			return err
		}
		victim.evict()
		select {
		case <-victim.closed:
		case <-a.evicted:
			return ErrEvicted
		}
	}
}

// ReserveUpTo reserves what the account lacks to total bytes.
func (a *Account) ReserveUpTo(total int) error {
	a.budget.mu.Lock()
	missing := int64(total) - a.held
	a.budget.mu.Unlock()
	if missing <= 0 {
		a.Progress()
		return nil
	}
	return a.Reserve(int(missing))
}

// reserve adds n bytes to the account, or returns the account that has to give way first.
func (b *Budget) reserve(a *Account, n int64) (victim *Account, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	a.progress = now
	small := a.held+n <= smallRequestBytes
	switch {
	case a.isEvicted() || a.isClosed:
		return nil, ErrEvicted
	case b.capacity <= 0 || b.used+n <= b.available(a, small):
		a.held += n
		b.used += n
		return nil, nil
	}
	if victim = b.chooseVictim(a, small, now); victim == nil {
		return nil, ErrExhausted
	}
	delete(b.incomplete, victim)
	close(victim.evicted)
	return victim, nil
}

// available returns the memory that a request may use. A request that is alone may use all of it.
func (b *Budget) available(a *Account, small bool) int64 {
	if small || b.used == a.held {
		return b.capacity
	}
	return b.capacity - int64(smallRequestShare*float64(b.capacity))
}

// chooseVictim returns the incomplete request that has wasted the most memory and time, or nil.
func (b *Budget) chooseVictim(a *Account, small bool, now time.Time) (victim *Account) {
	var most float64
	for other := range b.incomplete {
		stall := now.Sub(other.progress)
		if other == a || other.held == 0 || !small && stall < minStall {
			continue
		}
		if waste := float64(other.held) * float64(stall+time.Millisecond); waste > most {
			victim, most = other, waste
		}
	}
	return victim
}

func (a *Account) isEvicted() bool {
	select {
	case <-a.evicted:
		return true
	default:
		return false
	}
}

// Return gives n reserved bytes back.
func (a *Account) Return(n int) {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	returned := min(int64(n), a.held)
	a.held -= returned
	a.budget.used -= returned
}

// Progress records that the request has received bytes for which it needs no more memory.
func (a *Account) Progress() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.progress = a.budget.now()
}

// Complete marks the request as complete, after which it does not have to give way. It returns ErrEvicted if it had to before.
func (a *Account) Complete() error {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.isEvicted() || a.isClosed {
		return ErrEvicted
	}
	delete(a.budget.incomplete, a)
	return nil
}

// isIncomplete reports whether the request may have to give way.
func (a *Account) isIncomplete() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	_, incomplete := a.budget.incomplete[a]
	return incomplete
}

// giveUp makes an incomplete request give way, so that it is not handled, and reports whether it was incomplete. The caller ends the
// reading of the request.
func (a *Account) giveUp() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if _, incomplete := a.budget.incomplete[a]; !incomplete {
		return false
	}
	delete(a.budget.incomplete, a)
	close(a.evicted)
	return true
}

// Close gives all reserved bytes back. The account cannot be used afterwards.
func (a *Account) Close() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if a.isClosed {
		return
	}
	a.budget.used -= a.held
	a.held, a.isClosed = 0, true
	delete(a.budget.incomplete, a)
	close(a.closed)
}
