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
	// SteeringAccountsArguments selects client accounts.
	SteeringAccountsArguments struct {
		Account string `help:"only this client account"`
		Refused bool   `help:"only client accounts with rejected requests"`
	}

	// AccountUsage is the usage of a client account summed over all proxies that responded.
	AccountUsage struct {
		Name           string   `json:"name"`
		Keys           []string `json:"key-fingerprints"`
		Regions        []string `json:"regions,omitempty"`
		LimitPerSecond float64  `json:"limit-per-second"`
		PerSecond      float64  `json:"per-second"`
		Admitted       uint64   `json:"admitted"`
		Rejected       uint64   `json:"refused"`
		// Proxies counts the proxies that admitted or rejected requests of the account.
		Proxies int `json:"proxies"`
	}

	// AccountsOutput is the JSON output of steering accounts. It lacks the usage at proxies that
	// did not respond.
	AccountsOutput struct {
		Accounts   []AccountUsage `json:"client-accounts"`
		Unanswered []ProxyError   `json:"unanswered,omitempty"`
	}
)

func (a *SteeringAccountsArguments) run(s *session, c *steeringhttp.Client) (Result, error) {
	responses, err := queryAll(s, c, c.Summary)
	if err != nil {
		return Result{}, err
	}
	var text strings.Builder
	var output AccountsOutput
	byName := make(map[string]*AccountUsage)
	output.Unanswered = listFailed(&text, responses)
	for _, response := range responses {
		for _, account := range response.Value.Accounts {
			addUsage(byName, account)
		}
	}
	output.Accounts = a.selectAccounts(byName)
	fmt.Fprintf(&text, "%-20s %10s %10s %10s %10s %8s %-20s %s\n", "ACCOUNT", "LIMIT/S", "USED/S", "ADMITTED", "REFUSED", "PROXIES", "REGIONS", "KEYS")
	for _, u := range output.Accounts {
		fmt.Fprintf(&text, "%-20s %10s %10.1f %10d %10d %8d %-20s %s\n", u.Name, formatLimit(u.LimitPerSecond), u.PerSecond, u.Admitted, u.Rejected, u.Proxies,
			cmp.Or(strings.Join(u.Regions, ","), "all"), strings.Join(u.Keys, ","))
	}
	return Result{Text: text.String(), Data: output}, nil
}

// addUsage adds the usage of an account at one proxy.
func addUsage(byName map[string]*AccountUsage, a steeringhttp.Account) {
	u := byName[a.Name]
	if u == nil {
		u = &AccountUsage{Name: a.Name, Keys: a.Keys, Regions: a.Regions, LimitPerSecond: a.LimitPerSecond}
		byName[a.Name] = u
	}
	u.PerSecond += a.PerSecond
	u.Admitted += a.Admitted
	u.Rejected += a.Rejected
	if a.Admitted+a.Rejected > 0 {
		u.Proxies++
	}
}

// selectAccounts returns the selected accounts, those with the most rejected requests first.
func (a *SteeringAccountsArguments) selectAccounts(byName map[string]*AccountUsage) []AccountUsage {
	var list []AccountUsage
	for _, u := range slices.Collect(maps.Values(byName)) {
		if (a.Account == "" || a.Account == u.Name) && (!a.Refused || u.Rejected > 0) {
			list = append(list, *u)
		}
	}
	slices.SortFunc(list, func(a, b AccountUsage) int {
		return cmp.Or(cmp.Compare(b.Rejected, a.Rejected), cmp.Compare(a.Name, b.Name))
	})
	return list
}

func formatLimit(perSecond float64) string {
	if perSecond == 0 {
		return "none"
	}
	return fmt.Sprintf("%.1f", perSecond)
}
