// Command gypsumquay-fake runs fakes of the systems around the proxies: the platform, backend
// servers and callers.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/fake/backendfake"
	"github.com/gypsumquay/gypsumquay/internal/fake/callerfake"
	"github.com/gypsumquay/gypsumquay/internal/fake/kvfake"
	"github.com/gypsumquay/gypsumquay/internal/kernel/errs"
	"github.com/gypsumquay/gypsumquay/internal/kernel/operator"
)

type (
	platformArguments struct {
		Listen netip.AddrPort `arg:"required" help:"address to listen on"`
		Lag    time.Duration  `default:"2s" help:"delay of updates to the list of VMs"`
	}

	backendArguments struct {
		Bundle      string         `arg:"required" help:"bundle that defines the backend servers to run"`
		Region      string         `help:"only the backend servers of this region"`
		Control     netip.AddrPort `arg:"required" help:"address for statistics and control of behaviour"`
		ServiceTime time.Duration  `arg:"--service-time" default:"20ms"`
		Queue       int            `default:"8"`
		ReportLag   time.Duration  `arg:"--report-lag" default:"100ms"`
	}

	callerArguments struct {
		Seeds     []netip.AddrPort `arg:"required" help:"caller addresses of one or more proxies"`
		Callers   int              `default:"64"`
		Rate      float64          `default:"300" help:"requests per second"`
		Span      time.Duration    `default:"10s"`
		Browse    []string         `arg:"required" help:"services for idempotent requests"`
		Book      string           `arg:"required" help:"service for non-idempotent requests"`
		BookShare int              `arg:"--book-permille" default:"100"`
		Name      string           `default:"c" help:"prefix of the request keys"`
	}

	arguments struct {
		Platform *platformArguments `arg:"subcommand:platform" help:"key-value service and list of VMs"`
		Backend  *backendArguments  `arg:"subcommand:backend" help:"backend servers of a bundle"`
		Caller   *callerArguments   `arg:"subcommand:caller" help:"callers; prints a report"`
	}
)

func main() {
	var a arguments
	p := arg.MustParse(&a)
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	var err error
	switch {
	case a.Platform != nil:
		store := kvfake.NewStore(a.Platform.Lag)
		err = serve(ctx, a.Platform.Listen, kvfake.NewServer(store).Handler())
	case a.Backend != nil:
		err = a.Backend.run(ctx)
	case a.Caller != nil:
		err = a.Caller.run(ctx)
	default:
		p.Fail("a fake is required: platform, backend or caller")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func serve(ctx context.Context, address netip.AddrPort, h http.Handler) error {
	server := &http.Server{Addr: address.String(), Handler: h, ReadHeaderTimeout: time.Second}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	err := server.ListenAndServe()
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

func (a *backendArguments) run(ctx context.Context) error {
	data, err := os.ReadFile(a.Bundle)
	if err != nil {
		return errors.Wrap(err, "read bundle")
	}
	b, err := operator.ParseBundle(data)
	if err != nil {
		return err
	}
	servers := make(map[string]*backendfake.Server)
	failed := make(chan error, 1)
	behaviour := backendfake.Behaviour{ServiceTime: a.ServiceTime, QueueLength: a.Queue, ReportLag: a.ReportLag}
	for _, s := range b.Services {
		for _, c := range s.Servers {
			if a.Region != "" && c.Region != a.Region {
				continue
			}
			server := backendfake.New(c.Name, c.Slots, behaviour)
			servers[c.Name] = server
			go func() { failed <- serve(ctx, c.Address, server) }()
		}
	}
	go func() { failed <- serve(ctx, a.Control, backendfake.ControlHandler(servers)) }()
	return <-failed
}

func (a *callerArguments) run(ctx context.Context) error {
	fleet := callerfake.NewLoadGenerator(callerfake.Config{
		Seeds: a.Seeds, Callers: a.Callers, Rate: a.Rate, Duration: a.Span,
		BrowseServices: splitCommas(a.Browse), BookingService: a.Book, BookingPermille: a.BookShare, KeyPrefix: a.Name,
	})
	report := fleet.Run(ctx)
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return errs.Wrap(encoder.Encode(report), "encode report")
}

func splitCommas(list []string) []string {
	return strings.FieldsFunc(strings.Join(list, ","), func(r rune) bool { return r == ',' })
}
