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
	repeatsMost    = 40
	repeatPause    = 250 * time.Millisecond
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
		plan   Config
		http   *http.Client
		mu     sync.Mutex
		r      Report
		took   []time.Duration
		cache  map[cacheKey]cachedLookup
		serial int
	}

	// cacheKey is one caller's answer for one service.
	cacheKey struct {
		caller  int
		service string
	}

	cachedLookup struct {
		proxies []netip.AddrPort
		until   time.Time
	}

	reply struct {
		outcome caller.Outcome
		reason  string
		status  int
		token   string
		after   time.Duration
		body    string
	}
)

// NewLoadGenerator makes callers.
func NewLoadGenerator(p Config) *LoadGenerator {
	return &LoadGenerator{
		plan: p,
		http: &http.Client{
			Timeout:   cmp.Or(p.Timeout, requestTimeout),
			Transport: &http.Transport{MaxIdleConnsPerHost: p.Callers, IdleConnTimeout: time.Minute},
		},
		cache: make(map[cacheKey]cachedLookup),
		r:     Report{Outcomes: make(map[string]int), Reasons: make(map[string]int)},
	}
}

// Run makes the load until its span is over and returns the report.
func (f *LoadGenerator) Run(ctx context.Context) Report {
	ctx, cancel := context.WithTimeout(ctx, f.plan.Duration)
	defer cancel()
	var group sync.WaitGroup
	for id := range f.plan.Callers {
		group.Go(func() { f.caller(ctx, id) })
	}
	group.Wait()
	return f.report()
}

// caller sends requests at its part of the rate with exponential gaps.
func (f *LoadGenerator) caller(ctx context.Context, id int) {
	mean := float64(f.plan.Callers) / f.plan.Rate
	for {
		gap := time.Duration(rand.ExpFloat64() * mean * float64(time.Second))
		select {
		case <-ctx.Done():
			return
		case <-time.After(gap):
		}
		if rand.IntN(1000) < f.plan.BookingPermille {
			f.book(id)
		} else {
			f.browse(id)
		}
	}
}

func (f *LoadGenerator) browse(id int) {
	service := f.plan.BrowseServices[rand.IntN(len(f.plan.BrowseServices))]
	path := "/item/" + strconv.Itoa(rand.IntN(1_000_000))
	began := time.Now()
	r, err := f.send(id, http.MethodGet, service, path, "", "")
	f.note(r, err, time.Since(began), http.MethodGet, path)
}

// book sends one non-idempotent request and repeats it with the same token
// until its outcome is final: done, or not run with a token that can no longer
// be used, after which a fresh one is safe.
func (f *LoadGenerator) book(id int) {
	f.mu.Lock()
	f.serial++
	key := f.plan.KeyPrefix + "-" + strconv.Itoa(f.serial)
	f.mu.Unlock()
	path := "/bids/" + key
	token := ""
	began := time.Now()
	for try := range repeatsMost {
		r, err := f.send(id, http.MethodPost, f.plan.BookingService, path, token, key)
		if try == 0 || err != nil || r.reason != string(caller.ReasonTokenRequired) {
			f.note(r, err, time.Since(began), http.MethodPost, path)
		}
		switch {
		case err != nil:
		case r.outcome == caller.OutcomeDone:
			f.count(func(p *Report) { p.BookingsDone++ })
			return
		case r.token != "":
			token = r.token
			continue
		case r.outcome == caller.OutcomeNotRun && caller.Reason(r.reason).GuaranteesNotRun():
			token = ""
		case hopeless(r.reason):
			f.count(func(p *Report) { p.BookingsUnresolved++ })
			return
		}
		f.count(func(p *Report) { p.Retries++ })
		time.Sleep(max(r.after, repeatPause))
	}
	f.count(func(p *Report) { p.BookingsUnresolved++ })
}

// hopeless reports whether nobody will ever know more of a token.
func hopeless(reason string) bool {
	return reason == string(caller.ReasonMinterGone) || reason == string(caller.ReasonTokenRecordExpired)
}

func (f *LoadGenerator) count(change func(*Report)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.r)
}

func (f *LoadGenerator) note(r reply, err error, took time.Duration, method, path string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF):
		f.r.Truncated++
		f.r.Outcomes["broken-off"]++
		return
	case err != nil:
		f.r.ConnectionsFailed++
		f.r.Outcomes["connection-failed"]++
		return
	}
	f.r.Outcomes[r.outcome.String()]++
	if r.reason != "" {
		f.r.Reasons[r.reason]++
	}
	if r.outcome != caller.OutcomeDone {
		return
	}
	f.took = append(f.took, took)
	if r.status == http.StatusOK && !strings.Contains(r.body, method+" "+path+" ") {
		f.r.WrongAnswers++
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
		r, err = f.one(method, address, service, path, token, key)
		if err == nil || !strings.Contains(err.Error(), "connection refused") {
			return r, err
		}
		f.forget(id, service)
	}
	return reply{}, err
}

func (f *LoadGenerator) one(method string, address netip.AddrPort, service, path, token, key string) (reply, error) {
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
	response, err := f.http.Do(request)
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
		outcome: outcome,
		reason:  response.Header.Get(caller.HeaderReason),
		status:  response.StatusCode,
		token:   response.Header.Get(caller.HeaderToken),
		after:   time.Duration(seconds) * time.Second,
		body:    string(data),
	}, nil
}

func (f *LoadGenerator) forget(id int, service string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.cache, cacheKey{id, service})
}

func (f *LoadGenerator) lookup(id int, service string) ([]netip.AddrPort, error) {
	f.mu.Lock()
	c, ok := f.cache[cacheKey{id, service}]
	f.mu.Unlock()
	if ok && time.Now().Before(c.until) {
		return c.proxies, nil
	}
	seeds := append([]netip.AddrPort(nil), f.plan.Seeds...)
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	var last error
	for _, seed := range seeds {
		fresh, err := f.ask(id, seed, service)
		if err != nil {
			last = err
			continue
		}
		f.mu.Lock()
		f.cache[cacheKey{id, service}] = fresh
		f.mu.Unlock()
		return fresh.proxies, nil
	}
	return nil, errors.Wrap(last, "lookup")
}

func (f *LoadGenerator) ask(id int, seed netip.AddrPort, service string) (cachedLookup, error) {
	response, err := f.http.Get(fmt.Sprintf("http://%s/v1/lookup?service=%s&client=127.0.%d.%d", seed, service, id>>8, id&255))
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
	c := cachedLookup{until: time.Now().Add(lifetime)}
	for _, p := range answer.Proxies {
		c.proxies = append(c.proxies, p.Address)
	}
	return c, nil
}

func (f *LoadGenerator) report() Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	sort.Slice(f.took, func(i, j int) bool { return f.took[i] < f.took[j] })
	at := func(q float64) float64 {
		if len(f.took) == 0 {
			return 0
		}
		return float64(f.took[int(q*float64(len(f.took)-1))].Microseconds()) / 1000
	}
	f.r.P50, f.r.P99, f.r.P999, f.r.Max = at(0.5), at(0.99), at(0.999), at(1)
	return f.r
}
