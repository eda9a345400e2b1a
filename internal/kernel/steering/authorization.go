package steering

import (
	"github.com/gypsumquay/gypsumquay/internal/kernel/account"
)

// authorize looks up the client account of a request and the regions in which it may run: those
// allowed by both its route and its account.
func (k *Kernel) authorize(req *ActiveRequest) Reason {
	req.tableVersion, req.HasAccounts = k.table.Version, k.table.Accounts != nil
	req.Account, req.allowedRegions = nil, k.routeRegions[req.Route.Name]
	if !req.HasAccounts {
		return ReasonNone
	}
	if req.Credential.State == account.CredentialPresent {
		req.Account = k.table.Accounts.ByKey(req.Credential.Key)
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

// reauthorize runs authorize again before a request is sent if another configuration has become
// active since. The key may have been revoked while the request waited.
func (k *Kernel) reauthorize(req *ActiveRequest) Reason {
	if req.tableVersion == k.table.Version {
		return ReasonNone
	}
	had := req.Account
	reason := k.authorize(req)
	if reason == ReasonNone && had != nil && req.Account != nil && had.Name != req.Account.Name {
		// The request is charged to the account that it was admitted for.
		return ReasonNoAccount
	}
	return reason
}

// priority returns the priority of the request, where 0 is the most urgent.
func (req *ActiveRequest) priority() int {
	if req.Account != nil && req.Account.Priority != nil {
		return *req.Account.Priority
	}
	return req.Route.Priority
}
