package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"
)

const (
	ruleRefused = "REFUSED"
	ruleTwice   = "TWICE"
	// Doses, at most those of the site file: srv_grey with how = "shed all", x = 0.55 and for_s = 8.5;
	// garble with how = "extra late", share = 0.6, x = 0.03 and for_s = 5.
	shedFor      = 8500 * time.Millisecond
	shedShare    = 0.25
	extraFor     = 5 * time.Second
	extraWorkers = 3
	extraShare   = 0.03
	repeatFor    = 80 * time.Second
	// The disruptions come again every 10 seconds. Those of extra responses begin extraDelay after those
	// of rejections.
	shedPause  = 1500 * time.Millisecond
	extraPause = 5 * time.Second
	extraDelay = time.Second
	objects    = 24
	// The requests to bidPath may be sent to 2 workers, as `fleetbench wire` has it, those to awardPath
	// to 3, as examples/trinacria.json has it.
	bidPath   = "/bid/"
	awardPath = "/award/"
)

// runRepeatedRejection lets workers reject a part of the requests without running them, and three of
// the five workers send a few of their responses once more, late. It returns the violations of REFUSED.
func runRepeatedRejection(r *record, trouble bool) ([]string, error) {
	d, err := newDeployment(r)
	if err != nil {
		return nil, err
	}
	defer d.stop()
	places := []place{{"pa-brancaccio", "palermo"}, {"pa-carini", "palermo"}}
	var shedding, extra window
	for i := range 5 {
		err := d.addWorker(fmt.Sprintf("i-%d", i+1), "offerte", places[i%len(places)].zone, 3, func(arrival) reply {
			repeats := i < extraWorkers && extra.isOpen() && rand.Float64() < extraShare
			if shedding.isOpen() && rand.Float64() < shedShare {
				return reply{status: http.StatusServiceUnavailable, repeats: repeats}
			}
			return reply{runs: true, status: http.StatusOK, work: 60 * time.Millisecond, repeats: repeats}
		})
		if err != nil {
			return nil, err
		}
	}
	route := func(prefix string, attempts int) map[string]any {
		return map[string]any{
			"Host": host, "Prefix": prefix, "Kind": "non_idempotent", "Timeout": "2000ms", "TargetLatency": "800ms", "Priority": 1, "Service": "offerte", "MaxAttempts": attempts, "Sticky": true, "AllowedRegions": []string{},
		}
	}
	d.configure(map[string]any{"r-bid": route(bidPath, 2), "r-award": route(awardPath, 3)}, map[string]any{"offerte": serviceSettings()})
	if err := d.addProxies(places); err != nil {
		return nil, err
	}
	var answers answerList
	wait := d.runClients(48, repeatFor, func(i int, c *client) {
		path := bidPath
		if i%4 == 3 {
			path = awardPath
		}
		q := call{method: http.MethodPost, path: path + "7", object: fmt.Sprint(i % objects), body: fmt.Sprintf("order %d of client %d", len(c.attempts), i), deadline: 6 * time.Second}
		a := c.send(q)
		answers.add(a)
		if after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); err == nil && a.status == http.StatusServiceUnavailable {
			// The answer promises that the request has not run, so the client sends the order again.
			time.Sleep(min(2*time.Second, time.Duration(after*float64(time.Second))))
			answers.add(c.send(q))
		}
		time.Sleep(time.Duration(200+rand.IntN(300)) * time.Millisecond)
	})
	if trouble {
		end := time.Now().Add(repeatFor)
		go shedding.openRepeatedly(r, "srv_grey (shed all)", shedFor, shedPause, end)
		go func() {
			time.Sleep(extraDelay)
			extra.openRepeatedly(r, "garble (extra late)", extraFor, extraPause, end)
		}()
	}
	wait()
	// What was answered may still run.
	time.Sleep(3 * time.Second)
	return violationsOf(r, ruleRefused, answers.list), nil
}

// violationsOf checks the answers to requests that may run at most once, and returns the violations of
// one rule. Those of the other are only recorded.
func violationsOf(r *record, rule string, answers []answer) []string {
	found := map[string][]string{}
	counts, runsOfOrder := map[int]int{}, map[string]int{}
	for _, a := range answers {
		counts[a.status]++
		runs := r.runsOf(a.attempt)
		runsOfOrder[a.order] += len(runs)
		if len(runs) > 1 {
			found[ruleTwice] = append(found[ruleTwice], fmt.Sprintf("TWICE: %s (%s) ran %d times, at %v", a.attempt, a.order, len(runs), runs))
		}
		if slices.Contains([]int{408, 421, 429, 503}, a.status) && len(runs) > 0 {
			found[ruleRefused] = append(found[ruleRefused], fmt.Sprintf("REFUSED: %s (%s) was answered %d and has run, at %v", a.attempt, a.order, a.status, runs))
		}
	}
	twice := 0
	for _, n := range runsOfOrder {
		if n > 1 {
			twice++
		}
	}
	r.writef("%d requests, answers by status (0: none): %v; orders that ran more than once: %d", len(answers), counts, twice)
	for other, texts := range found {
		for _, text := range texts {
			if other != rule {
				r.writef("besides, not counted: %s", text)
			}
		}
	}
	return found[rule]
}
