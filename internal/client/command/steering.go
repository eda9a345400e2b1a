package command

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/adapter/operatorhttp"
	"github.com/gypsumquay/gypsumquay/internal/adapter/steeringhttp"
)

const (
	// maxConcurrentQueries limits the proxies that are queried concurrently.
	maxConcurrentQueries = 64
	// queryTimeout limits the time for the queries to all proxies. Those that have not responded
	// then are listed.
	queryTimeout = 20 * time.Second
)

type (
	// SteeringArguments holds the subcommands for proxies on the platform.
	SteeringArguments struct {
		Status   *SteeringStatusArguments   `arg:"subcommand:status" help:"live proxies, versions in force, age of the data from the store"`
		Servers  *SteeringServersArguments  `arg:"subcommand:servers" help:"backend servers as one proxy sees them"`
		Routes   *SteeringRoutesArguments   `arg:"subcommand:routes" help:"routes in force at one proxy"`
		Accounts *SteeringAccountsArguments `arg:"subcommand:accounts" help:"client accounts, their limits and their usage over all proxies"`
		Signals  *SteeringSignalsArguments  `arg:"subcommand:signals" help:"backend servers that signal a limit, a pause or a drain, over all proxies"`
		Explain  *SteeringExplainArguments  `arg:"subcommand:explain" help:"all decisions about a request, over all proxies"`
		Events   *SteeringEventsArguments   `arg:"subcommand:events" help:"merged decisions and changes of all proxies"`
		Losses   *SteeringLossesArguments   `arg:"subcommand:losses" help:"late, rejected and failed requests by cause, route, region, server state and time"`
		Replay   *SteeringReplayArguments   `arg:"subcommand:replay" help:"replay a recording of a proxy with a new kernel and compare the decisions"`
	}

	// SteeringStatusArguments has no fields.
	SteeringStatusArguments struct{}

	// SteeringServersArguments selects backend servers.
	SteeringServersArguments struct {
		Service string `help:"only backend servers of this service"`
	}

	// SteeringRoutesArguments selects routes.
	SteeringRoutesArguments struct {
		Host string `help:"only routes of this host"`
	}

	// SteeringExplainArguments selects a request.
	SteeringExplainArguments struct {
		Request string `arg:"positional,required" help:"the request ID"`
	}

	// SteeringEventsArguments filters events.
	SteeringEventsArguments struct {
		Kind   string `help:"only this kind"`
		Server string `help:"only this backend server"`
	}

	// EventsOutput is the JSON output of steering events and steering explain: the events in order
	// of time, and the proxies that did not respond, whose events are missing.
	EventsOutput struct {
		Events     []steeringhttp.Event `json:"events"`
		Unanswered []ProxyError         `json:"unanswered,omitempty"`
	}

	// ProxyError is a proxy that did not respond and the reason.
	ProxyError struct {
		Proxy string `json:"proxy"`
		Error string `json:"error"`
	}

	// proxyResponse is the response of one proxy, or the error if it did not respond.
	proxyResponse[T any] struct {
		Proxy steeringhttp.Proxy `json:"proxy"`
		Value T                  `json:"answer"`
		Error string             `json:"error,omitempty"`
	}
)

func (a *SteeringArguments) run(s *session) (Result, error) {
	client := steeringhttp.NewClient()
	switch {
	case a.Status != nil:
		return steeringStatus(s, client)
	case a.Servers != nil:
		return a.Servers.run(s, client)
	case a.Routes != nil:
		return a.Routes.run(s, client)
	case a.Accounts != nil:
		return a.Accounts.run(s, client)
	case a.Signals != nil:
		return a.Signals.run(s, client)
	case a.Explain != nil:
		return steeringEvents(s, client, a.Explain.Request, func(steeringhttp.Event) bool { return true })
	case a.Events != nil:
		return steeringEvents(s, client, "", a.Events.match)
	case a.Losses != nil:
		return a.Losses.run(s, client)
	case a.Replay != nil:
		return a.Replay.run()
	}
	return Result{}, usageError("steering: a subcommand is required: status, servers, routes, accounts, signals, explain, events, losses or replay")
}

func (a *SteeringEventsArguments) match(e steeringhttp.Event) bool {
	return (a.Kind == "" || a.Kind == e.Kind) && (a.Server == "" || a.Server == e.Server)
}

