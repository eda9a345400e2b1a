package steering

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// provenResults are the results of attempts that have certainly not run.
var provenResults = []Result{ResultRejected, ResultWrongServer, ResultUnreachable, ResultNotSent}

// resultSequences returns all sequences of results of up to the given length, including results that the
// kernel does not know.
func resultSequences(length int) [][]Result {
	var list [][]Result
	if length > 1 {
		list = resultSequences(length - 1)
	}
	for _, sequence := range append([][]Result{nil}, list...) {
		if len(sequence) != length-1 {
			continue
		}
		for r := Result(0); r <= ResultCancelled+1; r++ {
			list = append(list, append(slices.Clone(sequence), r))
		}
	}
	return list
}

// Guards against requests that are reported as not run, or sent again although they must not be, when an
// attempt ended in a way that does not prove that it has not run.
func TestNotRunNeedsProofOfEachAttempt(t *testing.T) {
	for _, path := range []string{writePath, readPath} {
		for _, sequence := range resultSequences(3) {
			r := newHandoverRun()
			req, d := r.begin(path)
			proven := true
			var ended []Result
			for _, result := range sequence {
				if d.Server == nil {
					break
				}
				if !proven && path == writePath {
					t.Errorf("%s after %v: sent again, want no other attempt", path, ended)
				}
				r.now = r.now.Add(10 * time.Millisecond)
				d = r.EndAttempt(r.now, req, Attempt{Result: result, ClaimsNotRun: result == ResultServerError})
				ended, proven = append(ended, result), proven && slices.Contains(provenResults, result)
			}
			if d.Server == nil && d.Handover == nil && d.NotRun != proven {
				t.Errorf("%s after %v: reported as not run: got %t, want %t", path, ended, d.NotRun, proven)
			}
		}
	}
}

// Guards against a status that means "not run" and that a peer returns without proof, as proxies of
// an earlier version do for requests that have run.
func TestUnprovenStatusOfPeerIsNotReturned(t *testing.T) {
	for _, c := range []struct {
		path   string
		result HandoverResult
		want   string
	}{
		{writePath, HandoverResult{Result: ResultResponded, Server: "s1", ClaimsNotRun: true}, "may-have-run server-failed"},
		{writePath, HandoverResult{Result: ResultResponded, Server: "s1", ClaimsNotRun: true, ServerFailed: true}, "may-have-run server-failed"},
		{writePath, HandoverResult{Result: ResultResponded, Server: "s1", ClaimsNotRun: true, NotRun: true}, "may-have-run server-failed"},
		{writePath, HandoverResult{Result: ResultResponded, ClaimsNotRun: true}, "may-have-run server-failed"},
		{writePath, HandoverResult{Result: ResultResponded, ClaimsNotRun: true, Reason: ReasonOverload, NotRun: true}, "answer"},
		{writePath, HandoverResult{Result: ResultResponded, Server: "s1"}, "answer"},
		{readPath, HandoverResult{Result: ResultResponded, Server: "s1", ClaimsNotRun: true}, "answer"},
	} {
		t.Run(fmt.Sprintf("%s %+v", c.path, c.result), func(t *testing.T) {
			r := newHandoverRun(handoverPeers()...)
			r.cutOff(t)
			req, d := r.begin(c.path)
			expectHandover(t, d, "near")
			d = r.EndHandover(r.now, req, c.result)
			if got := describeDecision(d); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}
