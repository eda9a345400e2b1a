package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	// memoryLimit is MemoryMb of the machines. The platform kills a process that exceeds it.
	memoryLimit = 284 << 20
	// uploadBytes is the length of a body: within MaxBodyBytes, which is 64 MiB.
	uploadBytes = 60_000_000
	// linkBytesPerSecond is the rate of a machine's link of 1,000 Mbit/s, at which its one uploading
	// client sends.
	linkBytesPerSecond = 125_000_000
	uploadPause        = 200 * time.Millisecond
	// smallClients is how many other clients a machine has. Each sends one small request a second on
	// its kept connection.
	smallClients = 200
	// memoryFor is how long the clients send. restartDelay is how long the platform takes to start a
	// process again.
	memoryFor    = 60 * time.Second
	restartDelay = time.Second
	// fatalEnds is how many ends of its own count against a machine, fatalMachines how many such
	// machines make the day count 0 (two at least).
	fatalEnds     = 3
	fatalMachines = 2
	memoryHost    = "scans.example"
)

var memoryZones = map[string]string{"tamarin": "west", "grand-baie": "north"}

const memoryBounds = `Contracts=base,drain,config,cost,retry,recover,places,platform
Bounds.Contact=4000ms
Bounds.Drain=3000ms
Bounds.Grace=6s
Bounds.ConfigApply=3000ms
Bounds.RetryBudgetRatio=0.2
Bounds.BudgetWindow=10s
Bounds.RetryBudgetSlack=60
Bounds.ColdFactor=1.5
Bounds.ColdSlack=8
Bounds.ttl_max=5s
Bounds.MaxShift=0.15
Provider.TtlMin=1000ms
`

type (
	// memoryBook counts what the clients of a machine got, and the ends of its process.
	memoryBook struct {
		mu       sync.Mutex
		ran      map[string]bool
		statuses map[string]int
		ends     map[string]int
		lost     int
	}

	// pacedBody is a body that is sent at the rate of the link.
	pacedBody struct {
		left    int
		started time.Time
		sent    int
	}
)

// Read implements io.Reader.
func (b *pacedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	if b.started.IsZero() {
		b.started = time.Now()
	}
	n := min(len(p), b.left, 32<<10)
	for i := range p[:n] {
		p[i] = 'x'
	}
	b.left -= n
	b.sent += n
	due := b.started.Add(time.Duration(float64(b.sent) / linkBytesPerSecond * float64(time.Second)))
	if wait := time.Until(due); wait > 2*time.Millisecond {
		time.Sleep(wait)
	}
	return n, nil
}

