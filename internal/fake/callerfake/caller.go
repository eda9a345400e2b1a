// Package callerfake stands in for callers: it asks which proxy to use, caches
// the answer for its lifetime, sends requests there, and repeats as a careful
// caller would. It reports outcomes, latency and what should never happen.
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
	// Config is the load to make.
	Config struct {
		Seeds          []netip.AddrPort
		Callers        int
		Rate           float64
		Duration       time.Duration
		BrowseServices []string
		BookingService string
		// BookingPermille of the requests are non-idempotent, in thousandths.
		BookingPermille int
		KeyPrefix       string
		// Timeout is how long a caller waits for an answer.
		Timeout time.Duration
	}

	// Report is what the callers saw.
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

	// LoadGenerator is a number of callers.
	LoadGenerator struct {
		config      Config
		client      *http.Client
		mu          sync.Mutex
		results     Report
		latencies   []time.Duration
		lookups     map[lookupKey]cachedLookup
		lastBooking int
	}

	// lookupKey is one caller's answer for one service.
	lookupKey struct {
		caller  int
		service string
	}

	cachedLookup struct {
		proxies   []netip.AddrPort
		expiresAt time.Time
	}

	reply struct {
		outcome    caller.Outcome
		reason     string
		status     int
		token      string
		retryAfter time.Duration
		body       string
	}
)

// NewLoadGenerator makes callers.
func NewLoadGenerator(p Config) *LoadGenerator {
	return &LoadGenerator{
		config: p,
		client: &http.Client{
			Timeout:   cmp.Or(p.Timeout, requestTimeout),
			Transport: &http.Transport{MaxIdleConnsPerHost: p.Callers, IdleConnTimeout: time.Minute},
		},
		lookups: make(map[lookupKey]cachedLookup),
		results: Report{Outcomes: make(map[string]int), Reasons: make(map[string]int)},
	}
}

// Run makes the load until its span is over and returns the report.
func (f *LoadGenerator) Run(ctx context.Context) Report {
	ctx, cancel := context.WithTimeout(ctx, f.config.Duration)
	defer cancel()
	var group sync.WaitGroup
	for id := range f.config.Callers {
		group.Go(func() { f.runCaller(ctx, id) })
	}
	group.Wait()
	return f.report()
}

// runCaller sends requests at its part of the rate with exponential gaps.
func (f *LoadGenerator) runCaller(ctx context.Context, id int) {
	mean := float64(f.config.Callers) / f.config.Rate
	for {
		gap := time.Duration(rand.ExpFloat64() * mean * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(gap):
		}
		if rand.IntN(1000) < f.config.BookingPermille {
			f.book(id)
		} else {
			f.browse(id)
		}
	}
}

func (f *LoadGenerator) browse(id int) {
	service := f.config.BrowseServices[rand.IntN(len(f.config.BrowseServices))]
	path := "/item/" + strconv.Itoa(rand.IntN(1_000_000))
	startedAt := time.Now()
	r, err := f.send(id, http.MethodGet, service, path, "", "")
	f.recordResult(r, err, time.Since(startedAt), http.MethodGet, path)
}

// book sends one non-idempotent request and repeats it with the same token
// until its outcome is final: done, or not run with a token that can no longer
// be used, after which a fresh one is safe.
func (f *LoadGenerator) book(id int) {
	f.mu.Lock()
	f.lastBooking++
	key := f.config.KeyPrefix + "-" + strconv.Itoa(f.lastBooking)
	f.mu.Unlock()
	path := "/bids/" + key
	token := ""
	startedAt := time.Now()
	for attempt := range maxAttempts {
		r, err := f.send(id, http.MethodPost, f.config.BookingService, path, token, key)
		if attempt == 0 || err != nil || r.reason != string(caller.ReasonTokenRequired) {
			f.recordResult(r, err, time.Since(startedAt), http.MethodPost, path)
		}
		switch {
		case err != nil:
		case r.outcome == caller.OutcomeDone:
			f.updateReport(func(p *Report) { p.BookingsDone++ })
			return
		case r.token != "":
			token = r.token
			continue
		case r.outcome == caller.OutcomeNotRun && caller.Reason(r.reason).GuaranteesNotRun():
			token = ""
		case isFinalUnknown(r.reason):
			f.updateReport(func(p *Report) { p.BookingsUnresolved++ })
			return
		}
		f.updateReport(func(p *Report) { p.Retries++ })
		time.Sleep(max(r.retryAfter, minRetryDelay))
	}
	f.updateReport(func(p *Report) { p.BookingsUnresolved++ })
}

