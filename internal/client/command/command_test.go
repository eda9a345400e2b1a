package command

import (
	"context"
	"strings"
	"testing"
)

// Incomplete command lines must print one message that states what is missing, and return
// ExitUsage, which scripts rely on.
func TestUsageErrors(t *testing.T) {
	for _, c := range []struct {
		arguments Arguments
		want      string
	}{
		{Arguments{}, "a command is required; --help lists all commands"},
		{Arguments{Steering: &SteeringArguments{}}, "steering: a subcommand is required: status, servers, routes, accounts, signals, explain, events, losses or replay"},
		{Arguments{Steering: &SteeringArguments{Status: &SteeringStatusArguments{}}}, "--proxy: at least one address is required"},
		{Arguments{Keys: &KeysArguments{}}, "keys: a subcommand is required: new or list"},
	} {
		var out, errOut strings.Builder
		code := Run(context.Background(), c.arguments, &out, &errOut)
		if code != ExitUsage {
			t.Errorf("%q: exit code %d, want %d", c.want, code, ExitUsage)
		}
		if got, want := strings.TrimSpace(errOut.String()), "gypsumquayctl: "+c.want; got != want {
			t.Errorf("error output is %q, want %q", got, want)
		}
	}
}
