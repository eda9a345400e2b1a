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
	// SteeringLossesArguments names what to count.
	SteeringLossesArguments struct {
		Files []string `arg:"positional" help:"log files of proxies, in any order; without any, the proxies are asked for what they keep"`
		Plot  string   `help:"draw the losses of each second into this file, such as losses.svg"`
		Most  int      `default:"12" help:"rows of each list"`
	}

	// LossesAnswer is what losses prints as JSON.
	LossesAnswer struct {
		losses.Table
		// Skipped counts the lines that could not be read.
		Skipped    int          `json:"skipped-lines,omitempty"`
		Unanswered []Unanswered `json:"unanswered,omitempty"`
	}
)

func (a *SteeringLossesArguments) run(s *session, c *steeringhttp.Client) (Result, error) {
	if a.Most < 1 {
		return Result{}, usageError("--most: must be at least 1")
	}
	counter := losses.NewCounter()
	var answer LossesAnswer
	var err error
	if len(a.Files) > 0 {
		answer.Skipped, err = readLogs(counter, a.Files)
	} else {
		answer.Unanswered, err = askLosses(s, c, counter)
	}
	if err != nil {
		return Result{}, err
	}
	answer.Table = counter.Table()
	if a.Plot != "" {
		if err := answer.Plot(a.Plot); err != nil {
			return Result{}, usageError("--plot: " + err.Error())
		}
	}
	return Result{Text: a.text(answer), Data: answer}, nil
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

// askLosses counts what the proxies keep: their last few thousand events each.
func askLosses(s *session, c *steeringhttp.Client, counter *losses.Counter) ([]Unanswered, error) {
	answers, err := ask(s, c, func(ctx context.Context, proxy netip.AddrPort) ([]steeringhttp.Event, error) {
		return c.Events(ctx, proxy, "")
	})
	if err != nil {
		return nil, err
	}
	var unanswered []Unanswered
	for _, a := range answers {
		if a.Error != "" {
			unanswered = append(unanswered, Unanswered{Proxy: a.Proxy.Name, Error: a.Error})
		}
		for _, e := range a.Value {
			if e.Kind != string(steering.EventRequestEnded) {
				continue
			}
			counter.Add(losses.Ended{
				At: e.At, Request: e.Request, Route: e.Route, Region: a.Proxy.Region, Outcome: e.Outcome, Reason: e.Reason,
				Cause: e.Cause, State: e.ServerState, Took: losses.ParseSpan(e.Duration), Target: losses.ParseSpan(e.Target),
			})
		}
	}
	return unanswered, nil
}

func (a *SteeringLossesArguments) text(answer LossesAnswer) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%d requests lost\n", answer.Lost)
	for _, u := range answer.Unanswered {
		fmt.Fprintf(&text, "%s did not answer: %s\n", u.Proxy, u.Error)
	}
	if answer.Skipped > 0 {
		fmt.Fprintf(&text, "%d lines could not be read\n", answer.Skipped)
	}
	for _, list := range []struct {
		title string
		part  func(losses.Key) string
	}{
		{"WHY", func(k losses.Key) string { return k.Why }},
		{"ROUTE", func(k losses.Key) string { return k.Route }},
		{"REGION OF THE PROXY", func(k losses.Key) string { return k.Region }},
		{"SERVER", func(k losses.Key) string { return k.State }},
	} {
		fmt.Fprintf(&text, "\n%8s  %-8s %s\n", "COUNT", "LOSS", list.title)
		rows := answer.Sum(list.part)
		for _, r := range rows[:min(len(rows), a.Most)] {
			fmt.Fprintf(&text, "%8d  %-8s %s\n", r.Count, r.Kind, r.Why)
		}
	}
	fmt.Fprintf(&text, "\n%-10s %8s %8s %8s %8s\n", "SECOND", losses.Late, losses.Refused, losses.Failed, losses.Left)
	for _, s := range answer.Seconds {
		fmt.Fprintf(&text, "%-10s %8d %8d %8d %8d\n", s.At.Format("15:04:05"), s.Counts[losses.Late],
			s.Counts[losses.Refused], s.Counts[losses.Failed], s.Counts[losses.Left])
	}
	return text.String()
}