// firstStatus returns the status of the first proxy that responds. That proxy is added to its own
// list of proxies if it is missing there: a proxy whose registration was removed still serves, and
// may be the one with the failed request.
func firstStatus(s *session, c *steeringhttp.Client) (steeringhttp.Status, error) {
	var lastErr error
	for _, address := range s.proxies {
		status, err := c.Status(s.ctx, address)
		if err == nil {
			if !slices.ContainsFunc(status.Proxies, func(p steeringhttp.Proxy) bool { return p.Name == status.VM }) {
				status.Proxies = append(status.Proxies, steeringhttp.Proxy{Name: status.VM, OperatorAddress: address})
			}
			return status, nil
		}
		lastErr = err
	}
	if lastErr == nil {
		return steeringhttp.Status{}, usageError("--proxy: at least one address is required")
	}
	return steeringhttp.Status{}, errors.Wrap(operatorhttp.ErrNoProxy, lastErr.Error())
}

// queryAll sends a query to all proxies that the first responding proxy knows.
func queryAll[T any](s *session, c *steeringhttp.Client, query func(context.Context, netip.AddrPort) (T, error)) ([]proxyResponse[T], error) {
	status, err := firstStatus(s, c)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(s.ctx, queryTimeout)
	defer cancel()
	responses := make([]proxyResponse[T], len(status.Proxies))
	semaphore := make(chan struct{}, maxConcurrentQueries)
	var group sync.WaitGroup
	for i, p := range status.Proxies {
		group.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			responses[i].Proxy = p
			value, err := query(ctx, p.OperatorAddress)
			responses[i].Value = value
			if err != nil {
				responses[i].Error = err.Error()
			}
		})
	}
	group.Wait()
	return responses, nil
}

// listFailed returns the proxies that did not respond and adds a line for each to the text.
func listFailed[T any](text *strings.Builder, responses []proxyResponse[T]) (list []ProxyError) {
	for _, response := range responses {
		if response.Error != "" {
			fmt.Fprintf(text, "%s did not answer: %s\n", response.Proxy.Name, response.Error)
			list = append(list, ProxyError{Proxy: response.Proxy.Name, Error: response.Error})
		}
	}
	return list
}

func steeringStatus(s *session, c *steeringhttp.Client) (Result, error) {
	responses, err := queryAll(s, c, c.Summary)
	if err != nil {
		return Result{}, err
	}
	var text strings.Builder
	fmt.Fprintf(&text, "%-24s %-16s %-12s %7s %9s %8s %9s %8s\n", "PROXY", "DOMAIN", "REGION", "CONFIG", "REVISION", "AGE", "IN-FLIGHT", "SERVERS")
	for _, a := range responses {
		if a.Error != "" {
			fmt.Fprintf(&text, "%-24s %-16s %-12s no answer: %s\n", a.Proxy.Name, a.Proxy.Domain, a.Proxy.Region, a.Error)
			continue
		}
		v := a.Value
		fmt.Fprintf(&text, "%-24s %-16s %-12s %7d %9d %8s %9d %8d\n", v.VM, a.Proxy.Domain, a.Proxy.Region,
			v.ConfigurationVersion, v.ReplicaRevision, v.ReplicaAge, v.InFlight, v.ServerCount)
		if v.CutOff {
			fmt.Fprintf(&text, "%24s cut off from all backend servers, hands requests over\n", "")
		}
		if len(v.MechanismsOff) > 0 {
			fmt.Fprintf(&text, "%24s switched off: %v\n", "", v.MechanismsOff)
		}
		if a.Proxy.Overflow > 0 {
			fmt.Fprintf(&text, "%24s overflow level %d, link of %d Mbit/s\n", "", a.Proxy.Overflow, a.Proxy.LinkMbps)
		}
		for _, h := range v.ConcurrencyLimits {
			fmt.Fprintf(&text, "%24s holding back: %s, %d of %d slots (%d answers)\n", "", h.Service, h.Max, h.Slots, h.Samples)
		}
		for _, c := range v.QuarantinedWork {
			fmt.Fprintf(&text, "%24s refused for %s: work %s, at whose runs %d servers ended\n", "", c.QuarantinedFor, c.Fingerprint, c.Crashes)
		}
		if len(v.RegionsWithoutProxies) > 0 {
			fmt.Fprintf(&text, "%24s without proxies: %s\n", "", strings.Join(v.RegionsWithoutProxies, ", "))
		}
	}
	return Result{Text: text.String(), Data: responses}, nil
}

