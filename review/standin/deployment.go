package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

const (
	attemptHeader = "X-Attempt-Id"
	sealHeader    = "X-Response-Seal"
	healthPath    = "/health"
	host          = "review.example"
	// startTimeout is how long the proxies may take until they are ready.
	startTimeout = 20 * time.Second
	// inTouchAfter is longer than Contact of the settings.
	inTouchAfter = 5 * time.Second
	// firstPort and lastPort bound the ports of the proxies.
	firstPort = 12000
	lastPort  = 31000
)

type (
	// deployment is a store, workers and proxies.
	deployment struct {
		record  *record
		store   *store
		workers []*worker
		proxies []*proxy
		dir     string
		version int
	}

	// proxy is one process of the system.
	proxy struct {
		name, zone, region      string
		front, ready, directory string
		settings                string
		command                 *exec.Cmd
		exited                  chan struct{}
	}

	// place is a zone and its region.
	place struct{ zone, region string }
)

// newDeployment starts a store.
func newDeployment(r *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s, err := startStore()
	return &deployment{record: r, store: s, dir: dir}, err
}

// addWorker starts a worker and registers it.
func (d *deployment) addWorker(id, service, zone string, slots int, behave func(arrival) reply) error {
	w, err := startWorker(d.record, id, service, zone, slots, behave)
	if err != nil {
		return err
	}
	d.workers = append(d.workers, w)
	go func() {
		for sequence := 1; ; sequence++ {
			d.store.put(serverPrefix+w.id, w.entry("ready", sequence))
			time.Sleep(1500 * time.Millisecond)
		}
	}()
	return nil
}

// configure writes the operator's configuration.
func (d *deployment) configure(routes, services map[string]any) {
	d.version += 3
	d.store.put(configKey, map[string]any{
		"Version": fmt.Sprintf("r%d", d.version), "Routes": routes, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
	})
	d.record.writef("operator: configuration r%d is acknowledged", d.version)
}

func serviceSettings() map[string]any {
	return map[string]any{"HealthPath": healthPath, "MaxConns": 360, "Protocol": "h1", "Tls": false, "ColdStart": "3s", "ColdPerS": 3.1}
}

// addProxies starts a proxy in each place and waits until all are ready.
func (d *deployment) addProxies(places []place) error {
	for _, p := range places {
		if err := d.addProxy(p, places); err != nil {
			return err
		}
	}
	return d.waitReady()
}

