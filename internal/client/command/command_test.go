package command

import (
	"context"
	"strings"
	"testing"
)

// An operator mistypes a command. The message must say what is missing and end
// there, and scripts go by the exit code.
func TestUsageErrors(t *testing.T) {
	for _, c := range []struct {
		arguments Arguments
		want      string
	}{
		{Arguments{}, "name a command; --help lists them"},
		{Arguments{Steering: &SteeringArguments{}}, "steering: needs status, servers, routes, accounts, signals, explain, events, losses or replay"},
		{Arguments{Steering: &SteeringArguments{Status: &SteeringStatusArguments{}}}, "--proxy: name at least one"},
		{Arguments{Keys: &KeysArguments{}}, "keys: new or list"},
	} {
		var out, errOut strings.Builder
		code := Run(context.Background(), c.arguments, &out, &errOut)
		if code != ExitUsage {
			t.Errorf("%q: exit code %d, want %d", c.want, code, ExitUsage)
		}
		if got, want := strings.TrimSpace(errOut.String()), "gypsumquayctl: "+c.want; got != want {
			t.Errorf("complaint is %q, want %q", got, want)
		}
	}
}
