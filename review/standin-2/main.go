// Command standin-2 plays the cases of the second review against real proxy processes. It holds the
// stand-ins of the platform's store, of workers and of clients.
//
// It exits with 1 if the rule of the case was broken, with 0 if it held and with 2 if the case could
// not run.
package main

import (
	"fmt"
	"io"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

type (
	// run is one play of a case.
	run struct {
		trouble  bool
		started  time.Time
		record   io.Writer
		store    *store
		machines []*machine

		mu sync.Mutex
	}

	// play plays a case and reports whether the rule was broken.
	play func(*run) (broken bool, err error)
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// longestRun is when a case that hangs is given up.
	longestRun = 110 * time.Second
)

func main() {
	os.Exit(playCase())
}

func playCase() int {
	plays := map[string]play{"quota": playQuota, "weights": playWeights, "memory": playMemory}
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		return exitNotRun
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }()
	r := &run{trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), record: file, store: newStore()}
	defer r.end()
	type outcome struct {
		broken bool
		err    error
	}
	done := make(chan outcome, 1)
	go func() {
		broken, err := plays[os.Args[1]](r)
		done <- outcome{broken, err}
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	var o outcome
	select {
	case o = <-done:
	case <-stop:
		o.err = fmt.Errorf("stopped by a signal")
	case <-time.After(longestRun):
		o.err = fmt.Errorf("not done within %s", longestRun)
	}
	switch {
	case o.err != nil:
		r.logf("not run: %s", o.err)
		return exitNotRun
	case o.broken:
		r.logf("result: the rule was broken")
		return exitBroken
	}
	r.logf("result: the rule held")
	return exitHeld
}

// logf writes a line of the record, with the time since the start.
func (r *run) logf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%7.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
	_, _ = io.WriteString(r.record, line)
	_, _ = io.WriteString(os.Stdout, line)
}

// at is the time of a moment since the start, in seconds.
func (r *run) at(moment time.Time) float64 { return moment.Sub(r.started).Seconds() }

// add adds a machine to those that end with the run.
func (r *run) add(m *machine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.machines = append(r.machines, m)
}

// end ends all processes and removes their files.
func (r *run) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.machines {
		m.kill()
	}
	if len(r.machines) > 0 && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.machines[0].deployment.dir)
	}
}
