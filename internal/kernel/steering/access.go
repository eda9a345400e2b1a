package steering

import (
	"github.com/gypsumquay/gypsumquay/internal/kernel/account"
)

// identify finds whose request it is, and where it may run: the regions of both its
// route and its account bind.
func (k *Kernel) identify(f *Flight) Reason {
	f.version, f.Keyed = k.table.Version, k.table.Accounts != nil
	f.Account, f.allowed = nil, k.allowed[f.Route.Name]
	if !f.Keyed {
		return ReasonNone
	}
	if f.Credential.State == account.CredentialPresent {
		f.Account = k.table.Accounts.ByKey(f.Credential.Key)
	}
	if f.Account == nil {
		if f.Route.Public {
			return ReasonNone
		}
		return ReasonNoAccount
	}
	f.allowed &= k.regionSet(f.Account.Regions)
	if f.allowed == 0 {
		return ReasonNoRegion
	}
	return ReasonNone
}

// identifyAgain does so before a request is sent, if another configuration has come into
// force since: its key may have been taken away while it waited.
func (k *Kernel) identifyAgain(f *Flight) Reason {
	if f.version == k.table.Version {
		return ReasonNone
	}
	had := f.Account
	reason := k.identify(f)
	if reason == ReasonNone && had != nil && f.Account != nil && had.Name != f.Account.Name {
		// The request counts for the account that it was admitted for.
		return ReasonNoAccount
	}
	return reason
}

// priority ranks the request, 0 first.
func (f *Flight) priority() int {
	if f.Account != nil && f.Account.Priority != nil {
		return *f.Account.Priority
	}
	return f.Route.Priority
}
