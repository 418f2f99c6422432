// Package crowd runs many clients of one address that do not behave: they exceed limits, never finish a request, or send without
// end. It also reads from the system what a process uses meanwhile.
package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// IOTimeout bounds a dial, or a write that makes no progress, of a member.
	IOTimeout = 5 * time.Second
	// Stay is how long a crowd is there while a process is checked.
	Stay = 3 * time.Second
	// EndlessBytes is where a member that sends without end gives up.
	EndlessBytes = 2 << 20
	// ReservedFDs are the descriptors of a process that sockets may not use.
	ReservedFDs = 200
	// rounds is how often a member connects again after its connection was closed.
	rounds = 3
)

// Behaviour writes what a member sends on one connection and returns when it sends no more. n is the number of the member.
type Behaviour func(w io.Writer, n int)

// Start starts a crowd of the given size and returns when each member has sent what it sends or was cut off. The members keep
// their connections open until the test ends, and connect again a few times when the server closes them.
func Start(t testing.TB, address string, size int, behave Behaviour) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var sent sync.WaitGroup
	sent.Add(size)
	done := run(ctx, address, size, behave, sent.Done)
	t.Cleanup(func() { cancel(); done.Wait() })
	sent.Wait()
}

// Run runs a crowd of the given size until ctx ends.
func Run(ctx context.Context, address string, size int, behave Behaviour) {
	run(ctx, address, size, behave, func() {}).Wait()
}

// run starts a crowd. sent is called when a member has sent what it sends, or was cut off, for the first time.
func run(ctx context.Context, address string, size int, behave Behaviour, sent func()) *sync.WaitGroup {
	var done sync.WaitGroup
	for n := range size {
		done.Go(func() {
			sentOnce := sync.OnceFunc(sent)
			defer sentOnce()
			for range rounds {
				connect(ctx, address, func(w io.Writer) { behave(w, n) }, sentOnce)
			}
			<-ctx.Done()
		})
	}
	return &done
}

// connect opens a connection, sends on it and returns when the server has closed it or ctx has ended.
func connect(ctx context.Context, address string, send func(io.Writer), sent func()) {
	defer sent()
	if ctx.Err() != nil {
		return
	}
	conn, err := net.DialTimeout("tcp", address, IOTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	send(progressWriter{conn})
	sent()
	_, _ = io.Copy(io.Discard, conn) // until the server or the test closes the connection
}

// progressWriter gives up on a write that makes no progress.
type progressWriter struct{ net.Conn }

// Write implements io.Writer.
func (w progressWriter) Write(p []byte) (int, error) {
	if err := w.SetWriteDeadline(time.Now().Add(IOTimeout)); err != nil {
		return 0, err
	}
	return w.Conn.Write(p)
}

// Write writes parts until one fails.
func Write(w io.Writer, parts ...[]byte) {
	for _, part := range parts {
		if _, err := w.Write(part); err != nil {
			return
		}
	}
}

// Repeat returns parts that together have the given number of bytes.
func Repeat(part []byte, total int) (parts [][]byte) {
	for total > 0 {
		n := min(total, len(part))
		parts = append(parts, part[:n])
		total -= n
	}
	return parts
}

// ShortLines returns header lines with different names and no values, in at most size bytes.
func ShortLines(size int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len()+len("a00000:\r\n") <= size; i++ {
		fmt.Fprintf(&b, "a%x:\r\n", i)
	}
	return b.Bytes()
}

// EmptyLines sends empty lines and no request.
func EmptyLines(w io.Writer, _ int) {
	Write(w, Repeat(bytes.Repeat([]byte("\r\n"), 2048), EndlessBytes)...)
}

// SendNothing leaves the connection idle.
func SendNothing(io.Writer, int) {}

// PeakMemoryMB returns the largest resident memory that a process has had. It fails the test if the process has ended.
func PeakMemoryMB(t testing.TB, pid int) float64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatalf("the process has ended: %v", err)
	}
	for line := range strings.Lines(string(status)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "VmHWM:" {
			kb, err := strconv.Atoi(fields[1])
			if err != nil {
				t.Fatalf("peak memory: %v", err)
			}
			return float64(kb) / 1024
		}
	}
	t.Fatalf("the process has ended: it uses no memory")
	return 0
}

// OpenSockets returns the number of sockets that a process has open. It fails the test if the process has ended.
func OpenSockets(t testing.TB, pid int) (n int) {
	t.Helper()
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		t.Fatalf("the process has ended: %v", err)
	}
	for _, e := range entries {
		if link, err := os.Readlink(filepath.Join(dir, e.Name())); err == nil && strings.HasPrefix(link, "socket:") {
			n++
		}
	}
	return n
}
