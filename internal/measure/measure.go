package measure

import (
	"context"
	"io"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
)

// Options are the options of a measurement run.
type Options struct {
	// Repeat is the number of measurements of each point.
	Repeat int
	// Count is the number of operations of one measurement. Costly measurements run a fraction of it.
	Count int
	// Window is the time over which running membership loops are measured. Settle is the time for which they run before.
	Window time.Duration
	Settle time.Duration
	// Small restricts each subject to its two smallest sizes, for tests.
	Small bool
	// Target is the address of a stand-in target in another process. If it is empty, the stand-in runs in this process and
	// the processor time of both ends is counted.
	Target string
}

// Validate checks the options.
func (o Options) Validate() error {
	if o.Repeat < 1 || o.Count < 1 || o.Window <= 0 || o.Settle < 0 {
		return eris.New("measure: repeat, count and window must be above 0")
	}
	return nil
}

// sizes returns the sizes to measure: all, or the first two if Small is set.
func (o Options) sizes(all ...int) []int {
	if o.Small {
		return all[:min(2, len(all))]
	}
	return all
}

// forEachSize calls fn Repeat times for each size. It stops at the first error.
func (o Options) forEachSize(ctx context.Context, sizes []int, fn func(size int) error) error {
	for _, size := range sizes {
		for range o.Repeat {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if err := fn(size); err != nil {
				return eris.Wrapf(err, "size %d", size)
			}
		}
	}
	return nil
}

// Subject is a named group of measurements.
type Subject struct {
	Name string
	Run  func(context.Context, Options) ([]Series, error)
}

// Subjects lists the subjects in the order in which they are measured.
var Subjects = []Subject{
	{"membership-nodes", measureMembershipNodes},
	{"membership-domains", measureMembershipDomains},
	{"owners", measureOwners},
	{"configuration-targets", measureConfigurationTargets},
	{"configuration-callers", measureConfigurationCallers},
	{"instances", measureInstanceList},
	{"entry", measureEntrySearch},
	{"relay", measureRelayLeg},
	{"relay-replicas", measureRelayReplicas},
	{"attempt", measureRelayAttempt},
	{"target", measureTargetCall},
	{"peer-hits", measurePeerHits},
	{"peer-parts", measurePeerParts},
	{"marks", measureLeavingMarks},
	{"memory", measureMemory},
}

// Names returns the names of all subjects.
func Names() []string {
	names := make([]string, len(Subjects))
	for i, s := range Subjects {
		names[i] = s.Name
	}
	return names
}

// Run measures the named subjects, or all if names is empty, and prints the result of each subject as soon as it is done.
func Run(ctx context.Context, w io.Writer, names []string, o Options) error {
	if err := o.Validate(); err != nil {
		return err
	}
	for _, n := range names {
		if !slices.Contains(Names(), n) {
			return eris.Errorf("measure: %q is not one of %v", n, Names())
		}
	}
	for _, s := range Subjects {
		if len(names) > 0 && !slices.Contains(names, s.Name) {
			continue
		}
		series, err := s.Run(ctx, o)
		if err != nil {
			return eris.Wrapf(err, "measure %s", s.Name)
		}
		if err := Print(w, series); err != nil {
			return eris.Wrap(err, "measure: print")
		}
	}
	return nil
}

func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}
