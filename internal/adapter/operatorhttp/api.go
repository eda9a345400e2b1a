// Package operatorhttp is the system's face to operators: the interface that
// each proxy offers and the client that the command line uses.
package operatorhttp

import (
	"github.com/gypsumquay/gypsumquay/internal/kernel/core"
	"github.com/gypsumquay/gypsumquay/internal/kernel/kv"
	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
)

const (
	// PathStatus describes one proxy.
	PathStatus = "/v1/status"
	// PathMembers lists all proxies that one knows.
	PathMembers = "/v1/members"
	// PathEvents lists one proxy's event log.
	PathEvents = "/v1/events"
	// PathBundle is the signed bundle in force.
	PathBundle = "/v1/bundle"
	// PathProposals lists and takes proposed bundles.
	PathProposals = "/v1/proposals"
	// PathRollout brings a signed bundle into force.
	PathRollout = "/v1/rollout"
)

type (
	// RolloutResponse is what became of a roll-out and which version is in force.
	RolloutResponse struct {
		Result         kv.RolloutResult `json:"verdict"`
		CurrentVersion uint64           `json:"current-version"`
	}

	// ErrorResponse is the body of an answer that is not a success.
	ErrorResponse struct {
		Error string `json:"error"`
	}

	// ProposalsResponse lists envelopes that wait for approval or roll-out.
	ProposalsResponse struct {
		Envelopes []operator.Envelope `json:"proposals"`
	}

	// MembersResponse lists proxies.
	MembersResponse struct {
		Members []peer.Member `json:"members"`
	}

	// EventsResponse is a stretch of one proxy's event log.
	EventsResponse struct {
		Events []core.Event `json:"events"`
	}
)
