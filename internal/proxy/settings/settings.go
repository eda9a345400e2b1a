// Package settings reads and validates the JSON file with a proxy's own addresses, its region and
// failure domain, the platform's addresses and the trusted operators.
package settings

import (
	"net/netip"
	"os"
	"strings"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
)

const (
	defaultMaxInFlight       = 4096
	defaultMaxBodyBytes      = 1 << 20
	defaultMaxTotalBodyBytes = 64 << 20
	// inFlightLimit and totalBodyBytesLimit are the largest values that a settings file may set.
	inFlightLimit       = 1_000_000
	totalBodyBytesLimit = 1 << 34
	maxNameLength       = 64
)

type (
	// Settings is the content of the settings file.
	Settings struct {
		Name          string          `json:"name"`
		Region        string          `json:"region"`
		FailureDomain string          `json:"failure-domain"`
		Listen        ListenAddresses `json:"listen"`
		Limits        Limits          `json:"limits"`
		TLS           TLSFiles        `json:"tls"`
		// PlatformAddresses are the addresses of the platform's key-value service.
		PlatformAddresses []netip.AddrPort `json:"platform"`
		// SeedPeers are the peer addresses of other proxies, by which this proxy joins the fleet.
		SeedPeers []netip.AddrPort `json:"seed-peers"`
		// TrustedOperators are the keys that may sign bundles.
		TrustedOperators []operator.TrustedKey `json:"trusted-operators"`
	}

	// ListenAddresses are the addresses that this proxy listens on and advertises to others.
	ListenAddresses struct {
		Callers   netip.AddrPort `json:"callers"`
		Peers     netip.AddrPort `json:"peers"`
		Operators netip.AddrPort `json:"operators"`
	}

	// Limits are the maximum number of requests in flight and the maximum sizes of their bodies in
	// bytes, of one and of all together.
	Limits struct {
		MaxInFlight       int   `json:"in-flight-requests"`
		MaxBodyBytes      int64 `json:"request-body-bytes"`
		MaxTotalBodyBytes int64 `json:"all-request-bodies-bytes"`
	}

	// TLSFiles are the paths of PEM files. If they are set, peers must present a certificate signed
	// by the certificate authority, and the operators' listener serves HTTPS.
	TLSFiles struct {
		Certificate string `json:"certificate-file,omitempty"`
		Key         string `json:"key-file,omitempty"`
		Authority   string `json:"authority-file,omitempty"`
	}
)

// Load reads and validates a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(data)
}

// Parse decodes and validates settings. Missing limits get their defaults.
func Parse(data []byte) (*Settings, error) {
	s := &Settings{Limits: Limits{
		MaxInFlight: defaultMaxInFlight, MaxBodyBytes: defaultMaxBodyBytes, MaxTotalBodyBytes: defaultMaxTotalBodyBytes,
	}}
	if err := operator.DecodeStrict(data, s); err != nil {
		return nil, errors.Wrap(err, "parse settings")
	}
	return s, s.Validate()
}

// Validate returns the errors of all invalid fields.
func (s *Settings) Validate() error {
	var problems []error
	add := func(field, want, got string) {
		problems = append(problems, &operator.FieldError{Field: field, Want: want, Got: got})
	}
	for _, n := range []struct{ field, got string }{
		{"name", s.Name}, {"region", s.Region}, {"failure-domain", s.FailureDomain},
	} {
		if n.got == "" || len(n.got) > maxNameLength || strings.Trim(n.got, "abcdefghijklmnopqrstuvwxyz0123456789-") != "" {
			add(n.field, "1 to 64 lower-case letters, digits and hyphens", quote(n.got))
		}
	}
	for _, a := range []struct {
		field string
		got   netip.AddrPort
	}{
		{"listen.callers", s.Listen.Callers}, {"listen.peers", s.Listen.Peers}, {"listen.operators", s.Listen.Operators},
	} {
		if !a.got.IsValid() || a.got.Port() == 0 || a.got.Addr().IsUnspecified() {
			add(a.field, "an IP address that others reach, and a port", quote(a.got.String()))
		}
	}
	if s.Limits.MaxInFlight < 1 || s.Limits.MaxInFlight > inFlightLimit {
		add("limits.in-flight-requests", "between 1 and 1000000", "another number")
	}
	if s.Limits.MaxBodyBytes < 1 || s.Limits.MaxBodyBytes > s.Limits.MaxTotalBodyBytes {
		add("limits.request-body-bytes", "between 1 and limits.all-request-bodies-bytes", "another number")
	}
	if s.Limits.MaxTotalBodyBytes > totalBodyBytesLimit {
		add("limits.all-request-bodies-bytes", "at most 16 GiB", "more")
	}
	problems = append(problems, s.validatePlatformAndTrust()...)
	return errors.Join(problems...)
}

func (s *Settings) validatePlatformAndTrust() []error {
	var problems []error
	if len(s.PlatformAddresses) == 0 {
		problems = append(problems, &operator.FieldError{Field: "platform", Want: "at least one address", Got: "none"})
	}
	operators := make(map[string]bool)
	for _, k := range s.TrustedOperators {
		operators[k.Operator] = true
	}
	if len(operators) < 2 {
		problems = append(problems, &operator.FieldError{
			Field: "trusted-operators", Want: "keys of at least two people", Got: quote(strings.Join(setMembers(operators), ", ")),
		})
	}
	fileCount := 0
	for _, file := range []string{s.TLS.Certificate, s.TLS.Key, s.TLS.Authority} {
		if file != "" {
			fileCount++
		}
	}
	if fileCount != 0 && fileCount != 3 {
		problems = append(problems, &operator.FieldError{Field: "tls", Want: "all three files or none", Got: "some"})
	}
	return problems
}

func setMembers(set map[string]bool) []string {
	var names []string
	for name := range set {
		names = append(names, name)
	}
	return names
}

func quote(text string) string { return `"` + text + `"` }
