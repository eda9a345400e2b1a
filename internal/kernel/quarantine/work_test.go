package quarantine_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
)

func ExampleWorkOf() {
	first := quarantine.WorkOf("GET", "sheets.example", "/a/17?day=2", "", nil)
	again := quarantine.WorkOf("GET", "sheets.example", "/a/17?day=2", "", nil)
	other := quarantine.WorkOf("GET", "sheets.example", "/a/18?day=2", "", nil)
	fmt.Println(first == again, first == other)
	// Output: true false
}

func TestWorkDiffersByEachPart(t *testing.T) {
	base := quarantine.WorkOf("POST", "h", "/a", "key", []byte("body"))
	for name, other := range map[string]quarantine.Work{
		"method":              quarantine.WorkOf("PUT", "h", "/a", "key", []byte("body")),
		"host":                quarantine.WorkOf("POST", "i", "/a", "key", []byte("body")),
		"path":                quarantine.WorkOf("POST", "h", "/b", "key", []byte("body")),
		"query":               quarantine.WorkOf("POST", "h", "/a?q", "key", []byte("body")),
		"account":             quarantine.WorkOf("POST", "h", "/a", "yek", []byte("body")),
		"body":                quarantine.WorkOf("POST", "h", "/a", "key", []byte("ydob")),
		"text moved to next":  quarantine.WorkOf("POST", "h/", "a", "key", []byte("body")),
		"text moved to body":  quarantine.WorkOf("POST", "h", "/a", "", []byte("keybody")),
		"account before body": quarantine.WorkOf("POST", "h", "/a", "keybody", nil),
	} {
		if other == base {
			t.Errorf("%s: got the same work, want another", name)
		}
	}
}

func TestWorkAsText(t *testing.T) {
	work := quarantine.WorkOf("GET", "h", "/a", "", nil)
	text, err := json.Marshal(work)
	if err != nil {
		t.Fatal(err)
	}
	var got quarantine.Work
	if err := json.Unmarshal(text, &got); err != nil || got != work {
		t.Errorf("got %v, %v, want %v", got, err, work)
	}
	for _, wrong := range []string{`"12"`, `"zz345678901234567890123456789012"`} {
		if err := json.Unmarshal([]byte(wrong), &got); err == nil {
			t.Errorf("%s: got no error", wrong)
		}
	}
}
