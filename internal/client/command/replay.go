package command

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

type (
	// SteeringReplayArguments selects a recording.
	SteeringReplayArguments struct {
		File    string `arg:"positional,required" help:"recording written by gypsumquayd --record"`
		Request string `help:"show the server candidates for the request with this ID"`
	}
)

// run replays a recording and reports the decisions that differ from the recorded ones.
func (a *SteeringReplayArguments) run() (Result, error) {
	file, err := os.Open(a.File)
	if err != nil {
		return Result{}, usageError(err.Error())
	}
	defer func() { _ = file.Close() }()
	result, err := steering.ReplayCalls(file, a.Request)
	if err != nil {
		return Result{}, usageError(errors.Wrap(err, a.File).Error())
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%d calls, %d decisions, %d differ\n", result.Calls, result.Decisions, result.DifferenceCount)
	if result.Truncated {
		text.WriteString("the last call is cut short: the process was killed\n")
	}
	for _, d := range result.Differences {
		fmt.Fprintf(&text, "%s request %s: recorded %s, now %s\n", d.At.Format("15:04:05.000"), d.Request, decisionText(d.Recorded), decisionText(d.Now))
	}
	if len(result.Candidates) > 0 {
		fmt.Fprintf(&text, "%-12s %7s %-20s %6s %5s %5s %4s %6s %6s %8s %9s %12s\n", "AT", "ATTEMPT", "SERVER", "USABLE", "COLD", "WARM", "HOME", "LOAD", "SPEED", "REPORTED", "EXPECTED", "COST")
	}
	for _, w := range result.Candidates {
		mark := ""
		if w.Chosen {
			mark = " chosen"
		}
		fmt.Fprintf(&text, "%-12s %7d %-20s %6t %5t %5t %4d %6.1f %6.2f %8.2f %9s %12s%s\n", w.At.Format("15:04:05.000"), w.Attempt, w.Server,
			w.Usable, w.Cold, w.Warm, w.HomeRank, w.Load, w.Slowdown, w.WorkFactor, roundDuration(w.Expected), roundDuration(w.Cost), mark)
	}
	return Result{Text: text.String(), Data: result}, nil
}

func decisionText(decision steering.RecordedDecision) string {
	switch {
	case decision.Server != "":
		return "to " + decision.Server
	case decision.ReturnResponse:
		return "answered"
	}
	return string(decision.Reason)
}

// roundDuration rounds to 10 µs for display.
func roundDuration(d time.Duration) string { return d.Round(10 * time.Microsecond).String() }
