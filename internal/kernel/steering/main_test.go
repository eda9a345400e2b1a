package steering

import (
	"fmt"
	"os"
	"reflect"
	"testing"
)

// TestMain checks after all tests that none has changed the state that all unused servers share. A
// server that is written to without a call of use would change what a proxy knows of all others.
func TestMain(m *testing.M) {
	code := m.Run()
	if want := newServerUse(); !reflect.DeepEqual(unused, want) {
		fmt.Fprintf(os.Stderr, "the state of unused servers has changed: got %+v, want %+v\n", unused, want)
		code = 1
	}
	os.Exit(code)
}
