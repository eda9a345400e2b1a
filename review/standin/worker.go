package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// worker is a stand-in of a worker: an HTTP/1.1 server that serves one request at a time on each
	// connection.
	worker struct {
		record  *record
		id      string
		service string
		zone    string
		slots   int
		address string
		// behave decides what the worker does with a request.
		behave func(arrival) reply

		// busy holds an entry for each slot in use. Requests beyond wait in turn.
		busy chan struct{}

		mu      sync.Mutex
		waiting int
	}

	// arrival is a request that has arrived at a worker.
	arrival struct {
		worker  *worker
		attempt string
		request *http.Request
		body    []byte
	}

	// reply is what a worker does with a request.
	reply struct {
		// work is how long it works before it responds. Without it, it does not run the request.
		work time.Duration
		runs bool
		// status is the response's status.
		status int
		// repeats is set if the response is sent once more, late: where the next response is expected.
		repeats bool
		// length is the length of the answer's body in bytes; zero selects a short one.
		length int
		// breaksOff is set if the connection ends in the middle of the answer.
		breaksOff bool
		// losesAnswer is set if the connection is reset in place of the answer.
		losesAnswer bool
		// noise is set if bytes that are no response are sent instead of the answer. It is cleared at
		// their end.
		noise *atomic.Bool
	}
)

func startWorker(r *record, id, service, zone string, slots int, behave func(arrival) reply) (*worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{record: r, id: id, service: service, zone: zone, slots: slots, address: listener.Addr().String(), behave: behave, busy: make(chan struct{}, slots)}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go w.serve(c)
		}
	}()
	return w, nil
}

// entry is what the worker registers in the store.
func (w *worker) entry(state string, sequence int) map[string]any {
	return map[string]any{
		"Service": w.service, "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": w.slots,
		"State": state, "ColdRemaining": "0ms", "Sequence": sequence,
	}
}

func (w *worker) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	late := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if late != "" {
			w.record.writef("worker %s sends the last response once more, as the next is expected", w.id)
			if _, err := io.WriteString(c, late); err != nil {
				return
			}
			late = ""
		}
		a := arrival{worker: w, attempt: request.Header.Get(attemptHeader), request: request, body: body}
		text, done := w.handle(a)
		if done.losesAnswer {
			w.record.writef("worker %s loses its answer to %s", w.id, a.attempt)
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			return
		}
		if done.noise != nil {
			w.record.writef("worker %s sends noise in answer to %s", w.id, a.attempt)
			sent := sendNoise(c)
			done.noise.Store(false)
			w.record.writef("worker %s has sent %d bytes of noise", w.id, sent)
			return
		}
		if done.breaksOff {
			w.record.writef("worker %s breaks off its answer to %s", w.id, a.attempt)
			breakOff(c, text)
			return
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
		if done.repeats {
			late = text
		}
	}
}

// handle runs or rejects a request and returns the response.
func (w *worker) handle(a arrival) (text string, r reply) {
	if expected := a.request.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		return w.response(a, http.StatusMisdirectedRequest, "X-Instance-Id: "+w.id+"\r\n", ""), r
	}
	if a.request.URL.Path == healthPath {
		return w.response(a, http.StatusOK, "X-Instance-Id: "+w.id+"\r\n", ""), r
	}
	r = w.behave(a)
	if !r.runs {
		w.record.addRejection(a.attempt, w.id)
		return w.response(a, r.status, "X-Not-Executed: 1\r\n", ""), r
	}
	w.addWaiting(1)
	w.busy <- struct{}{}
	w.addWaiting(-1)
	w.record.addRun(a.attempt, w.id)
	time.Sleep(r.work)
	<-w.busy
	w.record.writef("worker %s has run %s", w.id, a.attempt)
	return w.response(a, r.status, sealHeader+": "+sealOf(a.attempt)+"\r\n", bodyOf(a.attempt, r.length)), r
}

func (w *worker) response(a arrival, status int, header, body string) string {
	waiting := w.addWaiting(0)
	id := ""
	if a.attempt != "" {
		id = attemptHeader + ": " + a.attempt + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d %s\r\n%s%sX-Server-Load: %d,%d,%d\r\nKeep-Alive: timeout=10\r\nContent-Length: %s\r\n\r\n%s",
		status, http.StatusText(status), id, header, len(w.busy), waiting, w.slots, strconv.Itoa(len(body)), body)
}

// addWaiting counts a request that waits for a slot or no longer does, and returns how many wait.
func (w *worker) addWaiting(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting += n
	return w.waiting
}

func sealOf(attempt string) string { return "seal-" + attempt }

// bodyOf returns the body of the answer to an attempt, of the given length or short.
func bodyOf(attempt string, length int) string {
	line := "answer to " + attempt + "\n"
	return strings.Repeat(line, max(1, length/len(line)))
}
