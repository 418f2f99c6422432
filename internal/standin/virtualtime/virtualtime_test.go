package virtualtime_test

import (
	"sync"
	"testing"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/standin/virtualtime"
)

const (
	goroutines = 600
	timers     = 300 // per goroutine; with 3,000 the race detector crashed in each of 6 runs on 6 processors
)

// Guards against crashes of the race detector in tests that run in virtual time. Many goroutines of one bubble receive from
// expired timers, so that the timers run on the threads of these goroutines.
func TestManyTimersOfOneBubble(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		var all sync.WaitGroup
		for range goroutines {
			all.Go(func() {
				for i := range timers {
					<-time.NewTimer(0).C
					if i%100 == 0 {
						time.Sleep(time.Millisecond)
					}
				}
			})
		}
		all.Wait()
	})
}
