package operator

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// Bounds of the values in a bundle. Rates are in requests per second, names in bytes.
const (
	maxServices      = 500
	maxServers       = 5000
	maxRegions       = 64
	maxDeadline      = time.Minute
	minDuration      = 100 * time.Millisecond
	maxDuration      = 10 * time.Minute
	fullPermille     = 1000
	maxAttempts      = 5
	maxLookupProxies = 16
	maxTokenDuration = time.Hour
	maxRateLimit     = 10_000_000
	maxNameLength    = 64
)

type (
	// FieldError describes an invalid field of a bundle or settings file: its path, the expected
	// value and the actual one.
	FieldError struct {
		Field string
		Want  string
		Got   string
	}

	validator struct {
		errs           []error
		regionOfDomain map[string]string
	}
)

// Error returns a message with the field, the expected value and the actual one.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: must be %s, got %s", e.Field, e.Want, e.Got)
}

// Validate checks all fields and returns one FieldError for each invalid one, so that an operator
// can correct a bundle in a single pass.
func (b *Bundle) Validate() error {
	c := &validator{regionOfDomain: make(map[string]string)}
	c.atLeast("version", int64(b.Version), 1)
	c.regions(b)
	c.links(b)
	c.services(b)
	c.steeringRules(b)
	c.trafficSettings(b)
	c.drains(b)
	return errors.Join(c.errs...)
}

func (c *validator) addError(field, want string, got any) {
	c.errs = append(c.errs, &FieldError{Field: field, Want: want, Got: fmt.Sprint(got)})
}

func (c *validator) atLeast(field string, got, minimum int64) {
	if got < minimum {
		c.addError(field, fmt.Sprintf("at least %d", minimum), got)
	}
}

func (c *validator) inRange(field string, got, minimum, maximum int) {
	if got < minimum || got > maximum {
		c.addError(field, fmt.Sprintf("between %d and %d", minimum, maximum), got)
	}
}

func (c *validator) durationInRange(field string, got Duration, minimum, maximum time.Duration) {
	if got.Std() < minimum || got.Std() > maximum {
		c.addError(field, fmt.Sprintf("between %s and %s", minimum, maximum), got.Std())
	}
}

// uniqueName checks the syntax of a name and that it isn't in seen yet, and adds it there.
func (c *validator) uniqueName(field, got string, seen map[string]bool) {
	switch {
	case got == "" || len(got) > maxNameLength:
		c.addError(field, fmt.Sprintf("1 to %d characters", maxNameLength), fmt.Sprintf("%q", got))
	case strings.Trim(got, "abcdefghijklmnopqrstuvwxyz0123456789-") != "":
		c.addError(field, "lower-case letters, digits and hyphens", fmt.Sprintf("%q", got))
	case seen[got]:
		c.addError(field, "unique", fmt.Sprintf("%q again", got))
	}
	seen[got] = true
}

func (c *validator) regions(b *Bundle) {
	c.inRange("regions", len(b.Regions), 1, maxRegions)
	names := make(map[string]bool)
	for i, r := range b.Regions {
		field := fmt.Sprintf("regions[%d]", i)
		c.uniqueName(field+".name", r.Name, names)
		c.inRange(field+".capacity-per-second", r.Capacity, 1, maxRateLimit)
		c.inRange(field+".proxies", r.QuotaSlots, 0, maxServers)
		if len(r.Domains) == 0 {
			c.addError(field+".failure-domains", "at least one name", "none")
		}
		seen := make(map[string]bool)
		for k, d := range r.Domains {
			c.uniqueName(fmt.Sprintf("%s.failure-domains[%d]", field, k), d, seen)
			if other, taken := c.regionOfDomain[d]; taken {
				c.addError(field+".failure-domains", "unique over all regions", d+", also in "+other)
			}
			c.regionOfDomain[d] = r.Name
		}
	}
	if b.QuotaSlots() == 0 {
		c.addError("regions[].proxies", "at least 1 in total over all regions", 0)
	}
}

func (c *validator) existingRegion(b *Bundle, field, got string) {
	if _, ok := b.Region(got); !ok {
		c.addError(field, "the name of a region of this bundle", fmt.Sprintf("%q", got))
	}
}

func (c *validator) links(b *Bundle) {
	for i, l := range b.Links {
		field := fmt.Sprintf("links[%d]", i)
		c.existingRegion(b, field+".from", l.From)
		c.existingRegion(b, field+".to", l.To)
		c.inRange(field+".limit-per-second", l.Limit, 1, maxRateLimit)
		if l.From == l.To {
			c.addError(field+".to", "a region other than from", l.To+" itself")
		}
	}
}

