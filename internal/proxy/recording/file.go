// Package recording writes the calls of a proxy's kernel to a file, from which
// they can be replayed.
package recording

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/kernel/errs"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	// flushInterval bounds what a process that is killed has not written yet.
	flushInterval = 200 * time.Millisecond
)

type (
	// File is the recording of one run of a process.
	File struct {
		mu        sync.Mutex
		file      *os.File
		buffer    *bufio.Writer
		encoder   *json.Encoder
		lastFlush time.Time
		ended     bool
	}
)

// Create makes a recording in a directory, named for the VM and the moment: a
// process that starts again must not write behind a call that was cut short.
func Create(directory, vm string, now time.Time) (*File, error) {
	path := filepath.Join(directory, vm+"-"+now.UTC().Format("20060102T150405.000")+".json")
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "recording")
	}
	f := &File{file: file, buffer: bufio.NewWriter(file)}
	f.encoder = json.NewEncoder(f.buffer)
	return f, nil
}

// Write adds a call. A recording with a gap cannot be replayed, so it waits for the
// disk, and ends for good at the first failure.
func (f *File) Write(c steering.Call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.ended {
		return
	}
	err := f.encoder.Encode(c)
	if now := time.Now(); err == nil && now.Sub(f.lastFlush) >= flushInterval {
		f.lastFlush = now
		err = f.buffer.Flush()
	}
	if err != nil {
		f.ended = true
		klog.ErrorS(err, "recording ended", "file", f.file.Name())
	}
}

// Close writes what is left.
func (f *File) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	err := f.buffer.Flush()
	f.ended = true
	return errs.Wrap(errors.Join(err, f.file.Close()), "recording")
}