// isFinalUnknown reports whether nobody will ever know more of a token.
func isFinalUnknown(reason string) bool {
	return reason == string(caller.ReasonMinterGone) || reason == string(caller.ReasonTokenRecordExpired)
}

func (f *LoadGenerator) updateReport(change func(*Report)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.results)
}

func (f *LoadGenerator) recordResult(r reply, err error, latency time.Duration, method, path string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		f.results.Truncated++
		f.results.Outcomes["broken-off"]++
		return
	case err != nil:
		f.results.ConnectionsFailed++
		f.results.Outcomes["connection-failed"]++
		return
	}
	f.results.Outcomes[r.outcome.String()]++
	if r.reason != "" {
		f.results.Reasons[r.reason]++
	}
	if r.outcome != caller.OutcomeDone {
		return
	}
	f.latencies = append(f.latencies, latency)
	if r.status == http.StatusOK && !strings.Contains(r.body, method+" "+path+" ") {
		f.results.WrongAnswers++
	}
}

// send tries the cached proxies in order; the next one only if no connection
// to the one before could be made.
func (f *LoadGenerator) send(id int, method, service, path, token, key string) (reply, error) {
	proxies, err := f.lookup(id, service)
	if err != nil {
		return reply{}, err
	}
	for _, address := range proxies {
		var r reply
		r, err = f.sendTo(method, address, service, path, token, key)
		if err == nil || !strings.Contains(err.Error(), "connection refused") {
			return r, err
		}
		f.invalidateLookup(id, service)
	}
	return reply{}, err
}

func (f *LoadGenerator) sendTo(method string, address netip.AddrPort, service, path, token, key string) (reply, error) {
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("bid " + key)
	}
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s/services/%s%s", address, service, path), body)
	if err != nil {
		return reply{}, errors.Wrap(err, "request")
	}
	// Without this a POST that broke could be sent again behind our back.
	request.GetBody = nil
	if token != "" {
		request.Header.Set(caller.HeaderToken, token)
	}
	if key != "" {
		request.Header["idempotency-key"] = []string{key}
	}
	response, err := f.client.Do(request)
	if err != nil {
		return reply{}, errors.Wrap(err, "send")
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{}, errors.Wrap(err, "read")
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

func (f *LoadGenerator) invalidateLookup(id int, service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.lookups, lookupKey{id, service})
}

func (f *LoadGenerator) lookup(id int, service string) ([]netip.AddrPort, error) {
	f.mu.Lock()
	c, ok := f.lookups[lookupKey{id, service}]
	f.mu.Unlock()
	if ok && time.Now().Before(c.expiresAt) {
		return c.proxies, nil
	}
	seeds := append([]netip.AddrPort(nil), f.config.Seeds...)
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	var last error
	for _, seed := range seeds {
		fresh, err := f.fetchLookup(id, seed, service)
		if err != nil {
			last = err
			continue
		}
		f.mu.Lock()
		f.lookups[lookupKey{id, service}] = fresh
		f.mu.Unlock()
		return fresh.proxies, nil
	}
	return nil, errors.Wrap(last, "lookup")
}

func (f *LoadGenerator) fetchLookup(id int, seed netip.AddrPort, service string) (cachedLookup, error) {
	response, err := f.client.Get(fmt.Sprintf("http://%s/v1/lookup?service=%s&client=127.0.%d.%d", seed, service, id>>8, id&255))
	if err != nil {
		return cachedLookup{}, errors.Wrap(err, "lookup")
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Proxies []struct {
			Address netip.AddrPort `json:"address"`
		} `json:"proxies"`
		Lifetime string `json:"lifetime"`
	}
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil || len(answer.Proxies) == 0 {
		return cachedLookup{}, errors.Errorf("lookup: status %d", response.StatusCode)
	}
	lifetime, _ := time.ParseDuration(answer.Lifetime)
	c := cachedLookup{expiresAt: time.Now().Add(lifetime)}
	for _, p := range answer.Proxies {
		c.proxies = append(c.proxies, p.Address)
	}
	return c, nil
}

func (f *LoadGenerator) report() Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	sort.Slice(f.latencies, func(i, j int) bool { return f.latencies[i] < f.latencies[j] })
	quantileMillis := func(q float64) float64 {
		if len(f.latencies) == 0 {
			return 0
		}
		return float64(f.latencies[int(q*float64(len(f.latencies)-1))].Microseconds()) / 1000
	}
	f.results.P50, f.results.P99, f.results.P999, f.results.Max = quantileMillis(0.5), quantileMillis(0.99), quantileMillis(0.999), quantileMillis(1)
	return f.results
}
