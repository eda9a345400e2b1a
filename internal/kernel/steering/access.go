package steering

import (
	"github.com/gypsumquay/gypsumquay/internal/kernel/account"
)

// authorize finds whose request it is, and where it may run: the regions of both its
// route and its account bind.
func (k *Kernel) authorize(f *ActiveRequest) Reason {
	f.tableVersion, f.HasAccounts = k.table.Version, k.table.Accounts != nil
	f.Account, f.allowedRegions = nil, k.routeRegions[f.Route.Name]
	if !f.HasAccounts {
		return ReasonNone
	}
	if f.Credential.State == account.Present {
		f.Account = k.table.Accounts.Holder(f.Credential.Key)
	}
	if f.Account == nil {
		if f.Route.Public {
			return ReasonNone
		}
		return ReasonNoAccount
	}
	f.allowedRegions &= k.regionSet(f.Account.Regions)
	if f.allowedRegions == 0 {
		return ReasonNoRegion
	}
	return ReasonNone
}

// reauthorize does so before a request is sent, if another configuration has come into
// force since: its key may have been taken away while it waited.
func (k *Kernel) reauthorize(f *ActiveRequest) Reason {
	if f.tableVersion == k.table.Version {
		return ReasonNone
	}
	had := f.Account
	reason := k.authorize(f)
	if reason == ReasonNone && had != nil && f.Account != nil && had.Name != f.Account.Name {
		// The request counts for the account that it was admitted for.
		return ReasonNoAccount
	}
	return reason
}

// priority ranks the request, 0 first.
func (f *ActiveRequest) priority() int {
	if f.Account != nil && f.Account.Priority != nil {
		return *f.Account.Priority
	}
	return f.Route.Priority
}
