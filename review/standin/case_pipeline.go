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
	// longAnswer is the length of an answer of a download in bytes; site files have 90,000 in the mean.
	longAnswer  = 64 << 10
	longWorkers = 6
	// Doses, at most those of the site file: garble with share = 0.35, x = 0.02 and for_s = 5.
	garbledWorkers = 2
	garbleShare    = 0.02
	garbleFor      = 5 * time.Second
	// pipelineCycles is how often the disruption comes, pipelineCycle the time from one to the next.
	pipelineCycles = 7
	pipelineCycle  = 10 * time.Second
)

// runPipelinedAnswers lets some workers of one service break off a few of their long answers, while
// clients send idempotent requests for another service behind the requests for these. It returns the
// violations of LOST.
func runPipelinedAnswers(r *record, trouble bool) ([]string, error) {
	d, err := newDeployment(r)
	if err != nil {
		return nil, err
	}
	defer d.stop()
	places := []place{{"pa-brancaccio", "palermo"}, {"pa-carini", "palermo"}}
	var garbling window
	for i := range longWorkers {
		err := d.addWorker(fmt.Sprintf("i-long-%d", i+1), "capitolati", places[i%len(places)].zone, 4, func(arrival) reply {
			return reply{
				runs: true, status: http.StatusOK, work: 60 * time.Millisecond, length: longAnswer,
				breaksOff: trouble && i < garbledWorkers && garbling.isOpen() && rand.Float64() < garbleShare,
			}
		})
		if err != nil {
			return nil, err
		}
	}
	for i := range 4 {
		err := d.addWorker(fmt.Sprintf("i-sound-%d", i+1), "graduatorie", places[i%len(places)].zone, 6, func(arrival) reply {
			return reply{runs: true, status: http.StatusOK, work: 40 * time.Millisecond}
		})
		if err != nil {
			return nil, err
		}
	}
	route := func(prefix, kind, service string, sticky bool) map[string]any {
		return map[string]any{
			"Host": host, "Prefix": prefix, "Kind": kind, "Timeout": "2000ms", "TargetLatency": "300ms", "Priority": 1, "Service": service, "MaxAttempts": 2, "Sticky": sticky, "AllowedRegions": []string{},
		}
	}
	d.configure(map[string]any{"r-spec": route("/spec/", "download", "capitolati", true), "r-list": route("/list/", "idempotent", "graduatorie", false)},
		map[string]any{"capitolati": serviceSettings(), "graduatorie": serviceSettings()})
	if err := d.addProxies(places); err != nil {
		return nil, err
	}
	var answers answerList
	wait := d.runClients(16, pipelineCycles*pipelineCycle, func(_ int, c *client) {
		answers.add(c.sendSeries(fmt.Sprint(rand.IntN(objects)), "/spec/7", "/list/7", "/list/8", "/list/9")...)
		time.Sleep(time.Duration(100+rand.IntN(200)) * time.Millisecond)
	})
	for range pipelineCycles {
		if trouble {
			garbling.open(r, "garble", garbleFor)
		}
		time.Sleep(pipelineCycle)
	}
	wait()
	return lostViolations(r, answers.list, d.workers[longWorkers:]), nil
}

// sendSeries sends idempotent requests one behind the other and reads their answers in order. The
// first request on a new connection is sent alone. object is the object that they concern.
func (c *client) sendSeries(object string, paths ...string) []answer {
	if c.conn == nil {
		if first := c.send(call{method: http.MethodGet, path: paths[0], object: object, deadline: 2 * time.Second}); first.err != nil || c.conn == nil {
			return []answer{first}
		}
	}
	var list []answer
	var text strings.Builder
	startedAt := time.Now()
	for _, path := range paths {
		a := answer{attempt: nextAttempt(), front: c.front, onKept: true}
		list = append(list, a)
		fmt.Fprintf(&text, "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Deadline-Ms: 2000\r\nCookie: X-Affinity-Key=%s\r\n\r\n", path, host, attemptHeader, a.attempt, object)
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
