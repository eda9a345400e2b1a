package losses

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

// The log of two proxies contains successful, late, rejected and failed requests, a duplicate, a
// line of another program, a truncated line and a count of omitted requests. Each loss must be
// counted once, with its cause, and nothing else.
func TestReadCountsEachLossOnce(t *testing.T) {
	file, err := os.Open(filepath.Join("testdata", "proxy.log"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	c := NewCounter()
	skipped, err := c.Read(file)
	if err != nil || skipped != 1 {
		t.Fatalf("%d lines skipped (%v), want only the truncated one", skipped, err)
	}
	table := c.Table()
	want := []Row{
		{Key{Late, Unknown, Unknown, "south", Unknown}, 4},
		{Key{Rejected, "queues-too-long", Unknown, "south", Unknown}, 3},
		{Key{Failed, "timeout", Unknown, "south", Unknown}, 2},
		{Key{Failed, "timeout, cold-server", "book", "south", "cold"}, 1},
		{Key{Late, "first-run", "browse", "north", "in-use"}, 1},
		{Key{Late, "queue", "browse", "north", "full"}, 1},
		{Key{Abandoned, "caller-left", "book", "south", "in-use"}, 1},
		{Key{Rejected, "queues-too-long", "book", "south", ""}, 1},
	}
	if !reflect.DeepEqual(table.Rows, want) {
		t.Errorf("rows are %+v, want %+v", table.Rows, want)
	}
	if table.Lost != 14 || len(table.Seconds) != 3 {
		t.Errorf("%d lost in %d seconds, want 14 in 3", table.Lost, len(table.Seconds))
	}
	sums := table.SumBy(func(k Key) string { return k.Cause })
	if got, want := sums[0], (Row{Key{Kind: Late, Cause: Unknown}, 4}); got != want {
		t.Errorf("largest sum is %+v, want %+v", got, want)
	}
}

func TestPlotWithoutLossesIsAnError(t *testing.T) {
	path := filepath.Join(t.TempDir(), "losses.svg")
	if err := NewCounter().Table().Plot(path); err == nil {
		t.Error("Plot without losses returned no error")
	}
	c := NewCounter()
	c.Add(EndedRequest{At: time.Unix(10, 0), Reason: "overload", Outcome: "not-run"})
	c.Add(EndedRequest{At: time.Unix(13, 0), Reason: "overload", Outcome: "not-run"})
	if err := c.Table().Plot(path); err != nil {
		t.Fatal(err)
	}
	if data, err := os.ReadFile(path); err != nil || !strings.Contains(string(data), "<svg") {
		t.Errorf("the plot is not an SVG file (%v)", err)
	}
}