// addProxy writes the settings of a proxy and starts it with the command of the deploy file.
func (d *deployment) addProxy(p place, all []place) error {
	ports, err := freePorts(6)
	if err != nil {
		return err
	}
	address := func(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }
	x := &proxy{
		name: fmt.Sprintf("edge-%s-%d", p.zone, len(d.proxies)+1), zone: p.zone, region: p.region,
		front: address(ports[0]), ready: address(ports[1]), directory: address(ports[3]), exited: make(chan struct{}),
	}
	text := fmt.Sprintf("NodeName=%s\nRole=proxy\nMachineClass=edge\nServes=edge,control,directory\nIp=127.0.0.1\nZone=%s\nRegion=%s\n", x.name, x.zone, x.region)
	for _, other := range all {
		text += fmt.Sprintf("Zones.%s=%s\n", other.zone, other.region)
	}
	text += fmt.Sprintf("Listen.Front=%s\nListen.Ready=%s\nListen.Control=%s\nListen.Directory=%s\nInternalPorts=%d,%d\nSeeds=%s\n", x.front, x.ready, address(ports[2]), x.directory, ports[4], ports[5], address(ports[2]))
	text += strings.Join([]string{
		"Bootstrap=true", "LossCounted=false", "Limits.CpuShare=0.32", "Limits.CpuCores=1", "Limits.MemoryMb=284", "Limits.MaxFds=4100", "Limits.LinkMbps=1000.0", "Limits.DiskMb=0",
		"Discovery=platform", "Entry=directory", "Heartbeat=1500ms", "Contracts=base,drain,config,cost,retry,recover,places,platform",
		"FaultTolerance.Machines=1", "FaultTolerance.Zones=1", "FaultTolerance.Regions=1",
		"Bounds.SeedLag=3s", "Bounds.ReuseDelay=2s", "Bounds.Contact=4000ms", "Bounds.Ack=4000ms", "Bounds.CatchUp=4s", "Bounds.Drain=2500ms", "Bounds.Grace=6s", "Bounds.LossSlack=200ms",
		"Bounds.ConfigApply=2500ms", "Bounds.RollbackSlack=250ms", "Bounds.MaxSkew=6000ms", "Bounds.RetryBudgetRatio=0.2", "Bounds.BudgetWindow=10s", "Bounds.RetryBudgetSlack=60",
		"Bounds.ColdFactor=1.5", "Bounds.ColdSlack=5", "Bounds.Evacuate=5000ms", "Bounds.Recovery=15s", "Bounds.ttl_max=5s", "Bounds.MaxShift=0.15",
		"Provider.Address=" + d.store.address, "Provider.form=kv", "Provider.WritesPerS=400", "Provider.ReadsPerS=2000", "Provider.History=20s", "Provider.ValueBytes=1048576", "Provider.TtlMin=1000ms", "",
	}, "\n")
	x.settings = filepath.Join(d.dir, x.name+".conf")
	if err := os.WriteFile(x.settings, []byte(text), 0o600); err != nil {
		return err
	}
	d.proxies = append(d.proxies, x)
	return d.start(x)
}

// start starts the process of a proxy.
func (d *deployment) start(x *proxy) error {
	words, err := deployCommand()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(d.dir, x.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	x.command = exec.Command(words[0], words[1:]...)
	x.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GYPSUMQUAY_NODE_FILE=" + x.settings}
	x.command.Stdout, x.command.Stderr = log, log
	x.exited = make(chan struct{})
	if err := x.command.Start(); err != nil {
		return err
	}
	d.record.writef("proxy %s starts", x.name)
	running.add(x.command.Process)
	go func(c *exec.Cmd, exited chan struct{}) {
		_ = c.Wait()
		close(exited)
	}(x.command, x.exited)
	return nil
}

// waitReady waits until all proxies are ready.
func (d *deployment) waitReady() error {
	end := time.Now().Add(startTimeout)
	for _, x := range d.proxies {
		for !x.isReady() {
			if time.Now().After(end) {
				return errors.New(x.name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// A machine is in touch once it has run for Contact, which is 4 s.
	time.Sleep(inTouchAfter)
	return nil
}

func (x *proxy) isReady() bool {
	response, err := http.Get("http://" + x.ready + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stop ends all proxies.
func (d *deployment) stop() {
	for _, x := range d.proxies {
		_ = x.command.Process.Kill()
	}
	for _, x := range d.proxies {
		select {
		case <-x.exited:
		case <-time.After(5 * time.Second):
		}
	}
	_ = os.RemoveAll(d.dir)
}

// deployCommand returns the words of the command of the deploy file.
func deployCommand() ([]string, error) {
	data, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if text, found := strings.CutPrefix(line, "run = "); found {
			return strings.Fields(strings.Trim(text, `"`)), nil
		}
	}
	return nil, errors.New("deploy/system.toml has no run command")
}

// freePorts returns ports in a row that are free. They lie below those that the system gives to
// connections, which could take them before a process listens.
func freePorts(n int) ([]int, error) {
	for range 200 {
		first := firstPort + rand.IntN(lastPort-firstPort-n)
		var ports []int
		for port := first; port < first+n; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
			if err != nil {
				break
			}
			_ = l.Close()
			ports = append(ports, port)
		}
		if len(ports) == n {
			return ports, nil
		}
	}
	return nil, errors.New("no free ports")
}
