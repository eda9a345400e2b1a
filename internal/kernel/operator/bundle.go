package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
)

const (
	// MaxBundleBytes bounds an encoded bundle. The platform's values end at
	// 1 MB; the rest is room for signatures and the JSON text around them.
	MaxBundleBytes = 900 << 10
)

const (
	// DrainServer takes one backend server out of service.
	DrainServer DrainKind = "backend-server"
	// DrainProxy takes one proxy VM out of service.
	DrainProxy DrainKind = "proxy"
	// DrainRegion moves the traffic of a whole region away at the pace of
	// the bundle's shift limits.
	DrainRegion DrainKind = "region"
)

type (
	// Digest is the SHA-256 of a bundle's canonical JSON, as lower-case hex.
	Digest string

	// DrainKind says what a drain empties.
	DrainKind string

	// Bundle is one version of the whole configuration. Its JSON names are in
	// kebab case; docs/BUNDLE.md lists every field with unit and bounds.
	Bundle struct {
		Version  uint64         `json:"version"`
		Comment  string         `json:"comment,omitempty"`
		Regions  []Region       `json:"regions"`
		Links    []Link         `json:"links,omitempty"`
		Services []Service      `json:"services"`
		Steering []SteeringRule `json:"steering,omitempty"`
		Shift    ShiftConfig    `json:"shift"`
		Lookup   LookupConfig   `json:"lookup"`
		Retry    RetryConfig    `json:"retry"`
		Token    TokenConfig    `json:"token"`
		Balancer string         `json:"balancer"`
		Drains   []Drain        `json:"drains,omitempty"`
	}

	// Region is one data centre with its failure domains. Capacity counts
	// requests per second over all services; Proxies is how many quota slots
	// the region's proxies hold between them.
	Region struct {
		Name           string         `json:"name"`
		Domains        []string       `json:"failure-domains"`
		Capacity       int            `json:"capacity-per-second"`
		QuotaSlots     int            `json:"proxies"`
		ClientPrefixes []netip.Prefix `json:"client-prefixes,omitempty"`
	}

	// Link limits requests per second from the proxies of one region to the
	// backend servers of another.
	Link struct {
		From  string `json:"from"`
		To    string `json:"to"`
		Limit int    `json:"limit-per-second"`
	}

	// Service is one application. Requests whose method is in Idempotent may
	// be retried; Routes override that by path prefix.
	Service struct {
		Name              string   `json:"name"`
		IdempotentMethods []string `json:"idempotent-methods"`
		Routes            []Route  `json:"routes,omitempty"`
		Deadline          Duration `json:"deadline"`
		SlowStart         Duration `json:"slow-start"`
		Servers           []Server `json:"backend-servers"`
	}

	// Route overrides idempotence for paths that begin with Prefix.
	Route struct {
		Prefix     string `json:"path-prefix"`
		Idempotent bool   `json:"idempotent"`
	}

	// Server is one backend server. Slots is how many requests it runs at
	// once, Connections how many it accepts over all proxies.
	Server struct {
		Name           string         `json:"name"`
		Address        netip.AddrPort `json:"address"`
		Region         string         `json:"region"`
		Domain         string         `json:"failure-domain"`
		Slots          int            `json:"slots"`
		MaxConnections int            `json:"connections"`
	}

	// SteeringRule sends a share of one region's callers to another region.
	// Permille is in thousandths of the traffic whose home is From.
	SteeringRule struct {
		From     string `json:"from"`
		To       string `json:"to"`
		Permille int    `json:"permille"`
	}

	// ShiftConfig limits how fast traffic moves: within any window of Interval at
	// most CapPermille of a home region's traffic changes its destination.
	// Away from a lost region the failover figures hold instead.
	ShiftConfig struct {
		Planner             string   `json:"planner"`
		CapPermille         int      `json:"cap-permille"`
		Interval            Duration `json:"interval"`
		FailoverCapPermille int      `json:"failover-cap-permille"`
		FailoverInterval    Duration `json:"failover-interval"`
	}

	// LookupConfig tells callers how long an answer may be cached.
	LookupConfig struct {
		TTL        Duration `json:"lifetime"`
		MaxProxies int      `json:"answers"`
	}

	// RetryConfig bounds retries to a share of recent requests, in thousandths.
	RetryConfig struct {
		BudgetPermille int `json:"budget-permille"`
		MaxAttempts    int `json:"attempts"`
	}

	// TokenConfig bounds idempotency tokens: Lifetime is how long after minting one
	// may be used, Retention how long after that its outcome is kept.
	TokenConfig struct {
		TTL       Duration `json:"lifetime"`
		Retention Duration `json:"retention"`
	}

	// Drain empties one target from Start on. An End of zero means that the
	// drain lasts until a later bundle lifts it.
	Drain struct {
		Name   string    `json:"name"`
		Kind   DrainKind `json:"kind"`
		Target string    `json:"target"`
		Start  time.Time `json:"start"`
		End    time.Time `json:"end,omitzero"`
	}
)

