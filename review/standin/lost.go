package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
)

// lostAllowed is how many requests a machine may lose, as the rule LOST has it.
const lostAllowed = 3

// lostViolations lists the requests from kept connections that were passed on to one of the sound
// workers and whose connections ended without an answer, of each machine that lost more than the rule
// LOST allows. A request whose client gave up waiting is not counted: the machine did not close its
// connection.
func lostViolations(r *record, answers []answer, sound []*worker) []string {
	var names []string
	for _, w := range sound {
		names = append(names, w.id)
	}
	counts, lost := map[int]int{}, map[string][]string{}
	for _, a := range answers {
		counts[a.status]++
		runs := r.runsOf(a.attempt)
		isSound := len(runs) > 0 && !slices.ContainsFunc(runs, func(id string) bool { return !slices.Contains(names, id) })
		if a.err != nil && !errors.Is(a.err, os.ErrDeadlineExceeded) && a.onKept && isSound {
			lost[a.front] = append(lost[a.front], fmt.Sprintf("LOST: machine at %s passed %s on to %v and closed the connection without an answer, after %d ms", a.front, a.attempt, runs, a.took.Milliseconds()))
		}
	}
	r.writef("%d requests, answers by status (0: none): %v", len(answers), counts)
	var list []string
	for machine, texts := range lost {
		r.writef("machine at %s: %d requests were passed on to a worker that is always sound and lost; the rule allows %d", machine, len(texts), lostAllowed)
		if len(texts) > lostAllowed {
			list = append(list, texts...)
		}
	}
	return list
}
