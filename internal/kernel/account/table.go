// Package account holds the client accounts of a configuration with their API keys, rate limits and
// regions.
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
		// Priority overrides the priority of the route; 0 is the highest. If it is nil, the
		// priority of the route applies.
		Priority *int
		// Limit is the rate limit of the account over all proxies together.
		Limit ratelimit.Limit
		// Regions lists the regions that may serve the account. If it is empty, all may.
		Regions []string
	}

	// Table indexes accounts by name and by key. It is built once per configuration version and is
	// immutable.
	Table struct {
		byName        map[string]*Account
		byKey         map[Key]*Account
		hasRateLimits bool
	}

	// Conflict is a key that is configured for more than one account.
	Conflict struct {
		Key      Key
		Accounts [2]string
	}
)

// NewTable indexes accounts. A key that several accounts have is assigned to none of them, because
// a request with it could be attributed to the wrong account.
func NewTable(accounts []*Account) (*Table, []Conflict) {
	t := &Table{byName: make(map[string]*Account, len(accounts)), byKey: make(map[Key]*Account, len(accounts))}
	var conflicts []Conflict
	for _, a := range sortedByName(accounts) {
		t.byName[a.Name] = a
		t.hasRateLimits = t.hasRateLimits || !a.Limit.Unlimited()
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

// HasRateLimits reports whether any account has a rate limit.
func (t *Table) HasRateLimits() bool { return t != nil && t.hasRateLimits }

// ByKey returns the account that a key belongs to, or nil if there is none.
func (t *Table) ByKey(key Key) *Account { return t.byKey[key] }

// ByName returns the account with a name, or nil if there is none.
func (t *Table) ByName(name string) *Account {
	if t == nil {
		return nil
	}
	return t.byName[name]
}

// All returns the accounts in order of name, or nil if the configuration has no account section.
func (t *Table) All() []*Account {
	if t == nil {
		return nil
	}
	// An empty list means that the configuration has an empty list of accounts; nil means that it
	// has none.
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