func (a *SteeringServersArguments) run(s *session, c *steeringhttp.Client) (Result, error) {
	status, err := firstStatus(s, c)
	if err != nil {
		return Result{}, err
	}
	servers := slices.DeleteFunc(status.Servers, func(b steeringhttp.BackendServer) bool { return a.Service != "" && b.Service != a.Service })
	var text strings.Builder
	fmt.Fprintf(&text, "as %s sees them\n%-16s %-12s %-16s %-20s %9s %6s %6s %8s %6s\n", status.VM, "SERVER", "SERVICE", "DOMAIN", "STATE", "IN-FLIGHT", "LOAD", "SPEED", "REPORTED", "FAILED")
	for _, b := range servers {
		fmt.Fprintf(&text, "%-16s %-12s %-16s %-20s %5d/%-3d %6.1f %6.2f %8.2f %6.2f\n", b.ID, b.Service, b.Domain, b.State, b.InFlight, b.Slots, b.Load, b.Slowdown, b.WorkFactor, b.FailureShare)
	}
	return Result{Text: text.String(), Data: servers}, nil
}

func (a *SteeringRoutesArguments) run(s *session, c *steeringhttp.Client) (Result, error) {
	status, err := firstStatus(s, c)
	if err != nil {
		return Result{}, err
	}
	routes := slices.DeleteFunc(status.Routes, func(r steeringhttp.Route) bool { return a.Host != "" && r.Host != a.Host })
	var text strings.Builder
	fmt.Fprintf(&text, "version %d at %s\n", status.ConfigurationVersion, status.VM)
	for _, r := range routes {
		kind := "once"
		if r.Idempotent {
			kind = "idempotent"
		}
		fmt.Fprintf(&text, "%-12s %-24s %-16s %-10s %8s %s\n", r.Name, r.Host, r.Prefix, kind, r.Timeout, strings.Join(r.Services, ", "))
	}
	return Result{Text: text.String(), Data: routes}, nil
}

func steeringEvents(s *session, c *steeringhttp.Client, request string, match func(steeringhttp.Event) bool) (Result, error) {
	responses, err := queryAll(s, c, func(ctx context.Context, proxy netip.AddrPort) ([]steeringhttp.Event, error) {
		return c.Events(ctx, proxy, request)
	})
	if err != nil {
		return Result{}, err
	}
	events := []steeringhttp.Event{}
	var text strings.Builder
	failed := listFailed(&text, responses)
	for _, a := range responses {
		for _, e := range a.Value {
			if match(e) {
				events = append(events, e)
			}
		}
	}
	slices.SortStableFunc(events, func(a, b steeringhttp.Event) int { return a.At.Compare(b.At) })
	if len(events) == 0 {
		text.WriteString("nothing kept; requests that ended well are sampled, and a restarted proxy has forgotten: search the logs\n")
	}
	for _, e := range events {
		fmt.Fprintf(&text, "%s %-22s %-22s %s\n", e.At.Format("15:04:05.000"), e.VM, e.Kind, steeringEventText(e))
	}
	return Result{Text: text.String(), Data: EventsOutput{Events: events, Unanswered: failed}}, nil
}

// steeringEventText formats the non-empty fields of an event as name=value.
func steeringEventText(e steeringhttp.Event) string {
	var parts []string
	for _, f := range []struct{ name, value string }{
		{"request", e.Request}, {"route", e.Route}, {"account", e.Account}, {"service", e.Service}, {"server", e.Server}, {"object", e.Object},
		{"failure-domain", e.Domain}, {"result", e.Result}, {"outcome", e.Outcome}, {"reason", e.Reason},
		{"expected", e.Expected}, {"took", e.Duration}, {"load-age", e.LoadAge}, {"work-factor", formatNonZero(e.WorkFactor)}, {"come-back", e.RetryAfter}, {"pressure", formatNonZero(e.Pressure)},
		{"cause", e.Cause}, {"server-state", e.ServerState}, {"wait", e.ExpectedWait}, {"wait-limit", e.WaitLimit}, {"shed-ratio", formatNonZero(e.ShedRatio)}, {"account-shed-ratio", formatNonZero(e.AccountShedRatio)}, {"target", e.Target}, {"limit", e.Limit}, {"error", e.Error},
	} {
		if f.value != "" {
			parts = append(parts, f.name+"="+f.value)
		}
	}
	if e.Attempt > 0 {
		parts = append(parts, fmt.Sprintf("attempt=%d", e.Attempt))
	}
	if e.ConfigurationVersion > 0 {
		parts = append(parts, fmt.Sprintf("configuration=%d", e.ConfigurationVersion))
	}
	return strings.Join(parts, " ")
}

// formatNonZero formats a number with two decimals; zero yields an empty string.
func formatNonZero(value float64) string {
	if value == 0 {
		return ""
	}
	return strconv.FormatFloat(value, 'f', 2, 64)
}
