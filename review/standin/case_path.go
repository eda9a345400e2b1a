package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

const (
	// Doses, at most those of the site file: answer_lost with how = "reset", share = 0.6, x = 0.4 and
	// for_s = 4.
	losingWorkers = 3
	losingShare   = 0.1
	losingFor     = 4 * time.Second
	losingPause   = 4 * time.Second
	pathFor       = 40 * time.Second
	// The path of these orders begins with ordersPrefix, but not with listPrefix: %2F is no slash.
	ordersPrefix = "/bids/"
	listPrefix   = "/bids/open/"
	orderPath    = "/bids/open%2F7"
	plainPath    = "/bids/7"
)

// runEncodedSlash lets workers lose the answers to some requests that they have run, while clients send
// orders whose path has an encoded slash. It returns the violations of TWICE.
func runEncodedSlash(r *record, trouble bool) ([]string, error) {
	d, err := newDeployment(r)
	if err != nil {
		return nil, err
	}
	defer d.stop()
	places := []place{{"pa-brancaccio", "palermo"}, {"pa-carini", "palermo"}}
	var losing window
	for i := range 5 {
		err := d.addWorker(fmt.Sprintf("i-%d", i+1), "offerte", places[i%len(places)].zone, 3, func(arrival) reply {
			return reply{
				runs: true, status: http.StatusOK, work: 60 * time.Millisecond,
				losesAnswer: i < losingWorkers && losing.isOpen() && rand.Float64() < losingShare,
			}
		})
		if err != nil {
			return nil, err
		}
	}
	route := func(prefix, kind string) map[string]any {
		return map[string]any{
			"Host": host, "Prefix": prefix, "Kind": kind, "Timeout": "2000ms", "TargetLatency": "800ms", "Priority": 1, "Service": "offerte", "MaxAttempts": 2, "Sticky": false, "AllowedRegions": []string{},
		}
	}
	d.configure(map[string]any{"r-bid": route(ordersPrefix, "non_idempotent"), "r-list": route(listPrefix, "idempotent")}, map[string]any{"offerte": serviceSettings()})
	if err := d.addProxies(places); err != nil {
		return nil, err
	}
	var answers answerList
	wait := d.runClients(40, pathFor, func(i int, c *client) {
		q := call{method: http.MethodPost, path: orderPath, body: fmt.Sprintf("order %d of client %d", len(c.attempts), i), deadline: 6 * time.Second}
		if i%2 == 0 {
			q.path = plainPath
		}
		answers.add(c.send(q))
		time.Sleep(time.Duration(100+rand.IntN(150)) * time.Millisecond)
	})
	if trouble {
		go losing.openRepeatedly(r, "answer_lost (reset)", losingFor, losingPause, time.Now().Add(pathFor))
	}
	wait()
	return violationsOf(r, ruleTwice, answers.list), nil
}
