package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is what was sent, answered and run. It is written to a file as it happens.
type record struct {
	start time.Time
	file  *os.File

	mu   sync.Mutex
	runs map[string][]string
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file, runs: make(map[string][]string)}, nil
}

func (r *record) writef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

func (r *record) line(format string, args ...any) {
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) addRun(attempt, worker string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[attempt] = append(r.runs[attempt], worker)
	r.line("worker %s begins to run %s (%d)", worker, attempt, len(r.runs[attempt]))
}

func (r *record) addRejection(attempt, worker string) {
	r.writef("worker %s rejects %s and does not run it", worker, attempt)
}

// runsOf returns the workers that ran an attempt.
func (r *record) runsOf(attempt string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.runs[attempt]...)
}