func (c *validator) services(b *Bundle) {
	c.inRange("services", len(b.Services), 1, maxServices)
	names := make(map[string]bool)
	servers := make(map[string]bool)
	for i := range b.Services {
		s := &b.Services[i]
		field := fmt.Sprintf("services[%d]", i)
		c.uniqueName(field+".name", s.Name, names)
		c.durationInRange(field+".deadline", s.Deadline, time.Millisecond, maxDeadline)
		c.durationInRange(field+".slow-start", s.SlowStart, 0, maxDuration)
		for k, m := range s.IdempotentMethods {
			if !isKnownMethod(m) {
				c.addError(fmt.Sprintf("%s.idempotent-methods[%d]", field, k), "an HTTP method in upper case", fmt.Sprintf("%q", m))
			}
		}
		for k, r := range s.Routes {
			if !strings.HasPrefix(r.Prefix, "/") {
				c.addError(fmt.Sprintf("%s.routes[%d].path-prefix", field, k), `a path that begins with "/"`, fmt.Sprintf("%q", r.Prefix))
			}
		}
		c.inRange(field+".backend-servers", len(s.Servers), 1, maxServers)
		for k := range s.Servers {
			c.server(fmt.Sprintf("%s.backend-servers[%d]", field, k), &s.Servers[k], servers)
		}
	}
}

func (c *validator) server(field string, s *Server, seen map[string]bool) {
	c.uniqueName(field+".name", s.Name, seen)
	if !s.Address.IsValid() || s.Address.Port() == 0 {
		c.addError(field+".address", "an IP address and port", s.Address)
	}
	if c.regionOfDomain[s.Domain] != s.Region || s.Region == "" {
		c.addError(field+".failure-domain", "a failure domain of region "+s.Region, fmt.Sprintf("%q", s.Domain))
	}
	c.inRange(field+".slots", s.Slots, 1, maxServers)
	c.inRange(field+".connections", s.MaxConnections, 1, maxRateLimit)
}

func (c *validator) steeringRules(b *Bundle) {
	totalPermille := make(map[string]int)
	for i, s := range b.Steering {
		field := fmt.Sprintf("steering[%d]", i)
		c.existingRegion(b, field+".from", s.From)
		c.existingRegion(b, field+".to", s.To)
		c.inRange(field+".permille", s.Permille, 0, fullPermille)
		if s.From == s.To {
			c.addError(field+".to", "a region other than from", fmt.Sprintf("%q", s.To))
		}
		totalPermille[s.From] += s.Permille
		if totalPermille[s.From] > fullPermille {
			c.addError(field+".permille", "at most 1000 in total for "+s.From, totalPermille[s.From])
		}
	}
}

func (c *validator) trafficSettings(b *Bundle) {
	c.inRange("shift.cap-permille", b.Shift.CapPermille, 1, fullPermille)
	c.durationInRange("shift.interval", b.Shift.Interval, minDuration, maxDuration)
	c.inRange("shift.failover-cap-permille", b.Shift.FailoverCapPermille, 1, fullPermille)
	c.durationInRange("shift.failover-interval", b.Shift.FailoverInterval, minDuration, maxDuration)
	if b.Shift.Planner == "" {
		c.addError("shift.planner", "the name of a planner", `""`)
	}
	c.durationInRange("lookup.lifetime", b.Lookup.TTL, minDuration, maxDuration)
	// Callers use a cached lookup response for its TTL. If the interval were shorter, the responses
	// of two shifts could expire within one window, and callers would make both shifts at once.
	if b.Shift.Interval < b.Lookup.TTL {
		c.addError("shift.interval", "at least lookup.lifetime ("+b.Lookup.TTL.Std().String()+")", b.Shift.Interval.Std())
	}
	c.inRange("lookup.answers", b.Lookup.MaxProxies, 1, maxLookupProxies)
	c.inRange("retry.budget-permille", b.Retry.BudgetPermille, 0, fullPermille)
	c.inRange("retry.attempts", b.Retry.MaxAttempts, 1, maxAttempts)
	c.durationInRange("token.lifetime", b.Token.TTL, minDuration, maxTokenDuration)
	c.durationInRange("token.retention", b.Token.Retention, 0, maxTokenDuration)
	if b.Balancer == "" {
		c.addError("balancer", "the name of a balancer", `""`)
	}
}

func (c *validator) drains(b *Bundle) {
	names := make(map[string]bool)
	for i, d := range b.Drains {
		field := fmt.Sprintf("drains[%d]", i)
		c.uniqueName(field+".name", d.Name, names)
		if d.Start.IsZero() {
			c.addError(field+".start", "a time such as 2026-12-02T20:00:00Z", "none")
		}
		if !d.End.IsZero() && !d.End.After(d.Start) {
			c.addError(field+".end", "after start", d.End.Format(time.RFC3339))
		}
		switch d.Kind {
		case DrainServer:
			if !b.hasServer(d.Target) {
				c.addError(field+".target", "a backend server of this bundle", fmt.Sprintf("%q", d.Target))
			}
		case DrainRegion:
			c.existingRegion(b, field+".target", d.Target)
		case DrainProxy:
			if d.Target == "" {
				c.addError(field+".target", "the name of a proxy VM", `""`)
			}
		default:
			c.addError(field+".kind", "backend-server, proxy or region", fmt.Sprintf("%q", d.Kind))
		}
	}
}

func (b *Bundle) hasServer(name string) bool {
	for i := range b.Services {
		for k := range b.Services[i].Servers {
			if b.Services[i].Servers[k].Name == name {
				return true
			}
		}
	}
	return false
}

func isKnownMethod(m string) bool {
	switch m {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut,
		http.MethodDelete, http.MethodPost, http.MethodPatch:
		return true
	}
	return false
}
