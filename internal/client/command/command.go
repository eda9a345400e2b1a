// Package command implements the operators' command line. Each command returns its result as a
// value; Run prints it and determines the exit code.
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
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailure covers failures without a specific exit code.
	ExitFailure = 1
	// ExitUsage means that the command line or an input file is invalid.
	ExitUsage = 2
	// ExitRejected means that the request was rejected, for example because of its signature.
	ExitRejected = 3
	// ExitLostRace means that another bundle was rolled out under the same version first.
	ExitLostRace = 4
	// ExitUndecided means that the platform has not confirmed the result; the command can be
	// retried.
	ExitUndecided = 5
	// ExitNoProxy means that no proxy responded.
	ExitNoProxy = 6
)

var (
	errUsage     = errors.New("invalid command line or input file")
	errLostRace  = errors.New("another bundle already has this version; check it with `bundle show` and propose the next version")
	errUndecided = errors.New("the platform has not confirmed that the bundle is in force; run the same command again")
)

type (
	// Arguments is the parsed command line.
	Arguments struct {
		Proxies   []netip.AddrPort `arg:"-p,--proxy,separate,env:GYPSUMQUAY_PROXIES" help:"operator address of a proxy; repeat for more (the variable takes them comma-separated)"`
		Authority string           `arg:"--authority,env:GYPSUMQUAY_AUTHORITY" help:"PEM file of the proxies' certificate authority"`
		JSON      bool             `arg:"--json" help:"print JSON"`

		Keys     *KeysArguments     `arg:"subcommand:keys" help:"create and list operators' keys"`
		Bundle   *BundleArguments   `arg:"subcommand:bundle" help:"check, propose, approve and roll out bundles"`
		Drain    *DrainArguments    `arg:"subcommand:drain" help:"plan, list and cancel drains"`
		Status   *StatusArguments   `arg:"subcommand:status" help:"state and versions of all proxies, headroom by region"`
		Lookup   *LookupArguments   `arg:"subcommand:lookup" help:"explain a lookup response"`
		Events   *EventsArguments   `arg:"subcommand:events" help:"merged event log of all proxies"`
		Steering *SteeringArguments `arg:"subcommand:steering" help:"proxies on the platform: status, servers, routes, explain a request"`
		Version  *VersionArguments  `arg:"subcommand:version" help:"print the version"`
	}

	// VersionArguments has no fields.
	VersionArguments struct{}

	// Result is the output of a command: Text is printed by default, Data with --json.
	Result struct {
		Text string
		Data any
	}

	// usageError is the message about an invalid command line or input file.
	usageError string

	session struct {
		ctx    context.Context
		client *operatorhttp.Client
		// proxies are the operator addresses given on the command line.
		proxies []netip.AddrPort
	}
)

// Error returns the message.
func (e usageError) Error() string { return string(e) }

// Is reports every usageError as errUsage, which determines the exit code.
func (e usageError) Is(target error) bool { return target == errUsage }

// Description returns the first line of the help text.
func (Arguments) Description() string {
	return "gypsumquayctl is the command-line client for operators of gypsumquay."
}

// Epilogue returns the end of the help text, which lists the exit codes.
func (Arguments) Epilogue() string {
	return "Exit codes: 0 success, 1 failure, 2 invalid command line or file, 3 rejected, 4 version already taken, 5 undecided (run again), 6 no proxy answers."
}

// Run executes the command line, prints the result to out or the error to errOut, and returns the
// exit code.
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
	return Result{}, usageError("a command is required; --help lists all commands")
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
		return nil, usageError(path + " contains no certificate")
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool}, nil
}

func rolloutError(result kv.RolloutResult) error {
	switch result {
	case kv.RolloutAccepted:
		return nil
	case kv.RolloutLostRace:
		return errLostRace
	case kv.RolloutWrongVersion:
		return usageError("the bundle's version must be one more than the one in force")
	}
	return errUndecided
}
