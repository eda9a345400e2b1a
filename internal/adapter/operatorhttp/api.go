// Package operatorhttp implements the HTTP API for operators: the server that runs in each proxy
// and the client that the command line uses.
package operatorhttp

import (
	"github.com/gypsumquay/gypsumquay/internal/kernel/core"
	"github.com/gypsumquay/gypsumquay/internal/kernel/kv"
	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
)

const (
	// PathStatus returns the status of the proxy.
	PathStatus = "/v1/status"
	// PathMembers lists all proxies that the proxy knows.
	PathMembers = "/v1/members"
	// PathEvents lists the proxy's event log.
	PathEvents = "/v1/events"
	// PathBundle returns the envelope of the current bundle.
	PathBundle = "/v1/bundle"
	// PathProposals lists proposed bundles and accepts new ones.
	PathProposals = "/v1/proposals"
	// PathRollout rolls out a signed bundle.
	PathRollout = "/v1/rollout"
)

type (
	// RolloutResponse is the outcome of a rollout, with the version of the current bundle.
	RolloutResponse struct {
		Result         kv.RolloutResult `json:"verdict"`
		CurrentVersion uint64           `json:"current-version"`
	}

	// ErrorResponse is the body of an unsuccessful response.
	ErrorResponse struct {
		Error string `json:"error"`
	}

	// ProposalsResponse lists the envelopes that await approval or rollout.
	ProposalsResponse struct {
		Envelopes []operator.Envelope `json:"proposals"`
	}

	// MembersResponse lists the proxies that the responding proxy knows.
	MembersResponse struct {
		Members []peer.Member `json:"members"`
	}

	// EventsResponse is a part of a proxy's event log.
	EventsResponse struct {
		Events []core.Event `json:"events"`
	}
)
