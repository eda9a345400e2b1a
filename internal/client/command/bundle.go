package command

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/adapter/operatorhttp"
	"github.com/gypsumquay/gypsumquay/internal/kernel/backend"
	"github.com/gypsumquay/gypsumquay/internal/kernel/errs"
	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
	"github.com/gypsumquay/gypsumquay/internal/kernel/peer"
	"github.com/gypsumquay/gypsumquay/internal/kernel/region"
)

const (
	shortDigestLength   = 12
	rolloutPollInterval = 20 * time.Millisecond
)

type (
	// BundleArguments holds the subcommands for bundles.
	BundleArguments struct {
		Check   *BundleFileArguments    `arg:"subcommand:check" help:"check a bundle file"`
		Diff    *BundleFileArguments    `arg:"subcommand:diff" help:"show how a file differs from the bundle in force"`
		Show    *BundleShowArguments    `arg:"subcommand:show" help:"print the bundle in force"`
		List    *BundleShowArguments    `arg:"subcommand:list" help:"list proposed bundles"`
		Propose *BundleProposeArguments `arg:"subcommand:propose" help:"sign a bundle file as its author and store it"`
		Approve *BundleApproveArguments `arg:"subcommand:approve" help:"sign a proposed bundle as a second operator"`
		Rollout *BundleRolloutArguments `arg:"subcommand:rollout" help:"put an approved bundle into force"`
	}

	// BundleFileArguments selects a bundle file.
	BundleFileArguments struct {
		File string `arg:"positional,required"`
	}

	// BundleShowArguments has no fields.
	BundleShowArguments struct{}

	// BundleProposeArguments selects a bundle file and the author's key.
	BundleProposeArguments struct {
		File string `arg:"positional,required"`
		Key  string `arg:"--key,required" help:"the author's key file"`
	}

	// BundleApproveArguments selects a proposal and the approver's key.
	BundleApproveArguments struct {
		Digest string `arg:"positional,required" help:"the proposal's digest or a unique prefix of it"`
		Key    string `arg:"--key,required" help:"the approver's key file"`
	}

	// BundleRolloutArguments selects an approved proposal.
	BundleRolloutArguments struct {
		Digest string        `arg:"positional,required" help:"the proposal's digest or a unique prefix of it"`
		Wait   time.Duration `arg:"--wait" default:"10s" help:"maximum time to wait until all proxies use the bundle"`
	}

	proposalSummary struct {
		Digest   operator.Digest   `json:"digest"`
		Version  uint64            `json:"version"`
		Author   string            `json:"author"`
		Approver string            `json:"approver,omitempty"`
		Changes  []operator.Change `json:"changes"`
	}

	rolloutSummary struct {
		Version  uint64            `json:"version"`
		Seconds  float64           `json:"seconds-until-in-force"`
		Versions map[string]uint64 `json:"bundle-versions"`
		Behind   []string          `json:"behind,omitempty"`
	}
)

func (a *BundleArguments) run(s *session) (Result, error) {
	switch {
	case a.Check != nil:
		return a.Check.check()
	case a.Diff != nil:
		return a.Diff.diff(s)
	case a.Show != nil:
		return showBundle(s)
	case a.List != nil:
		return listProposals(s)
	case a.Propose != nil:
		return a.Propose.run(s)
	case a.Approve != nil:
		return a.Approve.run(s)
	case a.Rollout != nil:
		return a.Rollout.run(s)
	}
	return Result{}, usageError("bundle: a subcommand is required: check, diff, show, list, propose, approve or rollout")
}

// readBundle reads and validates a bundle file, including the names of balancer and planner.
func readBundle(path string) (*operator.Bundle, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError(err.Error())
	}
	b, err := operator.ParseBundle(data)
	if err != nil {
		var field *operator.FieldError
		if errors.As(err, &field) {
			return nil, err
		}
		return nil, usageError(err.Error())
	}
	return b, checkPluginNames(b)
}

