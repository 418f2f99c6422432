package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	. "github.com/onsi/gomega"

	"github.com/medlarshunt/medlarshunt/internal/standin/virtualtime"
)

// blockedWriter blocks every Write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) { <-s.release; return len(p), nil }

// Guards against a process that blocks on a slow reader of its logs, and against dropped lines that are not counted.
func TestWriteDoesNotBlockOnSlowOutput(t *testing.T) {
	g := NewWithT(t)
	out := blockedWriter{make(chan struct{})}
	set := metrics.NewSet()
	b := NewBoundedOutput(out, 1e6, set)
	for range 2 * logQueueLines {
		_, err := b.Write([]byte("line\n"))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(set.GetOrCreateCounter("medlarshunt_log_lines_dropped_total").Get()).To(BeNumerically(">=", logQueueLines-1))
	close(out.release)
	b.Close(time.Minute)
}

// Guards against a flood of log lines: info lines are limited to the rate, warnings are still written, and one line reports
// the number of dropped lines.
func TestLogRateIsLimited(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var text bytes.Buffer
		b := NewBoundedOutput(&text, 10, metrics.NewSet())
		log, err := NewBoundedLogger(b, "info")
		g.Expect(err).NotTo(HaveOccurred())
		for range 100 {
			log.Info("plenty")
		}
		log.Warn("important")
		time.Sleep(time.Second)
		log.Info("later")
		b.ReportDropped(log.WithField("node", "n"))
		b.Close(time.Minute)
		g.Expect(strings.Count(text.String(), "plenty")).To(Equal(10))
		g.Expect(text.String()).To(ContainSubstring("important"))
		g.Expect(text.String()).To(ContainSubstring("later"))
		g.Expect(text.String()).To(ContainSubstring(`"lines":90`))
	})
}

// Guards against a panic when a request that ends during process shutdown writes its log line (soak seed 135).
func TestLinesAfterCloseAreDropped(t *testing.T) {
	g := NewWithT(t)
	var text bytes.Buffer
	b := NewBoundedOutput(&text, 10, metrics.NewSet())
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for range 1000 {
				_, _ = b.Write([]byte("line\n"))
			}
		})
	}
	b.Close(time.Minute)
	wg.Wait()
	_, err := b.Write([]byte("late\n"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(text.String()).NotTo(ContainSubstring("late"))
}
