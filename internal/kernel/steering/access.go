package steering

import (
	"github.com/gypsumquay/gypsumquay/internal/kernel/account"
)

// authorize finds whose request it is, and where it may run: the regions of both its
// route and its account bind.
func (k *Kernel) authorize(req *ActiveRequest) Reason {
	req.tableVersion, req.HasAccounts = k.table.Version, k.table.Accounts != nil
	req.Account, req.allowedRegions = nil, k.routeRegions[req.Route.Name]
	if !req.HasAccounts {
		return ReasonNone
	}
	if req.Credential.State == account.Present {
		req.Account = k.table.Accounts.Holder(req.Credential.Key)
	}
	if req.Account == nil {
		if req.Route.Public {
			return ReasonNone
		}
		return ReasonNoAccount
	}
	req.allowedRegions &= k.regionSet(req.Account.Regions)
	if req.allowedRegions == 0 {
		return ReasonNoRegion
	}
	return ReasonNone
}

// reauthorize does so before a request is sent, if another configuration has come into
// force since: its key may have been taken away while it waited.
func (k *Kernel) reauthorize(req *ActiveRequest) Reason {
	if req.tableVersion == k.table.Version {
		return ReasonNone
	}
	had := req.Account
	reason := k.authorize(req)
	if reason == ReasonNone && had != nil && req.Account != nil && had.Name != req.Account.Name {
		// The request counts for the account that it was admitted for.
		return ReasonNoAccount
	}
	return reason
}

// priority ranks the request, 0 first.
func (req *ActiveRequest) priority() int {
	if req.Account != nil && req.Account.Priority != nil {
		return *req.Account.Priority
	}
	return req.Route.Priority
}
