// Package account knows the client accounts of a configuration: which API keys each
// has, and what it may do.
package account

import (
	"cmp"
	"slices"

	"github.com/gypsumquay/gypsumquay/internal/kernel/ratelimit"
)

type (
	// Account is a client account.
	Account struct {
		Name string
		Keys []Key
		// Priority goes before that of a route, 0 first; nil leaves it to the route.
		Priority *int
		// Limit is how many requests it may send, over all proxies together.
		Limit ratelimit.Limit
		// Regions that may serve it; none means all.
		Regions []string
	}

	// Table finds accounts. It is built once for each version of the configuration and
	// never changes.
	Table struct {
		byName map[string]*Account
		byKey  map[Key]*Account
		// hasRateLimits is set if any account has a limit.
		hasRateLimits bool
	}

	// Conflict is a key that more than one account claims.
	Conflict struct {
		Key      Key
		Accounts [2]string
	}
)

// NewTable indexes accounts. A key that several claim belongs to none of them: run for
// either, a request might run for the wrong one.
func NewTable(accounts []*Account) (*Table, []Conflict) {
	t := &Table{byName: make(map[string]*Account, len(accounts)), byKey: make(map[Key]*Account, len(accounts))}
	var conflicts []Conflict
	for _, a := range sortedByName(accounts) {
		t.byName[a.Name] = a
		t.hasRateLimits = t.hasRateLimits || !a.Limit.None()
		for _, key := range a.Keys {
			other, claimed := t.byKey[key]
			if claimed && other != a {
				conflicts = append(conflicts, Conflict{Key: key, Accounts: [2]string{other.Name, a.Name}})
				continue
			}
			t.byKey[key] = a
		}
	}
	for _, c := range conflicts {
		delete(t.byKey, c.Key)
	}
	return t, conflicts
}

// HasRateLimits reports whether any account has a limit.
func (t *Table) HasRateLimits() bool { return t != nil && t.hasRateLimits }

// ByKey is the account that a key belongs to, nil for none.
func (t *Table) ByKey(key Key) *Account { return t.byKey[key] }

// ByName is the account of a name, nil for none.
func (t *Table) ByName(name string) *Account {
	if t == nil {
		return nil
	}
	return t.byName[name]
}

// All lists the accounts by name.
func (t *Table) All() []*Account {
	if t == nil {
		return nil
	}
	// An empty list stands for a configuration whose accounts are none, nil for one
	// without them.
	list := make([]*Account, 0, len(t.byName))
	for _, a := range t.byName {
		list = append(list, a)
	}
	return sortedByName(list)
}

func sortedByName(accounts []*Account) []*Account {
	list := slices.Clone(accounts)
	slices.SortFunc(list, func(a, b *Account) int { return cmp.Compare(a.Name, b.Name) })
	return list
}
