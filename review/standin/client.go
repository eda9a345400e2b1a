package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// client is a stand-in of a client. It keeps a connection open for many requests.
	client struct {
		record *record
		name   string
		// front is the proxy's address.
		front string

		conn   net.Conn
		reader *bufio.Reader
		// answered counts the answers on the open connection.
		answered int
		// attempts are the ids of all requests.
		attempts []string
	}

	// call is a request of a client.
	call struct {
		method, path, object, body string
		deadline                   time.Duration
	}

	// answer is how a client attempt ended. err is set if the connection ended without an answer, or
	// if nothing came within the deadline and a second.
	answer struct {
		attempt string
		// front is the proxy's address.
		front string
		// order is the body of the request.
		order  string
		status int
		seal   string
		body   string
		header http.Header
		// onKept is set if the connection had carried an answer before.
		onKept bool
		err    error
		took   time.Duration
	}
)

var attemptCount atomic.Int64

func nextAttempt() string { return fmt.Sprintf("%016x", 0x5a0000000000+attemptCount.Add(1)) }

// connect opens a connection unless one is open.
func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.front, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.reader, c.answered = conn, bufio.NewReader(conn), 0
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends a request and waits for its answer.
func (c *client) send(q call) answer {
	a := answer{attempt: nextAttempt(), front: c.front, order: q.body}
	c.attempts = append(c.attempts, a.attempt)
	startedAt := time.Now()
	if err := c.connect(); err != nil {
		a.err = err
		return a
	}
	a.onKept = c.answered > 0
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.path, host, attemptHeader, a.attempt, q.deadline.Milliseconds())
	if q.object != "" {
		text += "Cookie: X-Affinity-Key=" + q.object + "\r\n"
	}
	if q.body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	c.record.writef("client %s sends %s (%s %s) on a %s connection", c.name, a.attempt, q.method, q.path, map[bool]string{true: "kept", false: "new"}[a.onKept])
	_ = c.conn.SetDeadline(time.Now().Add(q.deadline + time.Second))
	if _, err := io.WriteString(c.conn, text+"\r\n"+q.body); err != nil {
		a.err = err
	} else {
		a.err = c.receive(&a)
	}
	a.took = time.Since(startedAt)
	if a.err != nil {
		c.record.writef("client %s gets no answer to %s after %d ms: %s", c.name, a.attempt, a.took.Milliseconds(), strings.ReplaceAll(a.err.Error(), "\n", " "))
		c.close()
		return a
	}
	c.answered++
	c.record.writef("client %s gets %d %q to %s after %d ms", c.name, a.status, a.seal, a.attempt, a.took.Milliseconds())
	return a
}

func (c *client) receive(a *answer) error {
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	a.status, a.seal, a.body, a.header = response.StatusCode, response.Header.Get(sealHeader), string(body), response.Header
	if response.Close {
		c.close()
	}
	return nil
}

// answerList collects the answers of all clients.
type answerList struct {
	mu   sync.Mutex
	list []answer
}

func (l *answerList) add(answers ...answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.list = append(l.list, answers...)
}

// runClients runs n clients, spread over the proxies, for some time. Each calls step again and again.
// The returned function waits for them.
func (d *deployment) runClients(n int, length time.Duration, step func(int, *client)) (wait func()) {
	var group sync.WaitGroup
	end := time.Now().Add(length)
	for i := range n {
		group.Go(func() {
			c := &client{record: d.record, name: fmt.Sprintf("c%d", i), front: d.proxies[i%len(d.proxies)].front}
			defer c.close()
			for time.Now().Before(end) {
				step(i, c)
				if c.conn == nil {
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	return group.Wait
}
