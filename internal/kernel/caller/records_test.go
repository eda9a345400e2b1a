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
	// script is one story of tokens, read from a data file.
	script struct {
		Name  string   `json:"name"`
		Story []string `json:"story"`
		Steps []step   `json:"steps"`
	}

	step struct {
		Do    string `json:"do"`
		Token string `json:"token,omitempty"`
		By    string `json:"by,omitempty"`
		Wait  string `json:"wait,omitempty"`
		Body  int    `json:"body,omitempty"`
		Want  string `json:"want,omitempty"`
	}

	scriptRun struct {
		now    time.Time
		tokens map[string]*Token
		nonces byte
		books  map[string]*TokenRecords
	}
)

func key(fill byte) TokenKey {
	var k TokenKey
	for i := range k {
		k[i] = fill
	}
	return k
}

// TestTokenStories plays testdata/tokens.json: what each use of a token leads
// to, over mint, loss, repeat, expiry, planned stop and hand-over.
func TestTokenStories(t *testing.T) {
	data, err := os.ReadFile("testdata/tokens.json")
	if err != nil {
		t.Fatal(err)
	}
	var scripts []script
	if err := json.Unmarshal(data, &scripts); err != nil {
		t.Fatal(err)
	}
	for _, s := range scripts {
		t.Run(strings.ReplaceAll(s.Name, " ", "-"), func(t *testing.T) {
			r := &scriptRun{
				now:    time.Unix(1_000_000, 0),
				tokens: make(map[string]*Token),
				books: map[string]*TokenRecords{
					"minter": NewTokenRecords(Minter{"proxy-1", 1}, key(1)),
					"peer":   NewTokenRecords(Minter{"proxy-2", 1}, key(2)),
				},
			}
			for i, st := range s.Steps {
				if got := r.do(t, st); got != st.Want {
					t.Fatalf("step %d (%s %s): got %q, want %q", i+1, st.Do, st.Token, got, st.Want)
				}
			}
		})
	}
}

func (r *scriptRun) do(t *testing.T, s step) string {
	t.Helper()
	by := s.By
	if by == "" {
		by = "minter"
	}
	books := r.books[by]
	switch s.Do {
	case "mint":
		r.nonces++
		token, ok := books.Mint("ledger", Nonce{r.nonces}, r.now, time.Minute, 10*time.Minute)
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
		if s.Do != "use" {
			service = "board"
		}
		claim, result := books.Claim(r.tokens[s.Token], service, r.now)
		if claim == ClaimGranted {
			return "fresh"
		}
		return strings.TrimSpace(result.Outcome.String() + " " + string(result.Reason))
	case "alter":
		r.tokens[s.Token].Expiry = r.tokens[s.Token].Expiry.Add(time.Hour)
	case "done":
		answer := &Response{Status: 200, Body: make([]byte, s.Body)}
		return errorText(books.Finish(r.tokens[s.Token].Nonce, Result{Outcome: OutcomeDone, Response: answer}))
	case "broken":
		return errorText(books.Finish(r.tokens[s.Token].Nonce, Result{Outcome: OutcomeUnknown, Reason: ReasonConnectionLost}))
	case "shed":
		books.Release(r.tokens[s.Token].Nonce)
	case "wait":
		d, err := time.ParseDuration(s.Wait)
		if err != nil {
			t.Fatal(err)
		}
		r.now = r.now.Add(d)
		books.Expire(r.now)
	case "close":
		books.Close()
	case "hand-over":
		for _, h := range books.Export() {
			r.books["peer"].Import(h)
		}
	default:
		t.Fatalf("no step is named %q", s.Do)
	}
	return ""
}

func errorText(err error) string {
	if errors.Is(err, ErrTokenRunTwice) {
		return "double run"
	}
	return ""
}

// FuzzParseToken: any text is a token or an error, and a token's text parses
// to the same token.
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
			t.Fatalf("got error %v for the token's own text, want none", err)
		}
		if got, want := again.Text(), token.Text(); got != want {
			t.Errorf("got %q after one round, want %q", got, want)
		}
	})
}
