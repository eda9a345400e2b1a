package backendhttp

import (
	"net/http"
	"testing"
	"time"

	"github.com/gypsumquay/gypsumquay/internal/kernel/backpressure"
	"github.com/gypsumquay/gypsumquay/internal/kernel/caller"
)

// Guards against backpressure signals of backend servers that are lost or forwarded to callers.
func TestSignalsAreReportedAndNotForwarded(t *testing.T) {
	s := startRawServer(t, writeAndClose("HTTP/1.1 200 OK\r\nGypsumquay-Limit: 2.5\r\nContent-Length: 0\r\n\r\n"))
	response := send(t, s.address, http.MethodGet, time.Second)
	want := backpressure.Signal{Limit: backpressure.Limit{Set: true, PerSecond: 2.5}}
	if response.Report == nil || response.Report.Signal != want {
		t.Errorf("got %+v, want %+v", response.Report, want)
	}
	if got := response.Answer.Header.Get(caller.HeaderLimit); got != "" {
		t.Errorf("the caller receives a limit of %s", got)
	}
	s = startRawServer(t, writeAndClose("HTTP/1.1 503 No\r\nGypsumquay-Outcome: not-run\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n"))
	response = send(t, s.address, http.MethodGet, time.Second)
	want = backpressure.Signal{Pause: 2 * time.Second}
	if response.Report == nil || response.Report.Signal != want {
		t.Errorf("got %+v, want %+v", response.Report, want)
	}
}
