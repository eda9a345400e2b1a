package command

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"sort"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/kernel/core"
	"github.com/gypsumquay/gypsumquay/internal/kernel/errs"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
)

type (
	// StatusArguments has no fields.
	StatusArguments struct{}

	// LookupArguments selects a lookup response to explain.
	LookupArguments struct {
		Service string     `arg:"positional,required"`
		Client  netip.Addr `arg:"positional,required" help:"the client's IP address"`
	}

	// EventsArguments filters the event log.
	EventsArguments struct {
		Request string        `help:"only this request or token ID"`
		Service string        `help:"only this service"`
		VM      string        `arg:"--vm" help:"only this proxy"`
		Kind    string        `help:"only this kind of event"`
		Since   time.Duration `help:"only events within this duration before now"`
	}

	proxyStatus struct {
		Member peer.Member  `json:"member"`
		Status *core.Status `json:"status,omitempty"`
		Error  string       `json:"error,omitempty"`
	}

	regionTotal struct {
		Region               string  `json:"region"`
		Capacity             int     `json:"capacity-per-second"`
		Used                 int     `json:"used-per-second"`
		Headroom             float64 `json:"headroom"`
		ProxiesReportingLoss int     `json:"proxies-that-find-it-lost"`
	}

	statusReport struct {
		Proxies []proxyStatus `json:"proxies"`
		Regions []regionTotal `json:"regions"`
	}
)

func (a *StatusArguments) run(s *session) (Result, error) {
	members, err := s.client.Members(s.ctx)
	if err != nil {
		return Result{}, err
	}
	var report statusReport
	for _, m := range members.Members {
		p := proxyStatus{Member: m}
		if status, err := s.client.Status(s.ctx, m.OperatorAddress); err == nil {
			p.Status = &status
		} else {
			p.Error = err.Error()
		}
		report.Proxies = append(report.Proxies, p)
	}
	report.Regions = sumRegions(report.Proxies)
	return Result{Text: report.text(), Data: report}, nil
}

func sumRegions(proxies []proxyStatus) []regionTotal {
	var list []regionTotal
	index := make(map[string]int)
	for _, p := range proxies {
		if p.Status == nil {
			continue
		}
		for _, r := range p.Status.Regions {
			at, ok := index[r.Name]
			if !ok {
				at = len(list)
				index[r.Name] = at
				list = append(list, regionTotal{Region: r.Name, Capacity: r.Capacity})
			}
			list[at].Used += r.Used
			if r.Lost {
				list[at].ProxiesReportingLoss++
			}
		}
	}
	for i := range list {
		if list[i].Capacity > 0 {
			list[i].Headroom = 1 - float64(list[i].Used)/float64(list[i].Capacity)
		}
	}
	return list
}

func (r *statusReport) text() string {
	var text strings.Builder
	fmt.Fprintf(&text, "%-12s %-8s %-12s %7s %6s %6s %9s\n", "PROXY", "STATE", "REGION", "BUNDLE", "ASSIGN", "SLOTS", "IN-FLIGHT")
	for _, p := range r.Proxies {
		if p.Status == nil {
			fmt.Fprintf(&text, "%-12s %-8s %-12s no answer: %s\n", p.Member.Name, p.Member.State, p.Member.Region, p.Error)
			continue
		}
		fmt.Fprintf(&text, "%-12s %-8s %-12s %7d %6d %6d %9d\n", p.Member.Name, p.Member.State, p.Member.Region,
			p.Status.Bundle, p.Status.Assignment, p.Status.Slots, p.Status.InFlight)
	}
	fmt.Fprintf(&text, "\n%-12s %9s %9s %9s %s\n", "REGION", "CAPACITY", "USED", "HEADROOM", "LOST FOR")
	for _, t := range r.Regions {
		fmt.Fprintf(&text, "%-12s %9d %9d %8.1f%% %d proxies\n", t.Region, t.Capacity, t.Used, 100*t.Headroom, t.ProxiesReportingLoss)
	}
	return text.String()
}

// run sends the client's lookup to the caller interface of the first live proxy that responds.
func (a *LookupArguments) run(s *session) (Result, error) {
	members, err := s.client.Members(s.ctx)
	if err != nil {
		return Result{}, err
	}
	for _, m := range members.Members {
		if m.State != peer.StateLive {
			continue
		}
		query := url.Values{"service": {a.Service}, "client": {a.Client.String()}, "explain": {""}}
		response, err := queryLookup(s, "http://"+m.Address.String()+"/v1/lookup?"+query.Encode())
		if err != nil {
			continue
		}
		return Result{Text: lookupText(m.Name, response), Data: response}, nil
	}
	return Result{}, errors.New("no live proxy answered the lookup for service " + a.Service)
}

type lookupResponse struct {
	Home     string   `json:"home-region"`
	Lifetime string   `json:"lifetime"`
	Why      []string `json:"why"`
	Proxies  []struct {
		Name    string         `json:"name"`
		Address netip.AddrPort `json:"address"`
		Region  string         `json:"region"`
	} `json:"proxies"`
}

func queryLookup(s *session, target string) (lookupResponse, error) {
	var result lookupResponse
	request, err := http.NewRequestWithContext(s.ctx, http.MethodGet, target, nil)
	if err != nil {
		return result, errors.Wrap(err, "request")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return result, errors.Wrap(err, "lookup")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return result, errors.Errorf("lookup: status %d", response.StatusCode)
	}
	return result, errs.Wrap(json.NewDecoder(response.Body).Decode(&result), "lookup")
}

func lookupText(proxy string, response lookupResponse) string {
	var text strings.Builder
	fmt.Fprintf(&text, "answer of %s, valid for %s\n", proxy, response.Lifetime)
	for i, p := range response.Proxies {
		fmt.Fprintf(&text, "%d. %-12s %-21s %s\n", i+1, p.Name, p.Address, p.Region)
	}
	for _, why := range response.Why {
		fmt.Fprintf(&text, "   %s\n", why)
	}
	return text.String()
}

func (a *EventsArguments) run(s *session) (Result, error) {
	members, err := s.client.Members(s.ctx)
	if err != nil {
		return Result{}, err
	}
	var all []core.Event
	for _, m := range members.Members {
		events, err := s.client.Events(s.ctx, m.OperatorAddress)
		if err != nil {
			continue
		}
		for _, e := range events {
			if a.match(e) {
				all = append(all, e)
			}
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].Stamp.Less(all[j].Stamp) })
	var text strings.Builder
	for _, e := range all {
		fmt.Fprintf(&text, "%s %-10s %-24s %s\n", e.Stamp.Time().Format("15:04:05.000000"), e.VM, e.Kind, eventText(e))
	}
	return Result{Text: text.String(), Data: all}, nil
}

func (a *EventsArguments) match(e core.Event) bool {
	switch {
	case a.Request != "" && e.Request != a.Request,
		a.Service != "" && e.Service != a.Service,
		a.VM != "" && e.VM != a.VM,
		a.Kind != "" && string(e.Kind) != a.Kind,
		a.Since > 0 && time.Since(e.Stamp.Time()) > a.Since:
		return false
	}
	return true
}

func eventText(e core.Event) string {
	var parts []string
	for _, p := range []string{e.Service, e.Request, e.Target, string(e.Reason), e.Detail} {
		if p != "" {
			parts = append(parts, p)
		}
	}
	if e.Outcome != 0 {
		parts = append(parts, e.Outcome.String())
	}
	if e.Version > 0 {
		parts = append(parts, fmt.Sprintf("version %d", e.Version))
	}
	return strings.Join(parts, " ")
}
