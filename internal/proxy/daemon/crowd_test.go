package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/adapter/operatorhttp"
)

const (
	// crowdFiles is the limit of open files of each proxy, crowdSize how many clients misbehave.
	crowdFiles = 300
	crowdSize  = 400
	// crowdPause is the pause of a client before it connects again.
	crowdPause         = 20 * time.Millisecond
	crowdClientTimeout = 5 * time.Second
)

// limitOpenFiles replaces the proxy's executable by one that has crowdFiles open files at most.
func (f *fleet) limitOpenFiles() {
	f.t.Helper()
	program := filepath.Join(f.binDir, "gypsumquayd")
	if err := os.Rename(program, program+"-unlimited"); err != nil {
		f.t.Fatal(err)
	}
	text := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec %s-unlimited \"$@\"\n", crowdFiles, program)
	if err := os.WriteFile(program, []byte(text), 0o700); err != nil {
		f.t.Fatal(err)
	}
}

// runCrowd opens connections until the context is done, sends a text on each and waits for their end.
func runCrowd(ctx context.Context, crowd *sync.WaitGroup, address netip.AddrPort, text string) {
	for range crowdSize {
		crowd.Go(func() {
			for ctx.Err() == nil {
				dialer := net.Dialer{Timeout: time.Second}
				if c, err := dialer.DialContext(ctx, "tcp", address.String()); err == nil {
					stop := context.AfterFunc(ctx, func() { _ = c.Close() })
					if _, err := io.WriteString(c, text); err == nil {
						_, _ = io.Copy(io.Discard, c)
					}
					stop()
					_ = c.Close()
				}
				select {
				case <-ctx.Done():
				case <-time.After(crowdPause):
				}
			}
		})
	}
}

// answers reports whether a GET request on a new connection is answered with 200.
func answers(address netip.AddrPort, target string) bool {
	client := &http.Client{Timeout: crowdClientTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address.String() + target)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Guards against clients that use up the descriptors of a proxy at one of its addresses and shut others out.
func TestCrowdLeavesRoomForOthers(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	f := startFleet(t, (*fleet).limitOpenFiles)
	process := f.proxies[0].Process.Pid
	head := "POST /services/notice-board HTTP/1.1\r\nHost: x\r\n"
	for _, c := range []struct {
		name, text string
		address    netip.AddrPort
	}{
		{"callers, no request", "", f.callers[0]},
		{"callers, heads without end", head + strings.Repeat("a:\r\n", 1000), f.callers[0]},
		{"callers, bodies without end", head + "Content-Length: 1000\r\n\r\nx", f.callers[0]},
		{"operators, no request", "", f.operators[0]},
		{"operators, bodies without end", "POST " + operatorhttp.PathProposals + " HTTP/1.1\r\nHost: x\r\nContent-Length: 1000\r\n\r\nx", f.operators[0]},
		{"peers, no call", "", f.peers[0]},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			var crowd sync.WaitGroup
			defer crowd.Wait()
			defer cancel()
			runCrowd(ctx, &crowd, c.address, c.text)
			peak, answered := 0, 0
			for end := time.Now().Add(waitTimeout); answered < 3 && time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
				list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", process))
				if err != nil {
					t.Fatalf("the process has exited: %v", err)
				}
				peak = max(peak, len(list))
				if time.Until(end) < waitTimeout-2*time.Second && answers(f.callers[0], "/v1/lookup?service=notice-board") && answers(f.operators[0], "/readyz") {
					answered++
				}
			}
			if answered < 3 {
				t.Errorf("%d lookups and questions of operators were answered within %s, want 3", answered, waitTimeout)
			}
			if peak >= crowdFiles {
				t.Errorf("the process had %d open files, the limit is %d", peak, crowdFiles)
			}
		})
	}
}
