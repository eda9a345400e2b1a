package quarantine_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/gypsumquay/gypsumquay/internal/kernel/quarantine"
)

func ExampleNewFingerprint() {
	first := quarantine.NewFingerprint("GET", "sheets.example", "/a/17?day=2", "", nil)
	again := quarantine.NewFingerprint("GET", "sheets.example", "/a/17?day=2", "", nil)
	other := quarantine.NewFingerprint("GET", "sheets.example", "/a/18?day=2", "", nil)
	fmt.Println(first == again, first == other)
	// Output: true false
}

func TestFingerprintCoversEachField(t *testing.T) {
	base := quarantine.NewFingerprint("POST", "h", "/a", "key", []byte("body"))
	for name, other := range map[string]quarantine.Fingerprint{
		"method":              quarantine.NewFingerprint("PUT", "h", "/a", "key", []byte("body")),
		"host":                quarantine.NewFingerprint("POST", "i", "/a", "key", []byte("body")),
		"path":                quarantine.NewFingerprint("POST", "h", "/b", "key", []byte("body")),
		"query":               quarantine.NewFingerprint("POST", "h", "/a?q", "key", []byte("body")),
		"account":             quarantine.NewFingerprint("POST", "h", "/a", "yek", []byte("body")),
		"body":                quarantine.NewFingerprint("POST", "h", "/a", "key", []byte("ydob")),
		"bytes moved to next": quarantine.NewFingerprint("POST", "h/", "a", "key", []byte("body")),
		"bytes moved to body": quarantine.NewFingerprint("POST", "h", "/a", "", []byte("keybody")),
		"account before body": quarantine.NewFingerprint("POST", "h", "/a", "keybody", nil),
	} {
		if other == base {
			t.Errorf("%s: got the same fingerprint, want another", name)
		}
	}
}

func TestFingerprintText(t *testing.T) {
	fp := quarantine.NewFingerprint("GET", "h", "/a", "", nil)
	text, err := json.Marshal(fp)
	if err != nil {
		t.Fatal(err)
	}
	var got quarantine.Fingerprint
	if err := json.Unmarshal(text, &got); err != nil || got != fp {
		t.Errorf("got %v, %v, want %v", got, err, fp)
	}
	for _, invalid := range []string{`"12"`, `"zz345678901234567890123456789012"`} {
		if err := json.Unmarshal([]byte(invalid), &got); err == nil {
			t.Errorf("%s: got no error", invalid)
		}
	}
}
