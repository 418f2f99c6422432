// Command driver plays one case of the review: it starts the project's program as processes over stand-ins, disturbs them as the case says,
// and checks one rule. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 the disruption
// is left out.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record collects what happened, for record.txt.
type record struct {
	started time.Time

	mu    sync.Mutex // guards lines
	lines []recordLine
}

type recordLine struct {
	at   time.Duration
	text string
}

func (r *record) add(what, who, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Since(r.started)
	r.lines = append(r.lines, recordLine{at, fmt.Sprintf("%9.3f %-12s %s %s", at.Seconds(), what, who, detail)})
}

func (r *record) write(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	sort.SliceStable(r.lines, func(i, j int) bool { return r.lines[i].at < r.lines[j].at })
	var b strings.Builder
	for _, l := range r.lines {
		b.WriteString(strings.TrimRight(l.text, " ") + "\n")
	}
	return os.WriteFile(path, []byte(b.String()), 0o644)
}

// played is a case: it plays the deployment and returns what broke the rule, empty if it held.
type played func(d *deployment, program string, trouble bool) (broken string)

var cases = map[string]played{
	"foreign-entry":   playForeignEntry,
	"lost-service":    playLostService,
	"spoiled-stamp":   playSpoiledStamp,
	"crash-again":     playCrashAgain,
	"hot-request":     playHotRequest, // no folder of its own: see REPORT.md
	"big-watch":       playBigWatch,
	"unheard-refusal": playUnheardRefusal, // no folder of its own: see REPORT.md
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE PROGRAM RECORD")
		os.Exit(2)
	}
	runtime.LockOSThread() // the nodes end with the thread that starts them
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

// longest is the time after which a run is given up.
const longest = 110 * time.Second

// endOnSignal ends everything that was started when the driver is asked to end, or takes too long.
func endOnSignal(d *deployment) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(longest):
		}
		d.close()
		fmt.Println("the run was ended early")
		os.Exit(2)
	}()
}

func play(c played, program, recordPath string) (exit int) {
	trouble := os.Getenv("TROUBLE") != "0"
	rec := &record{started: time.Now()}
	rec.add("case", os.Args[1], fmt.Sprintf("trouble %t", trouble))
	d := newDeployment(rec)
	endOnSignal(d)
	defer func() {
		d.close()
		if value := recover(); value != nil {
			err, isError := value.(error)
			if !isError || !errors.Is(err, errCannotRun) {
				panic(value)
			}
			rec.add("result", "could not run:", err.Error())
			fmt.Println(err)
			exit = 2
		}
		if err := rec.write(recordPath); err != nil {
			fmt.Println(err)
			exit = 2
		}
	}()
	broken := c(d, program, trouble)
	d.checkAlive()
	if broken != "" {
		rec.add("result", "the rule was broken:", broken)
		fmt.Println("the rule was broken:", broken)
		return 1
	}
	rec.add("result", "the rule held", "")
	fmt.Println("the rule held")
	return 0
}
