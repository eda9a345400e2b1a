package command

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/adapter/steeringhttp"
	"github.com/gypsumquay/gypsumquay/internal/client/losses"
	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

type (
	// SteeringLossesArguments selects the source and the output of losses.
	SteeringLossesArguments struct {
		Files []string `arg:"positional" help:"log files of proxies, in any order; without files, the events retained by the proxies are used"`
		Plot  string   `help:"plot the losses per second to this file, such as losses.svg"`
		Most  int      `default:"12" help:"maximum rows of each list"`
	}

	// LossesOutput is the JSON output of steering losses.
	LossesOutput struct {
		losses.Table
		// Skipped counts the log lines that could not be parsed.
		Skipped    int          `json:"skipped-lines,omitempty"`
		Unanswered []ProxyError `json:"unanswered,omitempty"`
	}
)

func (a *SteeringLossesArguments) run(s *session, c *steeringhttp.Client) (Result, error) {
	if a.Most < 1 {
		return Result{}, usageError("--most: must be at least 1")
	}
	counter := losses.NewCounter()
	var output LossesOutput
	var err error
	if len(a.Files) > 0 {
		output.Skipped, err = readLogs(counter, a.Files)
	} else {
		output.Unanswered, err = queryLosses(s, c, counter)
	}
	if err != nil {
		return Result{}, err
	}
	output.Table = counter.Table()
	if a.Plot != "" {
		if err := output.Plot(a.Plot); err != nil {
			return Result{}, usageError("--plot: " + err.Error())
		}
	}
	return Result{Text: a.text(output), Data: output}, nil
}

func readLogs(counter *losses.Counter, files []string) (skipped int, err error) {
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return 0, usageError(err.Error())
		}
		n, err := counter.Read(file)
		_ = file.Close()
		if err != nil {
			return 0, usageError(errors.Wrap(err, name).Error())
		}
		skipped += n
	}
	return skipped, nil
}

// queryLosses counts the losses among the events that the proxies retain, the last few thousand of
// each.
func queryLosses(s *session, c *steeringhttp.Client, counter *losses.Counter) ([]ProxyError, error) {
	responses, err := queryAll(s, c, func(ctx context.Context, proxy netip.AddrPort) ([]steeringhttp.Event, error) {
		return c.Events(ctx, proxy, "")
	})
	if err != nil {
		return nil, err
	}
	var failed []ProxyError
	for _, response := range responses {
		if response.Error != "" {
			failed = append(failed, ProxyError{Proxy: response.Proxy.Name, Error: response.Error})
		}
		for _, e := range response.Value {
			if e.Kind != string(steering.EventRequestEnded) {
				continue
			}
			counter.Add(losses.EndedRequest{
				At: e.At, Request: e.Request, Route: e.Route, Region: response.Proxy.Region, Outcome: e.Outcome, Reason: e.Reason,
				Cause: e.Cause, State: e.ServerState, Took: losses.ParseDuration(e.Duration), Target: losses.ParseDuration(e.Target),
			})
		}
	}
	return failed, nil
}

func (a *SteeringLossesArguments) text(output LossesOutput) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d requests lost\n", output.Lost)
	for _, u := range output.Unanswered {
		fmt.Fprintf(&text, "%s did not answer: %s\n", u.Proxy, u.Error)
	}
	if output.Skipped > 0 {
		fmt.Fprintf(&text, "%d lines could not be read\n", output.Skipped)
	}
	for _, list := range []struct {
		title string
		part  func(losses.Key) string
	}{
		{"WHY", func(k losses.Key) string { return k.Cause }},
		{"ROUTE", func(k losses.Key) string { return k.Route }},
		{"REGION OF THE PROXY", func(k losses.Key) string { return k.Region }},
		{"SERVER", func(k losses.Key) string { return k.State }},
	} {
		fmt.Fprintf(&text, "\n%8s  %-8s %s\n", "COUNT", "LOSS", list.title)
		rows := output.SumBy(list.part)
		for _, r := range rows[:min(len(rows), a.Most)] {
			fmt.Fprintf(&text, "%8d  %-8s %s\n", r.Count, r.Kind, r.Cause)
		}
	}
	fmt.Fprintf(&text, "\n%-10s %8s %8s %8s %8s\n", "SECOND", losses.Late, losses.Rejected, losses.Failed, losses.Abandoned)
	for _, s := range output.Seconds {
		fmt.Fprintf(&text, "%-10s %8d %8d %8d %8d\n", s.At.Format("15:04:05"), s.Counts[losses.Late],
			s.Counts[losses.Rejected], s.Counts[losses.Failed], s.Counts[losses.Abandoned])
	}
	return text.String()
}
