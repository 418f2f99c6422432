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
	// logQueue is the number of lines that wait for a slow reader of the output.
	logQueue = 4096
	// DefaultLogRate is the number of lines a second that a process writes at most; a burst may be as large. A line costs
	// about 10 µs of processor time.
	DefaultLogRate = 400
	// dropReportInterval is how often the number of dropped lines is logged.
	dropReportInterval = time.Second
)

// BoundedOutput passes lines on to a writer without ever blocking. Lines above the rate, or that find the queue full, are
// dropped and counted; a line tells how many. Warnings and errors do not count against the rate.
type BoundedOutput struct {
	lines   chan []byte
	quit    chan struct{} // closed by Close; lines itself stays open, because writers may outlive the output
	done    chan struct{} // closed when the last line is written
	out     io.Writer
	dropped atomic.Uint64
	total   *metrics.Counter

	mu     sync.Mutex // guards tokens and filled
	rate   float64
	tokens float64
	filled time.Time
}

// NewBoundedOutput starts to write to out. Close ends it.
func NewBoundedOutput(out io.Writer, linesPerSecond float64, set *metrics.Set) *BoundedOutput {
	b := &BoundedOutput{
		lines: make(chan []byte, logQueue), quit: make(chan struct{}), done: make(chan struct{}), out: out, rate: linesPerSecond, tokens: linesPerSecond,
		filled: time.Now(), total: set.GetOrCreateCounter("medlarshunt_log_lines_dropped_total"),
	}
	go b.run()
	return b
}

// Allow takes one line from the rate.
func (b *BoundedOutput) Allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.rate, b.tokens+now.Sub(b.filled).Seconds()*b.rate)
	b.filled = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Write implements io.Writer. It never blocks and never fails.
func (b *BoundedOutput) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil // the formatter has dropped the line
	}
	select {
	case <-b.quit:
		b.drop()
		return len(line), nil
	default:
	}
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.drop()
	}
	return len(line), nil
}

func (b *BoundedOutput) drop() {
	b.dropped.Add(1)
	b.total.Inc()
}

func (b *BoundedOutput) run() {
	defer close(b.done)
	for {
		select {
		case line := <-b.lines:
			_, _ = b.out.Write(line) // there is no other place to report a broken output
		case <-b.quit:
			b.flush()
			return
		}
	}
}

// flush writes the lines that wait.
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

// Close writes the lines that wait, for at most the given time. Later lines are dropped. It is called once.
func (b *BoundedOutput) Close(within time.Duration) {
	close(b.quit)
	select {
	case <-b.done:
	case <-time.After(within):
	}
}

// boundedFormatter drops lines above the rate before they cost their formatting.
type boundedFormatter struct {
	logrus.Formatter
	out *BoundedOutput
}

// Format implements logrus.Formatter.
func (f boundedFormatter) Format(e *logrus.Entry) ([]byte, error) {
	if e.Level > logrus.WarnLevel && !f.out.Allow(e.Time) {
		f.out.drop()
		return nil, nil
	}
	return f.Formatter.Format(e)
}

// NewBoundedLogger returns a logger that writes JSON lines to the output at its rate.
func NewBoundedLogger(out *BoundedOutput, level string) (*logrus.Logger, error) {
	logger, err := NewLogger(out, level)
	if err != nil {
		return nil, err
	}
	logger.SetFormatter(boundedFormatter{logger.Formatter, out})
	return logger, nil
}

// ReportDropped logs the number of dropped lines, at most once per interval. The owner calls it at intervals.
func (b *BoundedOutput) ReportDropped(log *logrus.Entry) {
	if n := b.dropped.Swap(0); n > 0 {
		log.WithFields(logrus.Fields{"lines": n, "interval_ms": dropReportInterval.Milliseconds()}).Warn("log lines were dropped")
	}
}
