// Package callerfake provides fake callers: they look up which proxies to use, cache the response
// until it expires, send requests there, and retry the way a careful caller does. They report
// outcomes, latencies and responses that must never occur.
package callerfake

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
)

const (
	requestTimeout = 2500 * time.Millisecond
	maxAttempts    = 40
	minRetryDelay  = 250 * time.Millisecond
)

type (
	// Config describes the load to generate.
	Config struct {
		Seeds          []netip.AddrPort
		Callers        int
		Rate           float64
		Duration       time.Duration
		BrowseServices []string
		BookingService string
		// BookingPermille is the share of non-idempotent requests, in thousandths.
		BookingPermille int
		KeyPrefix       string
		// Timeout is how long a caller waits for a response.
		Timeout time.Duration
	}

	// Report summarises the results that the callers received.
	Report struct {
		Outcomes           map[string]int `json:"outcomes"`
		Reasons            map[string]int `json:"reasons"`
		BookingsDone       int            `json:"booked"`
		BookingsUnresolved int            `json:"bookings-never-settled"`
		Retries            int            `json:"repeats"`
		ConnectionsFailed  int            `json:"cut"`
		WrongAnswers       int            `json:"wrong-answers"`
		Truncated          int            `json:"truncated"`
		P50                float64        `json:"p50-ms"`
		P99                float64        `json:"p99-ms"`
		P999               float64        `json:"p99.9-ms"`
		Max                float64        `json:"worst-ms"`
	}

	// LoadGenerator runs a number of callers that send requests at a given total rate.
	LoadGenerator struct {
		config      Config
		client      *http.Client
		mu          sync.Mutex
		report      Report
		latencies   []time.Duration
		lookups     map[lookupKey]cachedLookup
		lastBooking int
	}

	// lookupKey identifies the lookup response of one caller for one service.
	lookupKey struct {
		caller  int
		service string
	}

	// cachedLookup is a lookup response and its expiry.
	cachedLookup struct {
		proxies   []netip.AddrPort
		expiresAt time.Time
	}

	// reply is a response of a proxy.
	reply struct {
		outcome    caller.Outcome
		reason     string
		status     int
		token      string
		retryAfter time.Duration
		body       string
	}
)

// NewLoadGenerator returns a load generator that has sent no requests yet.
func NewLoadGenerator(c Config) *LoadGenerator {
	return &LoadGenerator{
		config: c,
		client: &http.Client{
			Timeout:   cmp.Or(c.Timeout, requestTimeout),
			Transport: &http.Transport{MaxIdleConnsPerHost: c.Callers, IdleConnTimeout: time.Minute},
		},
		lookups: make(map[lookupKey]cachedLookup),
		report:  Report{Outcomes: make(map[string]int), Reasons: make(map[string]int)},
	}
}

// Run generates load for the configured duration and returns the report.
func (g *LoadGenerator) Run(ctx context.Context) Report {
	ctx, cancel := context.WithTimeout(ctx, g.config.Duration)
	defer cancel()
	var callers sync.WaitGroup
	for id := range g.config.Callers {
		callers.Go(func() { g.runCaller(ctx, id) })
	}
	callers.Wait()
	return g.finishReport()
}

// runCaller sends requests at one caller's part of the rate, with exponentially distributed gaps.
func (g *LoadGenerator) runCaller(ctx context.Context, id int) {
	meanGap := float64(g.config.Callers) / g.config.Rate
	for {
		gap := time.Duration(rand.ExpFloat64() * meanGap * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(gap):
		}
		if rand.IntN(1000) < g.config.BookingPermille {
			g.book(id)
		} else {
			g.browse(id)
		}
	}
}

func (g *LoadGenerator) browse(id int) {
	service := g.config.BrowseServices[rand.IntN(len(g.config.BrowseServices))]
	path := "/item/" + strconv.Itoa(rand.IntN(1_000_000))
	startedAt := time.Now()
	r, err := g.send(id, http.MethodGet, service, path, "", "")
	g.recordResult(r, err, time.Since(startedAt), http.MethodGet, path)
}

// book sends one non-idempotent request and retries it with the same token until its outcome is
// final: done, or not run with a token that can no longer be used. In the latter case it is safe to
// retry with a new token.
func (g *LoadGenerator) book(id int) {
	g.mu.Lock()
	g.lastBooking++
	key := g.config.KeyPrefix + "-" + strconv.Itoa(g.lastBooking)
	g.mu.Unlock()
	path := "/bids/" + key
	token := ""
	startedAt := time.Now()
	for attempt := range maxAttempts {
		r, err := g.send(id, http.MethodPost, g.config.BookingService, path, token, key)
		if attempt == 0 || err != nil || r.reason != string(caller.ReasonTokenRequired) {
			g.recordResult(r, err, time.Since(startedAt), http.MethodPost, path)
		}
		switch {
		case err != nil:
		case r.outcome == caller.OutcomeDone:
			g.updateReport(func(p *Report) { p.BookingsDone++ })
			return
		case r.token != "":
			token = r.token
			continue
		case r.outcome == caller.OutcomeNotRun && caller.Reason(r.reason).GuaranteesNotRun():
			token = ""
		case isFinalUnknown(r.reason):
			g.updateReport(func(p *Report) { p.BookingsUnresolved++ })
			return
		}
		g.updateReport(func(p *Report) { p.Retries++ })
		time.Sleep(max(r.retryAfter, minRetryDelay))
	}
	g.updateReport(func(p *Report) { p.BookingsUnresolved++ })
}

