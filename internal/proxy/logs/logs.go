// Package logs configures klog to write JSON lines.
package logs

import (
	"flag"
	"io"
	"log/slog"
	"strconv"

	"k8s.io/klog/v2"
)

// Setup configures klog to write one JSON object per line to w. Verbosity 0 is for normal
// operation, 1 adds every failed call, and 2 more detail. The attributes are added to every line.
func Setup(w io.Writer, verbosity int, attributes ...any) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	_ = flags.Set("v", strconv.Itoa(verbosity))
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: slog.Level(-verbosity)})
	klog.SetSlogLogger(slog.New(handler).With(attributes...))
}
