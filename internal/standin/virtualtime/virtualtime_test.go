package virtualtime_test

import (
	"sync"
	"testing"
	"time"

	"github.com/medlarshunt/medlarshunt/internal/standin/virtualtime"
)

const (
	goroutines = 600
	timers     = 300 // of each goroutine; on 6 processors the detector crashed in each of 6 runs with 3,000
)

// Guards against crashes of the race detector in tests that run in virtual time: many goroutines of one bubble receive from
// timers that have expired, so that the timers run on the threads of the goroutines.
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
