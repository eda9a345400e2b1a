package main

import (
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// maxLength is how long a case may take.
const maxLength = 118 * time.Second

// processes are the processes that this one has started.
type processes struct {
	mu   sync.Mutex
	list []*os.Process
}

var running processes

func (p *processes) add(x *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = append(p.list, x)
}

func (p *processes) killAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.list {
		_ = x.Kill()
	}
}

// guard ends all processes and exits if this one is stopped or takes too long.
func (p *processes) guard(r *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case s := <-signals:
			r.writef("stopped by a signal: %v", s)
		case <-time.After(maxLength):
			r.writef("stopped after %s", maxLength)
		}
		p.killAll()
		os.Exit(exitNotRun)
	}()
}
