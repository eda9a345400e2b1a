package settings

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
)

type (
	// invalidFieldCase is a change of one field of a valid file, and the text that the error must
	// contain.
	invalidFieldCase struct {
		Name  string          `json:"name"`
		Field string          `json:"field"`
		Value json.RawMessage `json:"value"`
		Want  string          `json:"want"`
	}
)

func validFields(t *testing.T) map[string]json.RawMessage {
	t.Helper()
	data, err := os.ReadFile("testdata/good.json")
	if err != nil {
		t.Fatal(err)
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		t.Fatal(err)
	}
	return fields
}

func parseFields(t *testing.T, fields map[string]json.RawMessage) (*Settings, error) {
	t.Helper()
	data, err := json.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	return Parse(data)
}

func TestDefaultsAreFilledIn(t *testing.T) {
	s, err := parseFields(t, validFields(t))
	if err != nil {
		t.Fatalf("got error %v, want none", err)
	}
	if got, want := s.Limits.MaxInFlight, defaultMaxInFlight; got != want {
		t.Errorf("got %d requests in flight, want %d", got, want)
	}
}

// TestInvalidSettings applies the changes of a data file one by one. Each must cause an error that
// names the field.
func TestInvalidSettings(t *testing.T) {
	data, err := os.ReadFile("testdata/wrong.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []invalidFieldCase
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			fields := validFields(t)
			fields[c.Field] = c.Value
			_, err := parseFields(t, fields)
			if err == nil {
				t.Fatalf("got no error, want one that names %q", c.Want)
			}
			if got := err.Error(); !strings.Contains(got, c.Want) {
				t.Errorf("got error %q, want one that names %q", got, c.Want)
			}
		})
	}
}
