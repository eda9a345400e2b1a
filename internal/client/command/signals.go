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
	// SteeringSignalsArguments picks backend servers.
	SteeringSignalsArguments struct {
		Service string `help:"only this service's"`
	}

	// ServerSignals is what a backend server asks of its senders, over all proxies that
	// answered.
	ServerSignals struct {
		Server  string `json:"server"`
		Service string `json:"service"`
		Domain  string `json:"failure-domain"`
		// Limit is what it takes from all proxies together, the lowest that any knows of.
		Limit string `json:"limit,omitempty"`
		// Draining is set if it leaves by its own word.
		Draining bool `json:"leaving,omitempty"`
		// Limited, Pausing and Known count the proxies that keep to a limit or a pause of
		// it, and those that know of anything that it asks.
		Limited int `json:"limited-proxies"`
		Pausing int `json:"pausing-proxies"`
		Known   int `json:"proxies"`

		limitPerSecond float64
	}

	// SignalsOutput is what signals prints as JSON. What proxies know that did not answer
	// is missing.
	SignalsOutput struct {
		Servers    []ServerSignals `json:"backend-servers"`
		Unanswered []ProxyError    `json:"unanswered,omitempty"`
	}
)

func (a *SteeringSignalsArguments) run(s *session, c *steeringhttp.Client) (Result, error) {
	responses, err := queryAll(s, c, c.Status)
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

// addSignals adds what one proxy knows of a server.
func addSignals(byServer map[string]*ServerSignals, b steeringhttp.BackendServer) {
	if b.Limit == nil && b.PausedFor == "" && !b.ReportsDraining {
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

// sortSignals lists servers by service, those known to the most proxies first.
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
