package command

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/gypsumquay/gypsumquay/internal/adapter/steeringhttp"
)

type (
	// SteeringSignalsArguments selects backend servers.
	SteeringSignalsArguments struct {
		Service string `help:"only backend servers of this service"`
	}

	// ServerSignals is the limit, pause or drain that a backend server has signaled to the proxies
	// that responded.
	ServerSignals struct {
		Server  string `json:"server"`
		Service string `json:"service"`
		Domain  string `json:"failure-domain"`
		// Limit is the rate that the server accepts from all proxies together: the lowest that any
		// proxy knows.
		Limit string `json:"limit,omitempty"`
		// Draining is set if the server itself reports that it drains.
		Draining bool `json:"leaving,omitempty"`
		// Limited and Pausing count the proxies that enforce a limit or a pause of the server,
		// Known those that know any of its signals.
		Limited int `json:"limited-proxies"`
		Pausing int `json:"pausing-proxies"`
		Known   int `json:"proxies"`

		limitPerSecond float64
	}

	// SignalsOutput is the JSON output of steering signals. It lacks the signals known only to
	// proxies that did not respond.
	SignalsOutput struct {
		Servers    []ServerSignals `json:"backend-servers"`
		Unanswered []ProxyError    `json:"unanswered,omitempty"`
	}
)

func (a *SteeringSignalsArguments) run(s *session, c *steeringhttp.Client) (Result, error) {
	responses, err := queryAll(s, c, c.Summary)
	if err != nil {
		return Result{}, err
	}
	var text strings.Builder
	var output SignalsOutput
	byServer := make(map[string]*ServerSignals)
	output.Unanswered = listFailed(&text, responses)
	for _, response := range responses {
		for _, b := range response.Value.Servers {
			if a.Service == "" || a.Service == b.Service {
				addSignals(byServer, b)
			}
		}
	}
	output.Servers = sortSignals(byServer)
	fmt.Fprintf(&text, "of %d proxies that answered\n%-16s %-16s %-16s %10s %8s %8s %8s %8s\n", len(responses)-len(output.Unanswered),
		"SERVER", "SERVICE", "DOMAIN", "LIMIT", "LIMITED", "PAUSING", "LEAVES", "KNOWN BY")
	for _, v := range output.Servers {
		fmt.Fprintf(&text, "%-16s %-16s %-16s %10s %8d %8d %8t %8d\n", v.Server, v.Service, v.Domain, cmp.Or(v.Limit, "none"), v.Limited, v.Pausing, v.Draining, v.Known)
	}
	return Result{Text: text.String(), Data: output}, nil
}

// addSignals adds the signals of a server that one proxy knows.
func addSignals(byServer map[string]*ServerSignals, b steeringhttp.BackendServer) {
	if !b.HasSignals() {
		return
	}
	v := byServer[b.ID]
	if v == nil {
		v = &ServerSignals{Server: b.ID, Service: b.Service, Domain: b.Domain}
		byServer[b.ID] = v
	}
	v.Known++
	v.Draining = v.Draining || b.ReportsDraining
	if b.PausedFor != "" {
		v.Pausing++
	}
	if b.Limit == nil {
		return
	}
	if v.Limited++; v.Limited == 1 || *b.Limit < v.limitPerSecond {
		v.limitPerSecond, v.Limit = *b.Limit, fmt.Sprintf("%.1f/s", *b.Limit)
	}
}

// sortSignals sorts servers by service, those known to the most proxies first.
func sortSignals(byServer map[string]*ServerSignals) []ServerSignals {
	list := make([]ServerSignals, 0, len(byServer))
	for _, v := range slices.Collect(maps.Values(byServer)) {
		list = append(list, *v)
	}
	slices.SortFunc(list, func(a, b ServerSignals) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(b.Known, a.Known), cmp.Compare(a.Server, b.Server))
	})
	return list
}
