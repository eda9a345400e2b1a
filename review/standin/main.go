// Command standin plays the cases of the review: it starts the store, workers, clients and the
// project's own proxies, disturbs them, and checks what clients and workers have seen.
package main

import (
	"fmt"
	"os"
)

// Exit codes: the rule held, was broken, or the case could not run.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

var cases = map[string]func(*record, bool) ([]string, error){
	"repeat":   runRepeatedRejection,
	"noise":    runNoise,
	"path":     runEncodedSlash,
	"pipeline": runPipelinedAnswers,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitNotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	running.guard(r)
	trouble := os.Getenv("TROUBLE") != "0"
	r.writef("case %s, trouble %t", os.Args[1], trouble)
	violations, err := cases[os.Args[1]](r, trouble)
	if err != nil {
		r.writef("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for _, v := range violations {
		r.writef("%s", v)
		fmt.Println(v)
	}
	r.writef("violations: %d", len(violations))
	fmt.Println("violations:", len(violations))
	if len(violations) > 0 {
		return exitBroken
	}
	return exitHeld
}
