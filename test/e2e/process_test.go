package e2e_test

import (
	"bufio"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// startTimeout bounds the start of one process. It allows for a busy machine.
const startTimeout = 30 * time.Second

// binary is the path of the built command. TestMain sets it.
var binary string

// TestMain builds the command once for all tests.
func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "medlarshunt-e2e-")
	if err != nil {
		panic(err)
	}
	binary = filepath.Join(dir, "medlarshunt")
	build := exec.Command("go", "build", "-o", binary, "github.com/medlarshunt/medlarshunt/cmd/medlarshunt")
	build.Stdout, build.Stderr = os.Stdout, os.Stderr
	status := 1
	if build.Run() == nil {
		status = m.Run()
	}
	_ = os.RemoveAll(dir)
	os.Exit(status)
}

// process is one running command. mu guards lastLines.
type process struct {
	t    *testing.T
	name string
	cmd  *exec.Cmd
	done chan struct{} // closed when the process has ended
	// listening receives the fields of the log line that names the listen addresses.
	listening chan map[string]any

	mu        sync.Mutex
	lastLines []string // newest log lines; those of a node are logged when the test fails
}

// keptLogLines is the number of log lines kept per process.
const keptLogLines = 20

// startProcess starts the command and kills it at the end of the test.
func startProcess(t *testing.T, name string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, cmd: exec.Command(binary, args...), done: make(chan struct{}),
		listening: make(chan map[string]any, 1)}
	out, in := io.Pipe()
	p.cmd.Stdout, p.cmd.Stderr = in, in
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start %s: %v", name, err)
	}
	go p.readLog(out)
	go func() {
		_ = p.cmd.Wait()
		_ = in.Close()
		close(p.done)
	}()
	t.Cleanup(func() {
		p.signal(syscall.SIGKILL)
		<-p.done
		if t.Failed() && args[0] == "node" {
			p.mu.Lock()
			defer p.mu.Unlock()
			for _, line := range p.lastLines {
				t.Logf("%s: %s", name, line)
			}
		}
	})
	return p
}

// readLog reads the log of the process until it ends.
func (p *process) readLog(out io.Reader) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		p.mu.Lock()
		p.lastLines = append(p.lastLines, lines.Text())
		p.lastLines = p.lastLines[max(0, len(p.lastLines)-keptLogLines):]
		p.mu.Unlock()
		var fields map[string]any
		if json.Unmarshal(lines.Bytes(), &fields) != nil {
			continue
		}
		if msg := fields["msg"]; msg == "listening" || msg == "node listens" {
			select {
			case p.listening <- fields:
			default:
			}
		}
	}
}

// waitForAddresses waits for the log line that names the listen addresses and returns the named fields of it.
func (p *process) waitForAddresses(names ...string) []string {
	p.t.Helper()
	select {
	case fields := <-p.listening:
		values := make([]string, len(names))
		for i, name := range names {
			values[i], _ = fields[name].(string)
		}
		return values
	case <-p.done:
		p.mu.Lock()
		defer p.mu.Unlock()
		p.t.Fatalf("%s ended before it listened: %v", p.name, p.lastLines)
	case <-time.After(startTimeout):
		p.t.Fatalf("%s did not listen within %s", p.name, startTimeout)
	}
	return nil
}

// signal sends a signal to the process unless it has ended.
func (p *process) signal(s syscall.Signal) {
	select {
	case <-p.done:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// kill ends the process with SIGKILL.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// stop ends the process gracefully with SIGTERM and returns its exit status.
func (p *process) stop() int {
	p.signal(syscall.SIGTERM)
	<-p.done
	return p.cmd.ProcessState.ExitCode()
}
