package load

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// Print writes reports as a table. Latencies are in milliseconds, as measured by the callers.
func Print(out io.Writer, reports []*Report) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "case\tpolicy\tgroup\toffered\trefused\tfailed\tp50\tp99\tp99.9\tcoverage\tcomplete\tin time\tcomplete in time\textra load\tcommands\tran\tnot run\tunknown\t")
	for _, r := range reports {
		policy := "full"
		if r.Baseline {
			policy = "baseline"
		}
		for _, g := range r.Groups {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\t%s\t%.4f\t%.2f%%\t%.2f%%\t%.2f%%\t%+.2f%%\t%d\t%d\t%d\t%d\t\n", r.Case, policy, g.Group, g.Offered, g.Refused, g.Failed,
				formatMillis(g.Quantile(0.5)), formatMillis(g.Quantile(0.99)), formatMillis(g.Quantile(0.999)), g.Coverage(), percent(g.Complete, g.Offered),
				100*g.InTimeShare(), 100*g.CompleteInTimeShare(), 100*r.ExtraLoad(g), g.Commands, g.CommandsRan, g.CommandsNotRun, g.CommandsUnknown)
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, r := range reports {
		if _, err := fmt.Fprintf(out, "%s: a target alone p50 %s p99 %s ms, most runs of one command %d, connections opened %d, most open connections at one target %v\n",
			r.Case, formatMillis(r.Direct.P50), formatMillis(r.Direct.P99), r.MaxRunsPerCommand, r.ConnectionsOpened, r.ConnectionsPeak); err != nil {
			return err
		}
	}
	return nil
}

func formatMillis(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond))
}

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}
