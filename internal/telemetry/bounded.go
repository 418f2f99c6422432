package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

const (
	// logQueueLines is the maximum number of lines that wait for a slow reader of the output.
	logQueueLines = 4096
	// DefaultLogLinesPerSecond is the maximum number of lines per second that a process writes, and also the maximum burst. A
	// line costs about 10 µs of processor time.
	DefaultLogLinesPerSecond = 400
	// dropReportInterval is the interval between calls of ReportDropped, as stated in the line that it logs.
	dropReportInterval = time.Second
)

// BoundedOutput queues lines for a writer; its Write never blocks. Lines that exceed the rate or find the queue full are
// dropped and counted; ReportDropped logs their number. Warnings and errors are exempt from the rate.
type BoundedOutput struct {
	lines        chan []byte
	quit         chan struct{} // closed by Close; lines itself stays open, because Write may be called after Close
	done         chan struct{} // closed when the last line has been written
	out          io.Writer
	dropped      atomic.Uint64 // since the last ReportDropped
	droppedTotal *metrics.Counter

	mu             sync.Mutex // guards tokens and lastRefill
	linesPerSecond float64
	tokens         float64
	lastRefill     time.Time
}

// NewBoundedOutput returns an output that writes to out from its own goroutine until Close.
func NewBoundedOutput(out io.Writer, linesPerSecond float64, set *metrics.Set) *BoundedOutput {
	b := &BoundedOutput{
		lines: make(chan []byte, logQueueLines), quit: make(chan struct{}), done: make(chan struct{}), out: out,
		linesPerSecond: linesPerSecond, tokens: linesPerSecond, lastRefill: time.Now(),
		droppedTotal: set.GetOrCreateCounter("medlarshunt_log_lines_dropped_total"),
	}
	go b.run()
	return b
}

// Allow reports whether the rate allows one more line now, and counts that line against the rate.
func (b *BoundedOutput) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.linesPerSecond, b.tokens+now.Sub(b.lastRefill).Seconds()*b.linesPerSecond)
	b.lastRefill = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Write implements io.Writer. It never blocks and never fails.
func (b *BoundedOutput) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil // boundedFormatter has dropped the line and counted it
	}
	select {
	case <-b.quit:
		b.countDropped()
		return len(line), nil
	default:
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.countDropped()
	}
	return len(line), nil
}

func (b *BoundedOutput) countDropped() {
	b.dropped.Add(1)
	b.droppedTotal.Inc()
}

func (b *BoundedOutput) run() {
	defer close(b.done)
	for {
		select {
		case line := <-b.lines:
			_, _ = b.out.Write(line) // a failing output cannot be reported anywhere else
		case <-b.quit:
			b.flush()
			return
		}
	}
}

// flush writes the queued lines.
func (b *BoundedOutput) flush() {
	for {
		select {
		case line := <-b.lines:
			_, _ = b.out.Write(line) // as above
		default:
			return
		}
	}
}

// Close writes the queued lines, waiting at most for the timeout. Later lines are dropped. It must be called only once.
func (b *BoundedOutput) Close(timeout time.Duration) {
	close(b.quit)
	select {
	case <-b.done:
	case <-time.After(timeout):
	}
}

// boundedFormatter drops lines above the rate before they are formatted, which saves the cost of formatting.
type boundedFormatter struct {
	logrus.Formatter
	out *BoundedOutput
}

// Format implements logrus.Formatter.
func (f boundedFormatter) Format(e *logrus.Entry) ([]byte, error) {
	if e.Level > logrus.WarnLevel && !f.out.Allow(e.Time) {
		f.out.countDropped()
		return nil, nil
	}
	return f.Formatter.Format(e)
}

// NewBoundedLogger returns a logger that writes JSON lines to the output, limited to the output's rate.
func NewBoundedLogger(out *BoundedOutput, level string) (*logrus.Logger, error) {
	logger, err := NewLogger(out, level)
	if err != nil {
		return nil, err
	}
	logger.SetFormatter(boundedFormatter{logger.Formatter, out})
	return logger, nil
}

// ReportDropped logs the number of lines dropped since the previous call, if any. The owner of the output calls it every
// dropReportInterval.
func (b *BoundedOutput) ReportDropped(log *logrus.Entry) {
	if n := b.dropped.Swap(0); n > 0 {
		log.WithFields(logrus.Fields{"lines": n, "interval_ms": dropReportInterval.Milliseconds()}).Warn("log lines were dropped")
	}
}
