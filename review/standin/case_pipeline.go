package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	// pipelineDepth is how many requests a client sends before the first is answered.
	pipelineDepth = 4
	// longAnswer is the length of the answers in bytes.
	longAnswer = 64 << 10
	// Doses, those of `fleetbench kinds`: garble with share = 0.5, x = 0.02 and for_s = 5.
	garbledWorkers = 2
	garbleShare    = 0.02
	garbleFor      = 5 * time.Second
	// pipelineCycles is how often the disruption comes, pipelineCycle the time from one to the next.
	pipelineCycles = 10
	pipelineCycle  = 7 * time.Second
)

// runPipelinedAnswers lets some workers break off a few of their long answers, while clients send
// several idempotent requests one behind the other. It returns the violations of LOST.
func runPipelinedAnswers(r *record, trouble bool) ([]string, error) {
	d, err := newDeployment(r)
	if err != nil {
		return nil, err
	}
	defer d.stop()
	places := []place{{"levant-a", "levant"}, {"levant-b", "levant"}}
	var garbling window
	for i := range 4 {
		garbles := trouble && i < garbledWorkers
		err := d.addWorker(fmt.Sprintf("i-%d", i+1), "roster-svc", places[i%len(places)].zone, 6, func(arrival) reply {
			return reply{
				runs: true, status: 200, work: 60 * time.Millisecond, length: longAnswer,
				breaksOff: garbles && garbling.isOpen() && rand.Float64() < garbleShare,
			}
		})
		if err != nil {
			return nil, err
		}
	}
	d.configure(map[string]any{"r-roster": map[string]any{
		"Host": host, "Prefix": "/roster/", "Kind": "idempotent", "Timeout": "2000ms", "TargetLatency": "300ms", "Priority": 1, "Service": "roster-svc", "MaxAttempts": 2, "Sticky": false, "AllowedRegions": []string{},
	}}, map[string]any{"roster-svc": serviceSettings()})
	if err := d.addProxies(places); err != nil {
		return nil, err
	}
	var answers answerList
	wait := d.runClients(12, pipelineCycles*pipelineCycle, func(_ int, c *client) {
		answers.add(c.sendSeries(pipelineDepth, "/roster/7")...)
		time.Sleep(time.Duration(100+rand.IntN(200)) * time.Millisecond)
	})
	for range pipelineCycles {
		if trouble {
			garbling.open(r, "garble", garbleFor)
		}
		time.Sleep(pipelineCycle)
	}
	wait()
	return lostViolations(r, answers.list, d.workers[garbledWorkers:]), nil
}

// sendSeries sends idempotent requests one behind the other and reads their answers in order. The
// first request on a new connection is sent alone.
func (c *client) sendSeries(n int, path string) []answer {
	if c.conn == nil {
		if first := c.send(call{method: http.MethodGet, path: path, deadline: 2 * time.Second}); first.err != nil || c.conn == nil {
			return []answer{first}
		}
	}
	var list []answer
	var text strings.Builder
	startedAt := time.Now()
	for range n {
		a := answer{attempt: nextAttempt(), front: c.front, onKept: true}
		list = append(list, a)
		fmt.Fprintf(&text, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Deadline-Ms: 2000\r\n\r\n", path, host, attemptHeader, a.attempt)
		c.record.writef("client %s sends %s (GET %s) behind the others", c.name, a.attempt, path)
	}
	_ = c.conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, err := io.WriteString(c.conn, text.String())
	for i := range list {
		a := &list[i]
		switch {
		case err != nil:
		case c.conn == nil:
			err = net.ErrClosed
		default:
			err = c.receive(a)
		}
		a.err, a.took = err, time.Since(startedAt)
		if err != nil {
			c.record.writef("client %s gets no answer to %s after %d ms: %v", c.name, a.attempt, a.took.Milliseconds(), err)
			continue
		}
		c.answered++
		c.record.writef("client %s gets %d %q to %s after %d ms", c.name, a.status, a.seal, a.attempt, a.took.Milliseconds())
	}
	if err != nil {
		c.close()
	}
	return list
}

// breakOff sends the first half of a response and closes the connection.
func breakOff(c net.Conn, text string) {
	w := bufio.NewWriter(c)
	_, _ = w.WriteString(text[:len(text)/2])
	_ = w.Flush()
	// The half that was sent arrives before the end of the connection does.
	time.Sleep(20 * time.Millisecond)
}
