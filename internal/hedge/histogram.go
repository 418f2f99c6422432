package hedge

import (
	"math/bits"
	"time"
)

const (
	// unitShift sets the finest resolution: 2^13 ns, about 8 us, which is less than the shortest call between nodes.
	unitShift = 13
	// subBuckets per power of two limit the relative width of a bucket to 1/16.
	subBucketBits = 4
	subBuckets    = 1 << subBucketBits
	// octaves is the number of powers of two above the linear part. They reach 2^13 ns << 24, about 137 s, which is more than
	// any accepted time budget.
	octaves     = 20
	bucketCount = octaves*subBuckets + subBuckets
)

// bucketOf returns the index of the bucket that holds d. Durations out of range go to the first or last bucket.
func bucketOf(d time.Duration) int {
	if d < 0 {
		return 0
	}
	v := uint64(d) >> unitShift
	if v < subBuckets {
		return int(v)
	}
	exp := bits.Len64(v) - subBucketBits - 1
	i := exp<<subBucketBits + int(v>>exp)
	return min(i, bucketCount-1)
}

// bucketStart returns the lower edge of bucket i.
func bucketStart(i int) time.Duration {
	if i < subBuckets {
		return time.Duration(i) << unitShift
	}
	exp := i>>subBucketBits - 1
	return time.Duration(i-exp<<subBucketBits) << (exp + unitShift)
}
