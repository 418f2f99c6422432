// Command review-2 runs one case of the second review: it starts the nodes as the deploy file says, with stand-ins for the store,
// the backends and the clients on loopback. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	held       = 0
	broken     = 1
	couldntRun = 2
	// runLimit ends a case that takes longer than is allowed.
	runLimit = 110 * time.Second
)

// caseFunc plays a case, with the disruption if trouble is set, and returns what broke the rule.
type caseFunc func(w *world, trouble bool) (violations []string, err error)

var cases = map[string]caseFunc{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(couldntRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	w, err := newWorld(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldntRun
	}
	defer w.close()
	type result struct {
		violations []string
		err        error
	}
	done := make(chan result, 1)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		v, err := cases[name](w, os.Getenv("TROUBLE") != "0")
		done <- result{v, err}
	}()
	var res result
	select {
	case res = <-done:
	case <-stop:
		res.err = fmt.Errorf("interrupted")
	case <-time.After(runLimit):
		res.err = fmt.Errorf("not done after %s", runLimit)
	}
	if res.err != nil {
		w.record.line("the case couldn't run: %v", res.err)
		fmt.Println("couldn't run:", res.err)
		return couldntRun
	}
	for _, v := range res.violations {
		w.record.line("BROKEN: %s", v)
	}
	w.record.line("%d violations", len(res.violations))
	fmt.Printf("%d violations\n", len(res.violations))
	if len(res.violations) > 0 {
		fmt.Println(res.violations[0])
		return broken
	}
	return held
}
