package command

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
)

type (
	// DrainArguments holds the subcommands for drains.
	DrainArguments struct {
		Plan   *DrainPlanArguments   `arg:"subcommand:plan" help:"propose a new bundle with a drain added"`
		List   *DrainListArguments   `arg:"subcommand:list" help:"list the drains in force"`
		Cancel *DrainCancelArguments `arg:"subcommand:cancel" help:"propose a new bundle with a drain removed"`
	}

	// DrainPlanArguments describes one drain.
	DrainPlanArguments struct {
		Name   string             `arg:"positional,required"`
		Kind   operator.DrainKind `arg:"--kind,required" help:"backend-server, proxy or region"`
		Target string             `arg:"--target,required"`
		Start  time.Time          `arg:"--start" help:"RFC 3339; default is now"`
		End    time.Time          `arg:"--end" help:"RFC 3339; without an end if omitted"`
		Key    string             `arg:"--key,required" help:"the author's key file"`
	}

	// DrainListArguments has no fields.
	DrainListArguments struct{}

	// DrainCancelArguments selects a drain.
	DrainCancelArguments struct {
		Name string `arg:"positional,required"`
		Key  string `arg:"--key,required" help:"the author's key file"`
	}
)

func (a *DrainArguments) run(s *session) (Result, error) {
	switch {
	case a.Plan != nil:
		return a.Plan.run(s)
	case a.List != nil:
		return listDrains(s)
	case a.Cancel != nil:
		return a.Cancel.run(s)
	}
	return Result{}, usageError("drain: a subcommand is required: plan, list or cancel")
}

// nextBundle returns a copy of the bundle in force with its version incremented.
func (s *session) nextBundle() (*operator.Bundle, error) {
	b, err := s.currentBundle()
	if err != nil {
		return nil, err
	}
	if b == nil {
		return nil, errors.New("no bundle is in force")
	}
	b.Version++
	return b, nil
}

func (a *DrainPlanArguments) run(s *session) (Result, error) {
	b, err := s.nextBundle()
	if err != nil {
		return Result{}, err
	}
	if a.Start.IsZero() {
		a.Start = time.Now().UTC().Truncate(time.Second)
	}
	b.Drains = append(b.Drains, operator.Drain{Name: a.Name, Kind: a.Kind, Target: a.Target, Start: a.Start, End: a.End})
	if err := b.Validate(); err != nil {
		return Result{}, err
	}
	return proposeBundle(s, b, a.Key)
}

func (a *DrainCancelArguments) run(s *session) (Result, error) {
	b, err := s.nextBundle()
	if err != nil {
		return Result{}, err
	}
	index := slices.IndexFunc(b.Drains, func(d operator.Drain) bool { return d.Name == a.Name })
	if index < 0 {
		return Result{}, usageError("there is no drain named " + a.Name)
	}
	b.Drains = slices.Delete(b.Drains, index, index+1)
	return proposeBundle(s, b, a.Key)
}

func listDrains(s *session) (Result, error) {
	b, err := s.currentBundle()
	if err != nil {
		return Result{}, err
	}
	if b == nil || len(b.Drains) == 0 {
		return Result{Text: "no drains", Data: []operator.Drain{}}, nil
	}
	var text strings.Builder
	now := time.Now()
	for _, d := range b.Drains {
		state := "planned"
		switch {
		case d.Active(now):
			state = "active"
		case now.After(d.Start):
			state = "over"
		}
		fmt.Fprintf(&text, "%-20s %-15s %-25s %s %s\n", d.Name, d.Kind, d.Target, d.Start.Format(time.RFC3339), state)
	}
	return Result{Text: text.String(), Data: b.Drains}, nil
}
