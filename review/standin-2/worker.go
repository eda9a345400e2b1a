package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

type (
	// worker is a stand-in of a backend server of one service. It runs a request for a fixed time.
	worker struct {
		id, service, zone string
		address           string
		slots             int
		work              time.Duration
		onRun             func(arrival)

		mu      sync.Mutex
		running int
	}

	// arrival is a request that a worker has begun to run.
	arrival struct {
		at                     time.Time
		id, worker, tenant     string
		method, target, digest string
	}
)

// startWorker starts a worker and registers it in the store.
func startWorker(s *store, w *worker) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.address = listener.Addr().String()
	server := &http.Server{Handler: http.HandlerFunc(w.serve), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	s.put("servers/"+w.id, map[string]any{
		"Service": w.service, "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": w.slots,
		"State": "ready", "ColdRemaining": "0ms", "Sequence": 1,
	})
	return nil
}

func (w *worker) serve(out http.ResponseWriter, r *http.Request) {
	at := time.Now()
	id := r.Header.Get("X-Attempt-Id")
	header := out.Header()
	if id != "" {
		header.Set("X-Attempt-Id", id)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		header.Set("X-Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		header.Set("X-Instance-Id", w.id)
		return
	}
	if id == "" {
		header.Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.mu.Lock()
	full := w.running >= w.slots
	if !full {
		w.running++
	}
	load := fmt.Sprintf("%d,0,%d", w.running, w.slots)
	w.mu.Unlock()
	header.Set("X-Server-Load", load)
	if full {
		header.Set("X-Not-Executed", "1")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.onRun(arrival{at: at, id: id, worker: w.id, tenant: r.Header.Get("X-Tenant-Name"), method: r.Method, target: r.RequestURI, digest: string(body)})
	time.Sleep(w.work)
	w.mu.Lock()
	w.running--
	w.mu.Unlock()
	header.Set("X-Response-Seal", "seal."+id)
	_, _ = io.WriteString(out, "work of "+id)
}
