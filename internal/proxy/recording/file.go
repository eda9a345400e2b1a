// Package recording writes the calls of a proxy's kernel to a file from which they can be replayed.
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
	// flushInterval limits how much of the recording is lost if the process is killed.
	flushInterval = 200 * time.Millisecond
)

type (
	// File is the recording of one run of the process.
	File struct {
		mu        sync.Mutex
		file      *os.File
		buffer    *bufio.Writer
		encoder   *json.Encoder
		lastFlush time.Time
		ended     bool
	}
)

// Create creates a recording in a directory. The file name contains the VM and the time, because a
// restarted process must not append to a recording whose last call may be truncated.
func Create(directory, vm string, now time.Time) (*File, error) {
	path := filepath.Join(directory, vm+"-"+now.UTC().Format("20060102T150405.000")+".json")
	file, err := os.OpenFile(path, os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "create recording")
	}
	f := &File{file: file, buffer: bufio.NewWriter(file)}
	f.encoder = json.NewEncoder(f.buffer)
	return f, nil
}

// Write appends a call. A recording with a gap cannot be replayed, so Write blocks on a slow disk
// instead of dropping calls, and the recording ends at the first failure.
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
		klog.ErrorS(err, "recording stopped after a failed write", "file", f.file.Name())
	}
}

// Close flushes and closes the file. Later calls of Write are ignored.
func (f *File) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	err := f.buffer.Flush()
	f.ended = true
	return errs.Wrap(errors.Join(err, f.file.Close()), "close recording")
}
