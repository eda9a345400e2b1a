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
	// MaxBundleBytes is the maximum size of an encoded bundle. The platform limits values to 1 MB;
	// the difference leaves room for the signatures and the JSON of the envelope.
	MaxBundleBytes = 900 << 10
)

const (
	// DrainServer takes a backend server out of service.
	DrainServer DrainKind = "backend-server"
	// DrainProxy takes a proxy VM out of service.
	DrainProxy DrainKind = "proxy"
	// DrainRegion shifts the traffic of a region to others, no faster than the bundle's shift
	// limits allow.
	DrainRegion DrainKind = "region"
)

type (
	// Digest is the SHA-256 hash of a bundle's canonical JSON in lower-case hexadecimal.
	Digest string

	// DrainKind is the kind of target that a drain applies to.
	DrainKind string

	// Bundle is a version of the complete configuration. Its JSON names are in kebab case;
	// docs/BUNDLE.md lists every field with its unit and bounds.
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

	// Region is a data centre with its failure domains. Capacity is in requests per second over all
	// services; QuotaSlots is the number of quota slots of the region.
	Region struct {
		Name           string         `json:"name"`
		Domains        []string       `json:"failure-domains"`
		Capacity       int            `json:"capacity-per-second"`
		QuotaSlots     int            `json:"proxies"`
		ClientPrefixes []netip.Prefix `json:"client-prefixes,omitempty"`
	}

	// Link limits the requests per second from the proxies of one region to the backend servers of
	// another.
	Link struct {
		From  string `json:"from"`
		To    string `json:"to"`
		Limit int    `json:"limit-per-second"`
	}

	// Service is an application. Requests whose method is in IdempotentMethods may be retried;
	// Routes overrides that by path prefix.
	Service struct {
		Name              string   `json:"name"`
		IdempotentMethods []string `json:"idempotent-methods"`
		Routes            []Route  `json:"routes,omitempty"`
		Deadline          Duration `json:"deadline"`
		SlowStart         Duration `json:"slow-start"`
		Servers           []Server `json:"backend-servers"`
	}

	// Route overrides the idempotence of requests for paths that begin with Prefix.
	Route struct {
		Prefix     string `json:"path-prefix"`
		Idempotent bool   `json:"idempotent"`
	}

	// Server is a backend server. Slots is the number of requests that it runs concurrently,
	// MaxConnections the number of connections that it accepts from all proxies together.
	Server struct {
		Name           string         `json:"name"`
		Address        netip.AddrPort `json:"address"`
		Region         string         `json:"region"`
		Domain         string         `json:"failure-domain"`
		Slots          int            `json:"slots"`
		MaxConnections int            `json:"connections"`
	}

	// SteeringRule sends a share of one region's callers to another region. Permille is in
	// thousandths of the traffic whose home region is From.
	SteeringRule struct {
		From     string `json:"from"`
		To       string `json:"to"`
		Permille int    `json:"permille"`
	}

	// ShiftConfig limits how fast traffic shifts between regions: within any window of Interval, at
	// most CapPermille of a home region's traffic changes its destination. For traffic that leaves
	// a failed region, the failover values apply instead.
	ShiftConfig struct {
		Planner             string   `json:"planner"`
		CapPermille         int      `json:"cap-permille"`
		Interval            Duration `json:"interval"`
		FailoverCapPermille int      `json:"failover-cap-permille"`
		FailoverInterval    Duration `json:"failover-interval"`
	}

	// LookupConfig configures the responses to lookups: TTL is how long callers may cache a
	// response, MaxProxies how many proxies it lists.
	LookupConfig struct {
		TTL        Duration `json:"lifetime"`
		MaxProxies int      `json:"answers"`
	}

	// RetryConfig limits retries to BudgetPermille thousandths of recent requests, and requests to
	// MaxAttempts attempts each.
	RetryConfig struct {
		BudgetPermille int `json:"budget-permille"`
		MaxAttempts    int `json:"attempts"`
	}

	// TokenConfig configures idempotency tokens: TTL is how long a token may be used after it was
	// minted, Retention how long its outcome is retained after that.
	TokenConfig struct {
		TTL       Duration `json:"lifetime"`
		Retention Duration `json:"retention"`
	}

	// Drain drains a target from Start on. A zero End means that the drain lasts until a later
	// bundle removes it.
	Drain struct {
		Name   string    `json:"name"`
		Kind   DrainKind `json:"kind"`
		Target string    `json:"target"`
		Start  time.Time `json:"start"`
		End    time.Time `json:"end,omitzero"`
	}
)

// ParseBundle decodes and validates a bundle. An unknown field is an error, because it is usually a
// typo that an operator would otherwise not notice.
func ParseBundle(data []byte) (*Bundle, error) {
	if len(data) > MaxBundleBytes {
		return nil, errors.Errorf("bundle: size of %d bytes exceeds the maximum of %d", len(data), MaxBundleBytes)
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

// Encode returns the canonical JSON, which Digest and the signatures cover.
func (b *Bundle) Encode() []byte {
	data, err := json.Marshal(b)
	if err != nil {
		// All fields are plain values, so that only a programming error leads here.
		panic("operator: cannot encode bundle: " + err.Error())
	}
	return data
}

// Digest returns the hash of the bundle's content.
func (b *Bundle) Digest() Digest {
	sum := sha256.Sum256(b.Encode())
	return Digest(hex.EncodeToString(sum[:]))
}

// Service returns the service of that name.
func (b *Bundle) Service(name string) (*Service, bool) {
	for i := range b.Services {
		if b.Services[i].Name == name {
			return &b.Services[i], true
		}
	}
	return nil, false
}

// Region returns the region of that name.
func (b *Bundle) Region(name string) (*Region, bool) {
	for i := range b.Regions {
		if b.Regions[i].Name == name {
			return &b.Regions[i], true
		}
	}
	return nil, false
}

// QuotaSlots returns the number of quota slots over all regions.
func (b *Bundle) QuotaSlots() int {
	total := 0
	for _, r := range b.Regions {
		total += r.QuotaSlots
	}
	return total
}

// IsIdempotent reports whether a request may be retried. The route with the longest matching path
// prefix decides; if no route matches, the method does.
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

// Active reports whether the drain is in effect at now.
func (d *Drain) Active(now time.Time) bool {
	if now.Before(d.Start) {
		return false
	}
	return d.End.IsZero() || now.Before(d.End)
}

// IsDrained reports whether a drain of this kind and target is in effect at now.
func (b *Bundle) IsDrained(kind DrainKind, target string, now time.Time) bool {
	for i := range b.Drains {
		d := &b.Drains[i]
		if d.Kind == kind && d.Target == target && d.Active(now) {
			return true
		}
	}
	return false
}
