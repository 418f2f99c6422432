package panics

import (
	"fmt"
	"sync"
)

// BrokenState is the value of a panic that happened while a Mutex or an RWMutex was locked for writing.
type BrokenState struct{ Cause any }

// Error implements error.
func (b *BrokenState) Error() string {
	return fmt.Sprintf("shared state may be half-changed: %v", b.Cause)
}

// Mutex guards shared state that outlives a request. Unlock must be deferred directly: when it runs because of a panic, the
// panic goes on with a *BrokenState, upon which Handler stops the process.
type Mutex struct{ mu sync.Mutex }

// Lock locks the mutex.
func (m *Mutex) Lock() { m.mu.Lock() }

// Unlock unlocks the mutex.
func (m *Mutex) Unlock() {
	value := recover()
	m.mu.Unlock()
	if value != nil {
		panic(asBroken(value))
	}
}

// RWMutex is a Mutex that readers share. A panic of a reader breaks no state.
type RWMutex struct{ mu sync.RWMutex }

// Lock locks the mutex for writing.
func (m *RWMutex) Lock() { m.mu.Lock() }

// Unlock unlocks the mutex after writing. It must be deferred directly.
func (m *RWMutex) Unlock() {
	value := recover()
	m.mu.Unlock()
	if value != nil {
		panic(asBroken(value))
	}
}

// RLock locks the mutex for reading.
func (m *RWMutex) RLock() { m.mu.RLock() }

// RUnlock unlocks the mutex after reading.
func (m *RWMutex) RUnlock() { m.mu.RUnlock() }

func asBroken(value any) *BrokenState {
	if broken, ok := value.(*BrokenState); ok {
		return broken
	}
	return &BrokenState{Cause: value}
}
