// Command gypsumquayd is the proxy daemon: it accepts requests from callers, steers them to backend
// servers, and exchanges state with its peers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"k8s.io/klog/v2"

	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
	"github.com/gypsumquay/gypsumquay/internal/proxy/daemon"
	"github.com/gypsumquay/gypsumquay/internal/proxy/forward"
	"github.com/gypsumquay/gypsumquay/internal/proxy/logs"
	"github.com/gypsumquay/gypsumquay/internal/proxy/recording"
	"github.com/gypsumquay/gypsumquay/internal/proxy/settings"
	"github.com/gypsumquay/gypsumquay/platform"
)

const (
	exitFailure  = 1
	exitSettings = 2
	// logBufferLines limits the log lines that are buffered for a slow reader.
	logBufferLines = 4096
)

type (
	arguments struct {
		Settings      string               `arg:"positional" help:"settings file (JSON)"`
		CheckSettings bool                 `arg:"--check-settings" help:"check the settings and exit"`
		OnPlatform    bool                 `arg:"--on-platform" help:"run on the platform, with the settings file that the platform names"`
		Record        string               `arg:"--record" help:"directory for a recording of the kernel calls, for gypsumquayctl steering replay (with --on-platform)"`
		Off           []steering.Mechanism `arg:"--off,separate" help:"mechanism to disable, repeat for more; an unknown name lists all (with --on-platform)"`
		Verbosity     int                  `arg:"-v,--verbosity" default:"0" help:"log verbosity, 0 to 2"`
	}
)

func (arguments) Description() string {
	return "gypsumquayd steers callers' requests to backend servers."
}

func main() {
	var a arguments
	parser := arg.MustParse(&a)
	if !a.OnPlatform && a.Settings == "" {
		parser.Fail("a settings file or --on-platform is required")
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	start := runStandalone
	if a.OnPlatform {
		start = runOnPlatform
	}
	os.Exit(start(ctx, a))
}

// runStandalone runs a proxy with its own caller interface and the servers of a bundle.
func runStandalone(ctx context.Context, a arguments) int {
	s, err := settings.Load(a.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if a.CheckSettings {
		fmt.Println("settings are in order")
		return 0
	}
	logs.Setup(os.Stderr, a.Verbosity, "vm", s.Name)
	d, err := daemon.New(s)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	return run(ctx, d.Run)
}

// runOnPlatform runs a proxy that gets its settings file and its servers from the platform.
func runOnPlatform(ctx context.Context, a arguments) int {
	reload := reloadSignals()
	if a.Settings == "" {
		a.Settings = os.Getenv(platform.SettingsEnv)
	}
	s, err := platform.LoadSettings(a.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if a.CheckSettings {
		fmt.Println("settings are in order")
		return 0
	}
	buffer := logs.NewBuffer(os.Stdout, logBufferLines)
	defer buffer.Close()
	logs.Setup(buffer, a.Verbosity, "vm", s.Proxy.Name, "vm-region", s.Proxy.Region)
	s.Proxy.DisabledMechanisms = a.Off
	deps := platform.NewDependencies(a.Settings, s, buffer.Dropped)
	if a.Record != "" {
		file, err := recording.Create(a.Record, s.Proxy.Name, time.Now())
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitSettings
		}
		defer closeRecording(file)
		deps.Record = file.Write
	}
	d, err := forward.New(&s.Proxy, deps)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	return run(ctx, func(ctx context.Context) error { return d.Run(ctx, reload) })
}

func closeRecording(f *recording.File) {
	if err := f.Close(); err != nil {
		klog.ErrorS(err, "failed to close the recording; its end may be missing")
	}
}

// reloadSignals returns a channel that receives SIGHUP as a request to reload. Unhandled, SIGHUP
// would terminate the process.
func reloadSignals() <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	reload := make(chan struct{}, 1)
	go func() {
		for range signals {
			select {
			case reload <- struct{}{}:
			default:
			}
		}
	}()
	return reload
}

func run(ctx context.Context, serve func(context.Context) error) int {
	if err := serve(ctx); err != nil {
		klog.ErrorS(err, "stopped")
		return exitFailure
	}
	return 0
}
