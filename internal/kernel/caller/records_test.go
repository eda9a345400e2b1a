package caller

import (
	"encoding/json"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
)

type (
	// tokenScenario is a sequence of operations on tokens, read from testdata.
	tokenScenario struct {
		Name        string         `json:"name"`
		Description []string       `json:"story"`
		Steps       []scenarioStep `json:"steps"`
	}

	scenarioStep struct {
		Action    string `json:"do"`
		Token     string `json:"token,omitempty"`
		Process   string `json:"by,omitempty"`
		Wait      string `json:"wait,omitempty"`
		BodyBytes int    `json:"body,omitempty"`
		Want      string `json:"want,omitempty"`
	}

	scenarioRun struct {
		now       time.Time
		tokens    map[string]*Token
		lastNonce byte
		records   map[string]*TokenRecords
	}
)

func testTokenKey(fill byte) TokenKey {
	var k TokenKey
	for i := range k {
		k[i] = fill
	}
	return k
}

// TestTokenScenarios runs testdata/tokens.json and checks the result of each claim, with lost
// responses, retries, expiry, graceful shutdowns and handovers.
func TestTokenScenarios(t *testing.T) {
	data, err := os.ReadFile("testdata/tokens.json")
	if err != nil {
		t.Fatal(err)
	}
	var scenarios []tokenScenario
	if err := json.Unmarshal(data, &scenarios); err != nil {
		t.Fatal(err)
	}
	for _, s := range scenarios {
		t.Run(strings.ReplaceAll(s.Name, " ", "-"), func(t *testing.T) {
			r := &scenarioRun{
				now:    time.Unix(1_000_000, 0),
				tokens: make(map[string]*Token),
				records: map[string]*TokenRecords{
					"minter": NewTokenRecords(Minter{"proxy-1", 1}, testTokenKey(1)),
					"peer":   NewTokenRecords(Minter{"proxy-2", 1}, testTokenKey(2)),
				},
			}
			for i, st := range s.Steps {
				if got := r.runStep(t, st); got != st.Want {
					t.Fatalf("step %d (%s %s): got %q, want %q", i+1, st.Action, st.Token, got, st.Want)
				}
			}
		})
	}
}

func (r *scenarioRun) runStep(t *testing.T, s scenarioStep) string {
	t.Helper()
	process := s.Process
	if process == "" {
		process = "minter"
	}
	records := r.records[process]
	switch s.Action {
	case "mint":
		r.lastNonce++
		token, ok := records.Mint("ledger", Nonce{r.lastNonce}, r.now, time.Minute, 10*time.Minute)
		if !ok {
			return "refused"
		}
		parsed, err := ParseToken(token.Text())
		if err != nil {
			t.Fatal(err)
		}
		r.tokens[s.Token] = parsed
	case "use", "use-for-other-service":
		service := "ledger"
		if s.Action != "use" {
			service = "board"
		}
		claim, result := records.Claim(r.tokens[s.Token], service, r.now)
		if claim == ClaimGranted {
			return "fresh"
		}
		return strings.TrimSpace(result.Outcome.String() + " " + string(result.Reason))
	case "alter":
		r.tokens[s.Token].Expiry = r.tokens[s.Token].Expiry.Add(time.Hour)
	case "done":
		response := &Response{Status: 200, Body: make([]byte, s.BodyBytes)}
		return finishError(records.Finish(r.tokens[s.Token].Nonce, Result{Outcome: OutcomeDone, Response: response}))
	case "broken":
		return finishError(records.Finish(r.tokens[s.Token].Nonce, Result{Outcome: OutcomeUnknown, Reason: ReasonConnectionLost}))
	case "shed":
		records.Release(r.tokens[s.Token].Nonce)
	case "wait":
		d, err := time.ParseDuration(s.Wait)
		if err != nil {
			t.Fatal(err)
		}
		r.now = r.now.Add(d)
		records.Expire(r.now)
	case "close":
		records.Close()
	case "hand-over":
		for _, h := range records.Export() {
			r.records["peer"].Import(h)
		}
	default:
		t.Fatalf("unknown step %q", s.Action)
	}
	return ""
}

func finishError(err error) string {
	if errors.Is(err, ErrTokenRunTwice) {
		return "double run"
	}
	return ""
}

// FuzzParseToken checks that any text parses to a token or to an error, and that the text of a
// parsed token parses to the same token.
func FuzzParseToken(f *testing.F) {
	f.Add("g1.proxy-1.a.ledger.000102030405060708090a0b.1700000000000.AAAA")
	f.Add("g1......")
	f.Fuzz(func(t *testing.T, text string) {
		token, err := ParseToken(text)
		if err != nil {
			return
		}
		again, err := ParseToken(token.Text())
		if err != nil {
			t.Fatalf("parsing the text of a token: got error %v, want none", err)
		}
		if got, want := again.Text(), token.Text(); got != want {
			t.Errorf("got text %q after parsing again, want %q", got, want)
		}
	})
}