// isFinalUnknown reports whether the outcome of a token can no longer be determined.
func isFinalUnknown(reason string) bool {
	return reason == string(caller.ReasonMinterGone) || reason == string(caller.ReasonTokenRecordExpired)
}

func (g *LoadGenerator) updateReport(update func(*Report)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	update(&g.report)
}

// recordResult adds the result of one request to the report.
func (g *LoadGenerator) recordResult(r reply, err error, latency time.Duration, method, path string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		g.report.Truncated++
		g.report.Outcomes["broken-off"]++
		return
	case err != nil:
		g.report.ConnectionsFailed++
		g.report.Outcomes["connection-failed"]++
		return
	}
	g.report.Outcomes[r.outcome.String()]++
	if r.reason != "" {
		g.report.Reasons[r.reason]++
	}
	if r.outcome != caller.OutcomeDone {
		return
	}
	g.latencies = append(g.latencies, latency)
	if r.status == http.StatusOK && !strings.Contains(r.body, method+" "+path+" ") {
		g.report.WrongAnswers++
	}
}

// send tries the cached proxies in order. It moves on to the next one only if the connection to the
// previous one was refused.
func (g *LoadGenerator) send(id int, method, service, path, token, key string) (reply, error) {
	proxies, err := g.lookup(id, service)
	if err != nil {
		return reply{}, err
	}
	for _, address := range proxies {
		var r reply
		r, err = g.sendTo(method, address, service, path, token, key)
		if err == nil || !strings.Contains(err.Error(), "connection refused") {
			return r, err
		}
		g.invalidateLookup(id, service)
	}
	return reply{}, err
}

// sendTo sends one request to one proxy.
func (g *LoadGenerator) sendTo(method string, address netip.AddrPort, service, path, token, key string) (reply, error) {
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("bid " + key)
	}
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s/services/%s%s", address, service, path), body)
	if err != nil {
		return reply{}, errors.Wrap(err, "create request")
	}
	// With GetBody set, the HTTP client could resend a POST by itself after a broken connection.
	request.GetBody = nil
	if token != "" {
		request.Header.Set(caller.HeaderToken, token)
	}
	if key != "" {
		request.Header["idempotency-key"] = []string{key}
	}
	response, err := g.client.Do(request)
	if err != nil {
		return reply{}, errors.Wrap(err, "send request")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{}, errors.Wrap(err, "read response")
	}
	outcome, _ := caller.ParseOutcome(response.Header.Get(caller.HeaderOutcome))
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	return reply{
		outcome:    outcome,
		reason:     response.Header.Get(caller.HeaderReason),
		status:     response.StatusCode,
		token:      response.Header.Get(caller.HeaderToken),
		retryAfter: time.Duration(seconds) * time.Second,
		body:       string(data),
	}, nil
}

func (g *LoadGenerator) invalidateLookup(id int, service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.lookups, lookupKey{id, service})
}

// lookup returns the proxies for a service from the cache or, if the response has expired, from
// the first seed in random order that responds.
func (g *LoadGenerator) lookup(id int, service string) ([]netip.AddrPort, error) {
	g.mu.Lock()
	cached, ok := g.lookups[lookupKey{id, service}]
	g.mu.Unlock()
	if ok && time.Now().Before(cached.expiresAt) {
		return cached.proxies, nil
	}
	seeds := append([]netip.AddrPort(nil), g.config.Seeds...)
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	var lastErr error
	for _, seed := range seeds {
		fresh, err := g.fetchLookup(id, seed, service)
		if err != nil {
			lastErr = err
			continue
		}
		g.mu.Lock()
		g.lookups[lookupKey{id, service}] = fresh
		g.mu.Unlock()
		return fresh.proxies, nil
	}
	return nil, errors.Wrap(lastErr, "lookup")
}

// fetchLookup asks a seed for the proxies of a service. Each caller has a client address of its
// own.
func (g *LoadGenerator) fetchLookup(id int, seed netip.AddrPort, service string) (cachedLookup, error) {
	response, err := g.client.Get(fmt.Sprintf("http://%s/v1/lookup?service=%s&client=127.0.%d.%d", seed, service, id>>8, id&255))
	if err != nil {
		return cachedLookup{}, errors.Wrap(err, "lookup")
	}
	defer func() { _ = response.Body.Close() }()
	var body struct {
		Proxies []struct {
			Address netip.AddrPort `json:"address"`
		} `json:"proxies"`
		Lifetime string `json:"lifetime"`
	}
	if err := json.NewDecoder(response.Body).Decode(&body); err != nil || len(body.Proxies) == 0 {
		return cachedLookup{}, errors.Errorf("lookup: status %d", response.StatusCode)
	}
	ttl, _ := time.ParseDuration(body.Lifetime)
	c := cachedLookup{expiresAt: time.Now().Add(ttl)}
	for _, p := range body.Proxies {
		c.proxies = append(c.proxies, p.Address)
	}
	return c, nil
}

// finishReport fills in the latency quantiles and returns the report.
func (g *LoadGenerator) finishReport() Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	sort.Slice(g.latencies, func(i, j int) bool { return g.latencies[i] < g.latencies[j] })
	quantileMillis := func(q float64) float64 {
		if len(g.latencies) == 0 {
			return 0
		}
		return float64(g.latencies[int(q*float64(len(g.latencies)-1))].Microseconds()) / 1000
	}
	g.report.P50, g.report.P99, g.report.P999, g.report.Max = quantileMillis(0.5), quantileMillis(0.99), quantileMillis(0.999), quantileMillis(1)
	return g.report
}
