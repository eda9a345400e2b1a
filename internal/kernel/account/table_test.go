package account

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
)

func mustHashKey(t testing.TB, text string) Key {
	t.Helper()
	k, ok := HashKey(text)
	if !ok {
		t.Fatalf("HashKey rejects %q, want a key", text)
	}
	return k
}

func TestByKey(t *testing.T) {
	anna := &Account{Name: "anna", Keys: []Key{mustHashKey(t, "1"), mustHashKey(t, "2"), mustHashKey(t, "2")}}
	table, conflicts := NewTable([]*Account{anna, {Name: "bruno", Keys: []Key{mustHashKey(t, "3")}}})
	if len(conflicts) > 0 {
		t.Errorf("got conflicts %v, want none: an account may list a key twice", conflicts)
	}
	for text, want := range map[string]string{"1": "anna", "2": "anna", "3": "bruno", "4": ""} {
		got := ""
		if a := table.ByKey(mustHashKey(t, text)); a != nil {
			got = a.Name
		}
		if got != want {
			t.Errorf("key %s: got account %q, want %q", text, got, want)
		}
	}
}

// Guards against a shared key that is attributed to whichever account was read first.
func TestKeyOfTwoAccountsMatchesNeither(t *testing.T) {
	table, conflicts := NewTable([]*Account{
		{Name: "anna", Keys: []Key{mustHashKey(t, "1"), mustHashKey(t, "2")}}, {Name: "bruno", Keys: []Key{mustHashKey(t, "1")}}, {Name: "carla", Keys: []Key{mustHashKey(t, "1")}},
	})
	if a := table.ByKey(mustHashKey(t, "1")); a != nil {
		t.Errorf("shared key: got account %s, want none", a.Name)
	}
	if a := table.ByKey(mustHashKey(t, "2")); a == nil || a.Name != "anna" {
		t.Errorf("other key: got account %v, want anna", a)
	}
	if got, want := len(conflicts), 2; got != want {
		t.Errorf("got %d conflicts, want %d", got, want)
	}
}

func TestHashKeyRejectsInvalidText(t *testing.T) {
	for _, text := range []string{"", strings.Repeat("x", maxKeyBytes+1)} {
		if _, ok := HashKey(text); ok {
			t.Errorf("HashKey accepts a text of %d bytes, want it rejected", len(text))
		}
	}
}

func TestCredentialIsEncodedAsFingerprint(t *testing.T) {
	const text = "fwrz56aw63is47qdqiqr"
	data, err := json.Marshal(Credential{State: CredentialPresent, Key: mustHashKey(t, text)})
	if err != nil || strings.Contains(string(data), text) {
		t.Errorf("got encoded credential %s, %v; want one without the text of the key", data, err)
	}
	var decoded Credential
	if err := json.Unmarshal(data, &decoded); err != nil || decoded.Key.Fingerprint() != mustHashKey(t, text).Fingerprint() {
		t.Errorf("got key %s, %v after decoding, want fingerprint %s", decoded.Key, err, mustHashKey(t, text))
	}
}

func BenchmarkByKey(b *testing.B) {
	for _, keys := range []int{10, 1_000, 100_000} {
		b.Run(fmt.Sprint(keys), func(b *testing.B) {
			a := &Account{Name: "anna"}
			for i := range keys {
				a.Keys = append(a.Keys, mustHashKey(b, fmt.Sprint(i)))
			}
			table, _ := NewTable([]*Account{a})
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				k, _ := HashKey("17")
				if table.ByKey(k) == nil && keys > 17 {
					b.Fatal("key not found")
				}
			}
		})
	}
}

func BenchmarkNewTable(b *testing.B) {
	a := &Account{Name: "anna"}
	for i := range 100_000 {
		a.Keys = append(a.Keys, mustHashKey(b, fmt.Sprint(i)))
	}
	b.ReportAllocs()
	for b.Loop() {
		NewTable([]*Account{a})
	}
}