func checkPluginNames(b *operator.Bundle) error {
	if !slices.Contains(backend.Balancers(), b.Balancer) {
		return &operator.FieldError{Field: "balancer", Want: "one of " + strings.Join(backend.Balancers(), ", "), Got: b.Balancer}
	}
	if !slices.Contains(region.PlannerNames(), b.Shift.Planner) {
		return &operator.FieldError{Field: "shift.planner", Want: "one of " + strings.Join(region.PlannerNames(), ", "), Got: b.Shift.Planner}
	}
	return nil
}

func (a *BundleFileArguments) check() (Result, error) {
	b, err := readBundle(a.File)
	if err != nil {
		return Result{}, err
	}
	return Result{
		Text: fmt.Sprintf("version %d is in order, digest %s", b.Version, b.Digest()),
		Data: map[string]any{"version": b.Version, "digest": b.Digest()},
	}, nil
}

// currentBundle returns the bundle in force, or nil if there is none yet.
func (s *session) currentBundle() (*operator.Bundle, error) {
	e, err := s.client.Bundle(s.ctx)
	if errors.Is(err, operatorhttp.ErrRejected) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return operator.ParseBundle(e.Bundle)
}

func (a *BundleFileArguments) diff(s *session) (Result, error) {
	b, err := readBundle(a.File)
	if err != nil {
		return Result{}, err
	}
	current, err := s.currentBundle()
	if err != nil {
		return Result{}, err
	}
	changes := operator.Diff(current, b)
	return Result{Text: changesText(changes), Data: changes}, nil
}

func changesText(changes []operator.Change) string {
	if len(changes) == 0 {
		return "no difference"
	}
	var text strings.Builder
	for _, c := range changes {
		fmt.Fprintf(&text, "%-50s %s -> %s\n", c.Field, orNone(c.Old), orNone(c.New))
	}
	return text.String()
}

func orNone(text string) string {
	if text == "" {
		return "(none)"
	}
	return text
}

func showBundle(s *session) (Result, error) {
	b, err := s.currentBundle()
	if err != nil {
		return Result{}, err
	}
	if b == nil {
		return Result{}, errors.New("no bundle is in force")
	}
	data, err := json.MarshalIndent(b, "", "  ")
	return Result{Text: string(data), Data: b}, errs.Wrap(err, "encode")
}

func listProposals(s *session) (Result, error) {
	envelopes, err := s.client.Proposals(s.ctx)
	if err != nil {
		return Result{}, err
	}
	current, err := s.currentBundle()
	if err != nil {
		return Result{}, err
	}
	var text strings.Builder
	var proposals []proposalSummary
	for _, e := range envelopes {
		b, err := operator.ParseBundle(e.Bundle)
		if err != nil || current != nil && b.Version <= current.Version {
			continue
		}
		p := proposalSummary{Digest: e.Digest, Version: b.Version, Author: e.Author.Operator, Approver: e.Approver.Operator, Changes: operator.Diff(current, b)}
		proposals = append(proposals, p)
		fmt.Fprintf(&text, "%s version %d by %s, approved by %s, %d changes\n", p.Digest[:shortDigestLength], p.Version, p.Author, orNone(p.Approver), len(p.Changes))
	}
	if len(proposals) == 0 {
		text.WriteString("no proposals")
	}
	return Result{Text: text.String(), Data: proposals}, nil
}

func (a *BundleProposeArguments) run(s *session) (Result, error) {
	b, err := readBundle(a.File)
	if err != nil {
		return Result{}, err
	}
	return proposeBundle(s, b, a.Key)
}

// proposeBundle signs a bundle and stores it for approval by a second operator.
func proposeBundle(s *session, b *operator.Bundle, keyFile string) (Result, error) {
	key, err := readKey(keyFile)
	if err != nil {
		return Result{}, err
	}
	current, err := s.currentBundle()
	if err != nil {
		return Result{}, err
	}
	e, err := key.Propose(b)
	if err != nil {
		return Result{}, err
	}
	if err := s.client.Propose(s.ctx, e); err != nil {
		return Result{}, err
	}
	changes := operator.Diff(current, b)
	return Result{
		Text: fmt.Sprintf("%sproposed version %d, digest %s", changesText(changes), b.Version, e.Digest),
		Data: proposalSummary{Digest: e.Digest, Version: b.Version, Author: key.Operator, Changes: changes},
	}, nil
}

