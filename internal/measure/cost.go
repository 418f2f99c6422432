package measure

import (
	"runtime"
	"syscall"
	"time"
)

// cost is the processor time and the allocations of one operation in this process, garbage collection included.
type cost struct {
	cpu    time.Duration
	bytes  float64 // bytes allocated
	allocs float64 // number of allocations
}

// cpuTime returns the processor time, user and system, that the process has used so far. Wall time would include waits for
// processors that other processes use.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// measureCost runs fn, which performs count equal operations, and returns the cost of one operation.
func measureCost(count int, fn func()) cost {
	runtime.GC()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := cpuTime()
	fn()
	used := cpuTime() - start
	runtime.ReadMemStats(&after)
	n := max(count, 1)
	return cost{
		cpu:    used / time.Duration(n),
		bytes:  float64(after.TotalAlloc-before.TotalAlloc) / float64(n),
		allocs: float64(after.Mallocs-before.Mallocs) / float64(n),
	}
}

// measureRepeated calls fn once to fill caches, then count times, and returns the cost of one call.
func measureRepeated(count int, fn func()) cost {
	fn()
	return measureCost(count, func() {
		for range count {
			fn()
		}
	})
}

// addCost records the processor time and the allocations of one operation.
func (t *table) addCost(size int, name string, c cost) {
	t.add(size, name+": CPU", "us", micros(c.cpu))
	t.add(size, name+": allocated", "KB", c.bytes/1e3)
	t.add(size, name+": allocations", "", c.allocs)
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// liveBytes returns the memory in use by heap objects and stacks after a garbage collection.
func liveBytes() float64 {
	runtime.GC()
	runtime.GC() // the first one only queues finalizers
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// retainedBytes returns the memory that the result of create retains. Afterwards it passes the result to release, unless
// release is nil.
func retainedBytes[T any](create func() T, release func(T)) float64 {
	before := liveBytes()
	v := create()
	after := liveBytes()
	runtime.KeepAlive(v)
	if release != nil {
		release(v)
	}
	return after - before
}
