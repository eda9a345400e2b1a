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
	// SteeringAccountsArguments picks client accounts.
	SteeringAccountsArguments struct {
		Account string `help:"only this client account"`
		Refused bool   `help:"only those of which requests were refused"`
	}

	// AccountUse is a client account over all proxies that answered.
	AccountUse struct {
		Name           string   `json:"name"`
		Keys           []string `json:"key-fingerprints"`
		Regions        []string `json:"regions,omitempty"`
		LimitPerSecond float64  `json:"limit-per-second"`
		PerSecond      float64  `json:"per-second"`
		Admitted       uint64   `json:"admitted"`
		Refused        uint64   `json:"refused"`
		// Proxies counts those that saw requests of the account of late.
		Proxies int `json:"proxies"`
	}

	// AccountsAnswer is what accounts prints as JSON. Use at proxies that did not answer
	// is missing.
	AccountsAnswer struct {
		Accounts   []AccountUse `json:"client-accounts"`
		Unanswered []Unanswered `json:"unanswered,omitempty"`
	}
)

func (a *SteeringAccountsArguments) run(s *session, c *steeringhttp.Client) (Result, error) {
	answers, err := ask(s, c, c.Status)
	if err != nil {
		return Result{}, err
	}
	var text strings.Builder
	var out AccountsAnswer
	sums := make(map[string]*AccountUse)
	out.Unanswered = unanswered(&text, answers)
	for _, one := range answers {
		for _, account := range one.Value.Accounts {
			addUse(sums, account)
		}
	}
	out.Accounts = a.pick(sums)
	fmt.Fprintf(&text, "%-20s %10s %10s %10s %10s %8s %-20s %s\n", "ACCOUNT", "LIMIT/S", "USED/S", "ADMITTED", "REFUSED", "PROXIES", "REGIONS", "KEYS")
	for _, u := range out.Accounts {
		fmt.Fprintf(&text, "%-20s %10s %10.1f %10d %10d %8d %-20s %s\n", u.Name, limit(u.LimitPerSecond), u.PerSecond, u.Admitted, u.Refused, u.Proxies,
			cmp.Or(strings.Join(u.Regions, ","), "all"), strings.Join(u.Keys, ","))
	}
	return Result{Text: text.String(), Data: out}, nil
}

// addUse adds what one proxy knows of an account.
func addUse(sums map[string]*AccountUse, a steeringhttp.Account) {
	u := sums[a.Name]
	if u == nil {
		u = &AccountUse{Name: a.Name, Keys: a.Keys, Regions: a.Regions, LimitPerSecond: a.LimitPerSecond}
		sums[a.Name] = u
	}
	u.PerSecond += a.PerSecond
	u.Admitted += a.Admitted
	u.Refused += a.Refused
	if a.Admitted+a.Refused > 0 {
		u.Proxies++
	}
}

// pick lists the accounts asked for, those refused most first.
func (a *SteeringAccountsArguments) pick(sums map[string]*AccountUse) []AccountUse {
	var list []AccountUse
	for _, u := range slices.Collect(maps.Values(sums)) {
		if (a.Account == "" || a.Account == u.Name) && (!a.Refused || u.Refused > 0) {
			list = append(list, *u)
		}
	}
	slices.SortFunc(list, func(a, b AccountUse) int {
		return cmp.Or(cmp.Compare(b.Refused, a.Refused), cmp.Compare(a.Name, b.Name))
	})
	return list
}

func limit(perSecond float64) string {
	if perSecond == 0 {
		return "none"
	}
	return fmt.Sprintf("%.1f", perSecond)
}