// findProposal returns the only proposal whose digest has the given prefix.
func (s *session) findProposal(digest string) (*operator.Envelope, error) {
	envelopes, err := s.client.Proposals(s.ctx)
	if err != nil {
		return nil, err
	}
	var found *operator.Envelope
	for i := range envelopes {
		if !strings.HasPrefix(string(envelopes[i].Digest), digest) {
			continue
		}
		if found != nil {
			return nil, usageError("several proposals have a digest that begins with " + digest)
		}
		found = &envelopes[i]
	}
	if found == nil {
		return nil, usageError("no proposal has a digest that begins with " + digest)
	}
	return found, nil
}

func (a *BundleApproveArguments) run(s *session) (Result, error) {
	key, err := readKey(a.Key)
	if err != nil {
		return Result{}, err
	}
	e, err := s.findProposal(a.Digest)
	if err != nil {
		return Result{}, err
	}
	b, err := operator.ParseBundle(e.Bundle)
	if err != nil {
		return Result{}, err
	}
	current, err := s.currentBundle()
	if err != nil {
		return Result{}, err
	}
	if err := key.Approve(e); err != nil {
		return Result{}, err
	}
	if err := s.client.Propose(s.ctx, e); err != nil {
		return Result{}, err
	}
	changes := operator.Diff(current, b)
	return Result{
		Text: fmt.Sprintf("%sapproved version %d by %s", changesText(changes), b.Version, e.Author.Operator),
		Data: proposalSummary{Digest: e.Digest, Version: b.Version, Author: e.Author.Operator, Approver: key.Operator, Changes: changes},
	}, nil
}

func (a *BundleRolloutArguments) run(s *session) (Result, error) {
	e, err := s.findProposal(a.Digest)
	if err != nil {
		return Result{}, err
	}
	// The operation ID is derived from the bundle and its approval, so that a retry after a lost
	// response, by any operator, is the same operation.
	e.OperationID = "rollout-" + string(e.Digest) + "-" + e.Approver.Value
	start := time.Now()
	outcome, err := s.client.Rollout(s.ctx, e)
	if err != nil {
		return Result{}, err
	}
	if err := rolloutError(outcome.Result); err != nil {
		return Result{}, err
	}
	return s.waitInForce(outcome.CurrentVersion, start, a.Wait), nil
}

// waitInForce polls all running proxies until each uses the version or the timeout has passed.
func (s *session) waitInForce(version uint64, start time.Time, timeout time.Duration) Result {
	summary := rolloutSummary{Version: version}
	for {
		summary.Versions, summary.Behind = s.bundleVersions(version)
		summary.Seconds = time.Since(start).Seconds()
		if len(summary.Behind) == 0 || time.Since(start) > timeout {
			break
		}
		time.Sleep(rolloutPollInterval)
	}
	text := fmt.Sprintf("version %d is in force on %d proxies after %.2f s", version, len(summary.Versions)-len(summary.Behind), summary.Seconds)
	if len(summary.Behind) > 0 {
		text += "; not yet on " + strings.Join(summary.Behind, ", ")
	}
	return Result{Text: text, Data: summary}
}

func (s *session) bundleVersions(version uint64) (map[string]uint64, []string) {
	versions := make(map[string]uint64)
	var behind []string
	members, err := s.client.Members(s.ctx)
	if err != nil {
		return versions, []string{"all"}
	}
	for _, m := range members.Members {
		if m.State == peer.StateGone || m.State == peer.StateSuspect {
			continue
		}
		status, err := s.client.Status(s.ctx, m.OperatorAddress)
		if err != nil || status.Bundle < version {
			behind = append(behind, m.Name)
		}
		versions[m.Name] = status.Bundle
	}
	return versions, behind
}
