package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// Doses, at most those of the site file and of `fleetbench kinds`: garble with share = 0.35,
	// x = 0.02 and for_s = 5.
	noiseWorkers = 2
	noiseShare   = 0.02
	noiseFor     = 5 * time.Second
	noiseCycles  = 14
	noiseCycle   = 6 * time.Second
	// noiseBytesPerS is the speed of a worker that sends noise, below LinkMbps of a machine
	// (1,000 Mbit/s, which are 125 million bytes).
	noiseBytesPerS = 100_000_000
	// memoryMB is MemoryMb of the settings.
	memoryMB = 284
	// memoryInterval is how often the platform looks at the memory, restartDelay how long it waits
	// until it starts a process again.
	memoryInterval = 20 * time.Millisecond
	restartDelay   = 500 * time.Millisecond
)

// runNoise lets some workers send bytes that are no response in place of a few of their answers, while
// the platform kills each process that exceeds its memory. It returns the violations of LOST: a process
// that ends by itself counts as running.
func runNoise(r *record, trouble bool) ([]string, error) {
	d, err := newDeployment(r)
	if err != nil {
		return nil, err
	}
	defer d.stop()
	places := []place{{"pa-brancaccio", "palermo"}, {"pa-carini", "palermo"}, {"ct-zia-lisa", "catania"}}
	var garbling window
	// noisy is set while a worker sends noise: only one does at a time, so that the noise fits the link
	// of a machine.
	var noisy atomic.Bool
	for i := range 6 {
		err := d.addWorker(fmt.Sprintf("i-%d", i+1), "capitolati", places[i%len(places)].zone, 4, func(arrival) reply {
			a := reply{runs: true, status: http.StatusOK, work: 150 * time.Millisecond}
			if i < noiseWorkers && garbling.isOpen() && rand.Float64() < noiseShare && noisy.CompareAndSwap(false, true) {
				a.noise = &noisy
			}
			return a
		})
		if err != nil {
			return nil, err
		}
	}
	d.configure(map[string]any{"r-spec": map[string]any{
		"Host": host, "Prefix": "/spec/", "Kind": "idempotent", "Timeout": "3000ms", "TargetLatency": "1500ms", "Priority": 2, "Service": "capitolati", "MaxAttempts": 2, "Sticky": false, "AllowedRegions": []string{},
	}}, map[string]any{"capitolati": serviceSettings()})
	if err := d.addProxies(places); err != nil {
		return nil, err
	}
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		d.limitMemory(stop)
	}()
	var answers answerList
	wait := d.runClients(24, noiseCycles*noiseCycle, func(_ int, c *client) {
		answers.add(c.send(call{method: http.MethodGet, path: "/spec/7", deadline: 12 * time.Second}))
		time.Sleep(time.Duration(150+rand.IntN(200)) * time.Millisecond)
	})
	for range noiseCycles {
		if trouble {
			garbling.open(r, "garble", noiseFor)
		}
		time.Sleep(noiseCycle)
	}
	wait()
	close(stop)
	<-stopped
	return lostViolations(r, answers.list, d.workers[noiseWorkers:]), nil
}

// limitMemory kills each process of the system that exceeds its memory, and starts it again.
func (d *deployment) limitMemory(stop chan struct{}) {
	ends, highest := make(map[string]int), make(map[string]int)
	for {
		select {
		case <-stop:
			d.record.writef("highest memory in MB by machine: %v; ends by memory: %v", highest, ends)
			return
		case <-time.After(memoryInterval):
		}
		for _, x := range d.proxies {
			used := memoryOf(x.command.Process.Pid)
			highest[x.name] = max(highest[x.name], used)
			if used <= memoryMB {
				continue
			}
			ends[x.name]++
			d.record.writef("platform: %s uses %d MB of %d MB and is killed", x.name, used, memoryMB)
			_ = x.command.Process.Kill()
			<-x.exited
			time.Sleep(restartDelay)
			if err := d.start(x); err != nil {
				d.record.writef("platform: %s can't be started: %v", x.name, err)
				return
			}
		}
	}
}

// memoryOf returns the resident memory of a process in MB.
func memoryOf(pid int) int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.SplitSeq(string(data), "\n") {
		if text, found := strings.CutPrefix(line, "VmRSS:"); found {
			kb, _ := strconv.Atoi(strings.Fields(text)[0])
			return kb >> 10
		}
	}
	return 0
}

// sendNoise sends bytes that are no response until the connection ends, and returns how many.
func sendNoise(c net.Conn) (sent int) {
	chunk := make([]byte, 64<<10)
	for i := range chunk {
		chunk[i] = byte('a' + rand.IntN(26))
	}
	startedAt := time.Now()
	for {
		n, err := c.Write(chunk)
		sent += n
		if err != nil {
			return sent
		}
		due := time.Duration(float64(sent) / noiseBytesPerS * float64(time.Second))
		time.Sleep(due - time.Since(startedAt))
	}
}