// ParseBundle decodes and checks one bundle. An unknown field is an error: it
// is a typing mistake whose effect an operator would miss otherwise.
func ParseBundle(data []byte) (*Bundle, error) {
	if len(data) > MaxBundleBytes {
		return nil, errors.Errorf("bundle: %d bytes, at most %d are allowed", len(data), MaxBundleBytes)
	}
	var b Bundle
	if err := DecodeStrict(data, &b); err != nil {
		return nil, errors.Wrap(err, "bundle")
	}
	if err := b.Validate(); err != nil {
		return nil, err
	}
	return &b, nil
}

// Encode writes the canonical JSON that Digest and the signatures cover.
func (b *Bundle) Encode() []byte {
	data, err := json.Marshal(b)
	if err != nil {
		// Every field is a plain value; only a programming error gets here.
		panic("operator: bundle does not encode: " + err.Error())
	}
	return data
}

// Digest identifies the bundle's content.
func (b *Bundle) Digest() Digest {
	sum := sha256.Sum256(b.Encode())
	return Digest(hex.EncodeToString(sum[:]))
}

// Service finds a service by name.
func (b *Bundle) Service(name string) (*Service, bool) {
	for i := range b.Services {
		if b.Services[i].Name == name {
			return &b.Services[i], true
		}
	}
	return nil, false
}

// Region finds a region by name.
func (b *Bundle) Region(name string) (*Region, bool) {
	for i := range b.Regions {
		if b.Regions[i].Name == name {
			return &b.Regions[i], true
		}
	}
	return nil, false
}

// QuotaSlots is the number of quota slots over all regions.
func (b *Bundle) QuotaSlots() int {
	total := 0
	for _, r := range b.Regions {
		total += r.QuotaSlots
	}
	return total
}

// IsIdempotent reports whether a request may be repeated. The longest route
// that matches the path decides; without one the method does.
func (s *Service) IsIdempotent(method, path string) bool {
	longestPrefix := -1
	idempotent := false
	for _, r := range s.Routes {
		if len(r.Prefix) > longestPrefix && len(path) >= len(r.Prefix) && path[:len(r.Prefix)] == r.Prefix {
			longestPrefix = len(r.Prefix)
			idempotent = r.Idempotent
		}
	}
	if longestPrefix >= 0 {
		return idempotent
	}
	for _, m := range s.IdempotentMethods {
		if m == method {
			return true
		}
	}
	return false
}

// Active reports whether the drain holds at now.
func (d *Drain) Active(now time.Time) bool {
	if now.Before(d.Start) {
		return false
	}
	return d.End.IsZero() || now.Before(d.End)
}

// IsDrained reports whether a drain of this kind and target holds at now.
func (b *Bundle) IsDrained(kind DrainKind, target string, now time.Time) bool {
	for i := range b.Drains {
		d := &b.Drains[i]
		if d.Kind == kind && d.Target == target && d.Active(now) {
			return true
		}
	}
	return false
}