// playMemory lets one client of each machine upload large bodies in chunks, one after the other, beside
// 200 clients with small requests. With TROUBLE=0 it sends the same bodies with a length.
func playMemory(r *run) (bool, error) {
	book := &memoryBook{ran: make(map[string]bool), statuses: make(map[string]int), ends: make(map[string]int)}
	zones := []string{"tamarin", "grand-baie"}
	for i := range 8 {
		w := &worker{id: fmt.Sprintf("i-%04d", i), service: "scan-dock", zone: zones[i%2], slots: 100, work: 100 * time.Millisecond, onRun: func(a arrival) { book.arrive(a.id) }}
		if err := startWorker(r.store, w); err != nil {
			return false, err
		}
	}
	r.store.put("op/config", map[string]any{
		"Version": "r3",
		"Routes": map[string]any{"damage-scan": map[string]any{
			"Host": memoryHost, "Prefix": "/scan/", "Kind": "upload", "Timeout": "8000ms", "TargetLatency": "800ms", "Priority": 1,
			"Service": "scan-dock", "MaxAttempts": 2, "Sticky": false, "AllowedRegions": []string{},
		}},
		"Services": map[string]any{"scan-dock": map[string]any{"HealthPath": "/health", "MaxConns": 1650, "Protocol": "h1", "Tls": false, "ColdStart": "3s", "ColdPerS": 12}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
	})
	d, err := newDeployment(r.store, memoryZones, memoryBounds)
	if err != nil {
		return false, err
	}
	var machines []*machine
	for i, zone := range zones {
		m, err := d.addMachine(i+1, zone)
		if err != nil {
			return false, err
		}
		r.add(m)
		machines = append(machines, m)
		d.seeds = append(d.seeds, m.address(controlPort))
	}
	for _, m := range machines {
		if err := m.start(true); err != nil {
			return false, err
		}
	}
	for _, m := range machines {
		if err := m.waitReady(10 * time.Second); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second)
	ctx, cancel := context.WithTimeout(context.Background(), memoryFor)
	defer cancel()
	var all sync.WaitGroup
	for _, m := range machines {
		all.Go(func() { book.watch(ctx, r, m) })
		all.Go(func() { book.upload(ctx, r, m) })
		for range smallClients {
			all.Go(func() { book.sendSmall(ctx, m) })
		}
	}
	all.Wait()
	book.mu.Lock()
	defer book.mu.Unlock()
	r.logf("answers: %v", book.statuses)
	r.logf("requests that a worker had begun to run and that got no answer: %d", book.lost)
	fatal := 0
	for _, m := range machines {
		r.logf("%s: the process exceeded its %d MB %d times", m.name, memoryLimit>>20, book.ends[m.name])
		if book.ends[m.name] >= fatalEnds {
			fatal++
		}
	}
	return fatal >= fatalMachines, nil
}

// watch does what the platform does: it kills a process that has exceeded its memory, and starts it
// again.
func (b *memoryBook) watch(ctx context.Context, r *run, m *machine) {
	for ; ctx.Err() == nil; sleep(ctx, 10*time.Millisecond) {
		peak := peakMemory(m.process.Process.Pid)
		if peak <= memoryLimit {
			continue
		}
		r.logf("%s: the process has used %.1f MB, more than %d MB; it is killed", m.name, float64(peak)/(1<<20), memoryLimit>>20)
		b.mu.Lock()
		b.ends[m.name]++
		b.mu.Unlock()
		m.kill()
		time.Sleep(restartDelay)
		if err := m.start(false); err != nil {
			r.logf("%s: %s", m.name, err)
			return
		}
	}
	r.logf("%s: the process that runs at the end has used %.1f MB at most", m.name, float64(peakMemory(m.process.Process.Pid))/(1<<20))
}

// peakMemory returns the largest resident memory of a process in bytes.
func peakMemory(pid int) (bytes int64) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if n, err := fmt.Sscanf(line, "VmHWM: %d kB", &bytes); n == 1 && err == nil {
			return bytes << 10
		}
	}
	return 0
}

func (b *memoryBook) arrive(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ran[id] = true
}

func (b *memoryBook) upload(ctx context.Context, r *run, m *machine) {
	client := &http.Client{Timeout: 9 * time.Second, Transport: &http.Transport{}}
	for ctx.Err() == nil {
		body := &pacedBody{left: uploadBytes}
		length := int64(-1)
		if !r.trouble {
			length = uploadBytes
		}
		sent := time.Now()
		status := b.send(client, m, body, length, "upload")
		r.logf("%s: upload of %d bytes sent at %.3f: %s", m.name, uploadBytes, r.at(sent), status)
		sleep(ctx, uploadPause)
	}
}

func (b *memoryBook) sendSmall(ctx context.Context, m *machine) {
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{}}
	sleep(ctx, rand.N(time.Second))
	for ctx.Err() == nil {
		b.send(client, m, strings.NewReader("damage"), 6, "small")
		sleep(ctx, time.Second)
	}
}

// send sends one request and returns how it ended.
func (b *memoryBook) send(client *http.Client, m *machine, body io.Reader, length int64, kind string) string {
	id := fmt.Sprintf("%016x", rand.Uint64())
	request, err := http.NewRequest(http.MethodPost, "http://"+m.address(frontPort)+"/scan/7", body)
	if err != nil {
		return err.Error()
	}
	request.ContentLength = length
	request.Host = memoryHost
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", "8000")
	response, err := client.Do(request)
	status := "no answer"
	if err == nil {
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		status = response.Status
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.statuses[kind+": "+status]++
	if err != nil && b.ran[id] {
		b.lost++
	}
	return status
}
