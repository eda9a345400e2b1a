package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

const (
	// nodeFile is the variable that names the settings file of a process.
	nodeFile = "GYPSUMQUAY_NODE_FILE"
)

const (
	// The offsets of the ports of a machine.
	frontPort = iota
	readyPort
	controlPort
	directoryPort
	internalPort
	portCount = internalPort + 8
)

type (
	// deployment is what all machines of a case have in common.
	deployment struct {
		dir     string
		command []string
		base    int
		store   *store
		zones   map[string]string
		seeds   []string
		// bounds holds further lines of the settings files.
		bounds string
	}

	// machine is one edge machine with its process.
	machine struct {
		deployment *deployment
		name, zone string
		ip         string
		door       *door
		log        *os.File
		process    *exec.Cmd
		exited     chan struct{}
	}
)

// newDeployment reads the deploy file and looks for ports that are free on all loopback addresses.
func newDeployment(s *store, zones map[string]string, bounds string) (*deployment, error) {
	command, err := deployCommand()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, command: command, store: s, zones: zones, bounds: bounds}
	for d.base = 21000 + os.Getpid()%300*30; d.base < 60000; d.base += portCount {
		if d.portsFree() {
			return d, nil
		}
	}
	return nil, errors.New("no free ports")
}

func (d *deployment) portsFree() bool {
	for i := range portCount {
		l, err := net.Listen("tcp", fmt.Sprintf(":%d", d.base+i))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// deployCommand returns the command with which the deploy file starts a proxy.
func deployCommand() ([]string, error) {
	file, err := os.Open("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if text, found := strings.CutPrefix(lines.Text(), "run = "); found {
			return strings.Fields(strings.Trim(text, `"`)), nil
		}
	}
	return nil, errors.New("deploy/system.toml has no line with run")
}

// addMachine adds the machine with a number, without a process. Its address is 127.0.0.10 + number.
func (d *deployment) addMachine(number int, zone string) (*machine, error) {
	m := &machine{deployment: d, name: fmt.Sprintf("edge-%s-%d", zone, number), zone: zone, ip: fmt.Sprintf("127.0.0.%d", 10+number)}
	var err error
	if m.door, err = d.store.open(m.ip); err != nil {
		return nil, err
	}
	m.log, err = os.Create(filepath.Join(d.dir, m.name+".log"))
	return m, err
}

func (m *machine) address(port int) string {
	return fmt.Sprintf("%s:%d", m.ip, m.deployment.base+port)
}

// start writes the settings file and starts the process. first is set if the whole system starts for
// the first time.
func (m *machine) start(first bool) error {
	d := m.deployment
	var text strings.Builder
	fmt.Fprintf(&text, "NodeName=%s\nRole=proxy\nMachineClass=edge\nServes=edge,directory,control\nIp=%s\nZone=%s\nRegion=%s\n", m.name, m.ip, m.zone, d.zones[m.zone])
	for zone, region := range d.zones {
		fmt.Fprintf(&text, "Zones.%s=%s\n", zone, region)
	}
	fmt.Fprintf(&text, "Listen.Front=%s\nListen.Ready=%s\nListen.Control=%s\nListen.Directory=%s\nInternalPorts=%d,%d\n",
		m.address(frontPort), m.address(readyPort), m.address(controlPort), m.address(directoryPort), d.base+internalPort, d.base+portCount-1)
	fmt.Fprintf(&text, "Seeds=%s\nBootstrap=%t\nLimits.CpuShare=0.32\nLimits.CpuCores=1\nLimits.MemoryMb=284\nLimits.MaxFds=4100\nLimits.LinkMbps=1000.0\n", strings.Join(d.seeds, ","), first)
	fmt.Fprintf(&text, "Provider.Address=%s\nProvider.form=kv\n%s", m.door.address, d.bounds)
	path := filepath.Join(d.dir, m.name+".conf")
	if err := os.WriteFile(path, []byte(text.String()), 0o600); err != nil {
		return err
	}
	process := exec.Command(d.command[0], d.command[1:]...)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, nodeFile + "=" + path}
	process.Stdout, process.Stderr = m.log, m.log
	if err := process.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.process, m.exited = process, exited
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	return nil
}

// kill ends the process, if one runs, and waits for that.
func (m *machine) kill() {
	if m.process == nil {
		return
	}
	_ = m.process.Process.Kill()
	<-m.exited
	m.process = nil
}

// isReady asks the machine as the platform does.
func (m *machine) isReady() bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.address(readyPort) + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitReady waits until the machine is ready.
func (m *machine) waitReady(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if m.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready within %s", m.name, timeout)
}
