// Package command is the operators' command line. Each command returns its
// result as a value; printing and exit codes are decided in one place.
package command

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strings"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/adapter/operatorhttp"
	"github.com/gypsumquay/gypsumquay/internal/kernel/kv"
	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
)

const (
	// ExitOK means that the command did what was asked.
	ExitOK = 0
	// ExitFailure is any failure without a code of its own.
	ExitFailure = 1
	// ExitUsage means that the command line or a file is wrong.
	ExitUsage = 2
	// ExitRejected means that a proxy refused, for example a signature.
	ExitRejected = 3
	// ExitLostRace means that another bundle took the version.
	ExitLostRace = 4
	// ExitUndecided means that the platform does not say yet; run it again.
	ExitUndecided = 5
	// ExitNoProxy means that no proxy answered.
	ExitNoProxy = 6
)

var (
	errUsage     = errors.New("the command line or a file is wrong")
	errLostRace  = errors.New("another bundle has taken this version; see `bundle show`, then propose the next one")
	errUndecided = errors.New("the platform does not say whether the bundle is in force; run the same command again")
)

type (
	// Arguments is the whole command line.
	Arguments struct {
		Proxies   []netip.AddrPort `arg:"-p,--proxy,separate,env:GYPSUMQUAY_PROXIES" help:"operator address of a proxy; repeat for more (the variable takes them comma-separated)"`
		Authority string           `arg:"--authority,env:GYPSUMQUAY_AUTHORITY" help:"PEM file of the proxies' certificate authority"`
		JSON      bool             `arg:"--json" help:"print JSON"`

		Keys     *KeysArguments     `arg:"subcommand:keys" help:"make and list operators' keys"`
		Bundle   *BundleArguments   `arg:"subcommand:bundle" help:"check, propose, approve and roll out bundles"`
		Drain    *DrainArguments    `arg:"subcommand:drain" help:"plan, list and cancel drains"`
		Status   *StatusArguments   `arg:"subcommand:status" help:"who is live, at which versions, headroom by region"`
		Lookup   *LookupArguments   `arg:"subcommand:lookup" help:"explain a look-up answer"`
		Events   *EventsArguments   `arg:"subcommand:events" help:"event log of all proxies, merged"`
		Steering *SteeringArguments `arg:"subcommand:steering" help:"proxies on the platform: status, servers, routes, explain a request"`
		Version  *VersionArguments  `arg:"subcommand:version" help:"print the version"`
	}

	// VersionArguments has no fields.
	VersionArguments struct{}

	// Result is what a command prints: Text for people, Data for --json.
	Result struct {
		Text string
		Data any
	}

	// usageError is a wrong command line or file; its text is the message.
	usageError string

	session struct {
		ctx    context.Context
		client *operatorhttp.Client
		// proxies are the operator addresses given on the command line.
		proxies []netip.AddrPort
	}
)

// Error implements error.
func (e usageError) Error() string { return string(e) }

// Is makes the message an errUsage, which decides the exit code.
func (e usageError) Is(target error) bool { return target == errUsage }

// Description is shown by --help.
func (Arguments) Description() string {
	return "gypsumquayctl is the operators' client of gypsumquay."
}

// Epilogue documents the exit codes.
func (Arguments) Epilogue() string {
	return "Exit codes: 0 done, 1 failure, 2 usage or a wrong file, 3 refused, 4 lost the race, 5 undecided (run again), 6 no proxy answers."
}

// Run carries the command line out and prints the result.
func Run(ctx context.Context, a Arguments, out, errOut io.Writer) int {
	result, err := dispatch(ctx, a)
	if err != nil {
		if a.JSON {
			_ = json.NewEncoder(out).Encode(map[string]string{"error": err.Error()})
		}
		_, _ = fmt.Fprintln(errOut, "gypsumquayctl:", err)
		return exitCode(err)
	}
	if a.JSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		_ = encoder.Encode(result.Data)
		return ExitOK
	}
	_, _ = fmt.Fprintln(out, strings.TrimRight(result.Text, "\n"))
	return ExitOK
}

func exitCode(err error) int {
	var field *operator.FieldError
	switch {
	case errors.Is(err, errUsage), errors.As(err, &field):
		return ExitUsage
	case errors.Is(err, errLostRace):
		return ExitLostRace
	case errors.Is(err, errUndecided):
		return ExitUndecided
	case errors.Is(err, operatorhttp.ErrRejected), errors.Is(err, operator.ErrSameOperator):
		return ExitRejected
	case errors.Is(err, operatorhttp.ErrNoProxy):
		return ExitNoProxy
	}
	return ExitFailure
}

func dispatch(ctx context.Context, a Arguments) (Result, error) {
	config, err := loadTLSConfig(a.Authority)
	if err != nil {
		return Result{}, err
	}
	s := &session{ctx: ctx, client: operatorhttp.NewClient(a.Proxies, config), proxies: a.Proxies}
	switch {
	case a.Keys != nil:
		return a.Keys.run()
	case a.Bundle != nil:
		return a.Bundle.run(s)
	case a.Drain != nil:
		return a.Drain.run(s)
	case a.Status != nil:
		return a.Status.run(s)
	case a.Lookup != nil:
		return a.Lookup.run(s)
	case a.Events != nil:
		return a.Events.run(s)
	case a.Steering != nil:
		return a.Steering.run(s)
	case a.Version != nil:
		return Result{Text: "gypsumquay " + version, Data: map[string]string{"version": version}}, nil
	}
	return Result{}, usageError("name a command; --help lists them")
}

func loadTLSConfig(path string) (*tls.Config, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, usageError(err.Error())
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, usageError(path + " holds no certificate")
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool}, nil
}

func rolloutError(v kv.RolloutResult) error {
	switch v {
	case kv.RolloutAccepted:
		return nil
	case kv.RolloutLostRace:
		return errLostRace
	case kv.RolloutWrongVersion:
		return usageError("the bundle's version must be one more than the one in force")
	}
	return errUndecided
}
