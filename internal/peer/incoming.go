package peer

import (
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/medlarshunt/medlarshunt/internal/intake"
)

const (
	// messageCost is how many times its size a message occupies while it is checked, decoded and handled.
	messageCost = 4
	// handlerBytes is what the handling of a message occupies beside the message.
	handlerBytes = 8 << 10
	// ordinaryMessageBytes is the size up to which the only message of a connection is always handled, so that a node that
	// behaves is heard while others take all memory. It holds a heartbeat.
	ordinaryMessageBytes = readBufferBytes
	// shedTries is how often a message waits for memory, for shedPause each time.
	shedTries = 20
	shedPause = 10 * time.Millisecond
)

var errServerConnClosed = eris.New("connection of a peer is closed")

// incoming accounts for the messages of one connection: the one that is being read, and those that are handled. mu guards the
// fields below it.
type incoming struct {
	budget *intake.Budget
	limit  int    // of the cost of messages that are handled, beyond which no more are read; 0 for none
	close  func() // closes the connection
	shed   func(cost int) bool
	closed chan struct{} // closed with the connection
	room   chan struct{} // has an element after a message has been handled

	mu      sync.Mutex
	reading *intake.Account // nil while the message is small
	pending []handled       // oldest first
	cost    int             // of pending
}

// handled is a message that is being handled. account is nil for one that is always handled.
type handled struct {
	account *intake.Account
	cost    int
}

// awaitRoom waits until another message may be read.
func (i *incoming) awaitRoom() error {
	for i.isFull() {
		select {
		case <-i.room:
		case <-i.closed:
			return errServerConnClosed
		}
	}
	return nil
}

func (i *incoming) isFull() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.pending) > 0 && i.limit > 0 && i.cost >= i.limit || len(i.pending) >= maxRequestsPerConnection
}

// isOrdinary reports whether a message of that size is handled in any case. i.mu must be held.
func (i *incoming) isOrdinary(size int) bool {
	return size <= ordinaryMessageBytes && len(i.pending) == 0
}

// grow reserves memory for a message that is being read, of which size bytes have arrived.
func (i *incoming) grow(size int) error {
	i.mu.Lock()
	if i.isOrdinary(size) && i.reading == nil {
		i.mu.Unlock()
		return nil
	}
	if i.reading == nil {
		i.reading = i.budget.Open(i.close)
	}
	account := i.reading
	i.mu.Unlock()
	return i.reserve(account, messageCost*size)
}

// accept counts a complete message as handled until release is called.
func (i *incoming) accept(size int) error {
	i.mu.Lock()
	account := i.reading
	i.reading = nil
	next := handled{cost: messageCost*size + handlerBytes}
	ordinary := account == nil && i.isOrdinary(size)
	i.mu.Unlock()
	if !ordinary {
		if account == nil {
			account = i.budget.Open(i.close)
		}
		next.account = account
		err := i.reserve(account, next.cost)
		if err == nil {
			err = account.Complete()
		}
		if err != nil {
			account.Close()
			return err
		}
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	i.pending = append(i.pending, next)
	i.cost += next.cost
	return nil
}

// reserve reserves memory, for which connections whose messages occupy more are closed.
func (i *incoming) reserve(account *intake.Account, total int) error {
	var err error
	for range shedTries {
		if err = account.ReserveUpTo(total); !errors.Is(err, intake.ErrExhausted) || !i.shed(i.pendingCost()+total) {
			return err
		}
		select {
		case <-time.After(shedPause):
		case <-i.closed:
			return errServerConnClosed
		}
	}
	return err
}

func (i *incoming) pendingCost() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.cost
}

// release is called when a message has been handled. Messages may be handled in any order; the sum is right when all have been.
func (i *incoming) release() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.pending) == 0 {
		return
	}
	first := i.pending[0]
	i.pending = i.pending[1:]
	i.cost -= first.cost
	if first.account != nil {
		first.account.Close()
	}
	select {
	case i.room <- struct{}{}:
	default:
	}
}

// releaseAll is called when the connection has ended and all handlers have returned.
func (i *incoming) releaseAll() {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.reading != nil {
		i.reading.Close()
	}
	for _, h := range i.pending {
		if h.account != nil {
			h.account.Close()
		}
	}
	i.reading, i.pending, i.cost = nil, nil, 0
}
