package serverhttp

import (
	"bufio"
	"net/http"
	"regexp"
	"strings"
	"testing"

	"github.com/go-faster/errors"

	"github.com/gypsumquay/gypsumquay/internal/kernel/steering"
)

const (
	validStart = "HTTP/1.1 200 OK\r\nAttempt: one\r\nSeal: s\r\n"
	// innerResponse stands in the body of responses: it must not be taken for one.
	innerResponse = "HTTP/1.1 200 OK\r\nAttempt: one\r\nSeal: s\r\nContent-Length: 5\r\n\r\ninner"
)

// Guards against a head that is not valid but counts as that of a response, and against a body that is
// delimited by other fields than the server's.
func TestInvalidHeadIsNoResponse(t *testing.T) {
	for name, text := range map[string]string{
		"status 000":               "HTTP/1.1 000 None\r\nAttempt: one\r\nSeal: s\r\nContent-Length: 4\r\n\r\nbody",
		"status 000 and an answer": "HTTP/1.1 000 None\r\nAttempt: one\r\nSeal: s\r\n\r\n" + innerResponse,
		"status 099":               "HTTP/1.1 099 None\r\nAttempt: one\r\nSeal: s\r\n\r\n" + innerResponse,
		"status 600":               "HTTP/1.1 600 None\r\nAttempt: one\r\nSeal: s\r\nContent-Length: 4\r\n\r\nbody",
		"status 101":               "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n" + innerResponse,
		"blanks before status":     "HTTP/1.1   200 OK\r\nAttempt: one\r\nSeal: s\r\nContent-Length: 4\r\n\r\nbody",
		"status of four digits":    "HTTP/1.1 2000 OK\r\nAttempt: one\r\nSeal: s\r\nContent-Length: 4\r\n\r\nbody",
		"version 1.1 of another":   "HTTP/2.1 200 OK\r\nAttempt: one\r\nSeal: s\r\nContent-Length: 4\r\n\r\nbody",
		"blank in name":            validStart + "X Y: 1\r\nContent-Length: 4\r\n\r\nbody",
		"blank after length":       validStart + "Content-Length : 4\r\n\r\nbody, and more",
		"blank after encoding":     validStart + "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"tab in name":              validStart + "X\tY: 1\r\nContent-Length: 4\r\n\r\nbody",
		"control byte in name":     validStart + "X\x01Y: 1\r\nContent-Length: 4\r\n\r\nbody",
		"delete in name":           validStart + "X\x7f: 1\r\nContent-Length: 4\r\n\r\nbody",
		"high byte in name":        validStart + "X\xe9: 1\r\nContent-Length: 4\r\n\r\nbody",
		"no name":                  validStart + ": 1\r\nContent-Length: 4\r\n\r\nbody",
		"no colon":                 validStart + "X\r\nContent-Length: 4\r\n\r\nbody",
		"folded line":              validStart + "X: 1\r\n Content-Length: 9\r\nContent-Length: 4\r\n\r\nbody",
		"null in value":            validStart + "X: \x00\r\nContent-Length: 4\r\n\r\nbody",
		"carriage return in value": validStart + "X: 1\rContent-Length: 9\r\nContent-Length: 4\r\n\r\nbody",
		"length and encoding":      validStart + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"encoding in version 1.0":  "HTTP/1.0 200 OK\r\nAttempt: one\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"after an interim one":     "HTTP/1.1 103 Early Hints\r\n\r\n" + validStart + "X Y: 1\r\nContent-Length: 4\r\n\r\nbody",
		"in an interim one":        "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\n" + validStart + "Content-Length: 4\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			a, response, _ := sendTo(t, testHeadMemory, text, "", 0, "")
			if a.Result != steering.ResultConnectionLost || response != nil {
				t.Errorf("got result %s (%v), want %s", a.Result, a.Err, steering.ResultConnectionLost)
			}
		})
	}
}

// Guards against a check that rejects heads which are valid.
func TestValidHeadIsResponse(t *testing.T) {
	for name, text := range map[string]string{
		"empty reason":     "HTTP/1.1 200 \r\nAttempt: one\r\nSeal: s\r\nContent-Length: 4\r\n\r\nbody",
		"no reason":        "HTTP/1.1 200\r\nAttempt: one\r\nSeal: s\r\nContent-Length: 4\r\n\r\nbody",
		"other symbols":    validStart + "!#$%&'*+-.^_`|~9: 1\r\nContent-Length: 4\r\n\r\nbody",
		"bytes in value":   validStart + "X: \xe9\t: \r\nContent-Length:4\r\n\r\nbody",
		"lines without CR": "HTTP/1.1 200 OK\nAttempt: one\nSeal: s\nContent-Length: 4\n\nbody",
		"version 1.0":      "HTTP/1.0 200 OK\r\nAttempt: one\r\nSeal: s\r\nContent-Length: 4\r\n\r\nbody",
		"chunked":          validStart + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"interim one":      "HTTP/1.1 103 Early Hints\r\n\r\n" + validStart + "Content-Length: 4\r\n\r\nbody",
	} {
		t.Run(name, func(t *testing.T) {
			a, response, _ := sendTo(t, testHeadMemory, text, "", 0, "")
			expectResult(t, a, response, steering.ResultResponded, "body")
		})
	}
}

// Guards against a head that counts as one although RFC 9112 calls it invalid, in whichever parts it
// arrives.
func FuzzHeadSyntax(f *testing.F) {
	valid := regexp.MustCompile("^HTTP/1\\.[0-9] [1-5][0-9]{2}( [^\r\n\x00]*)?\r?\n" +
		"([!#$%&'*+\\-.^_`|~0-9A-Za-z]+:[^\r\n\x00]*\r?\n)*\r?\n")
	f.Add([]byte(validStart+"X Y: 1\r\n\r\n"), 3)
	f.Add([]byte(validStart+"Content-Length: 4\r\n\r\nbody"), 20)
	f.Add([]byte("HTTP/1.1 000 None\r\n\r\n"), 1)
	f.Fuzz(func(t *testing.T, text []byte, part int) {
		response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(string(text))), nil)
		if err != nil {
			return
		}
		_ = response.Body.Close()
		var whole, parts headSyntax
		whole.feed(text)
		for rest := text; len(rest) > 0; {
			n := min(max(part, 1), len(rest))
			parts.feed(rest[:n])
			rest = rest[n:]
		}
		got, gotParts := whole.check(response), parts.check(response)
		if !errors.Is(gotParts, got) {
			t.Errorf("%q: got %v in parts, %v at once", text, gotParts, got)
		}
		if got == nil && !valid.Match(text) {
			t.Errorf("%q counts as a head", text)
		}
	})
}

// BenchmarkReadHead reads the head of a usual response with and without the check of its syntax.
func BenchmarkReadHead(b *testing.B) {
	text := validStart + "Content-Type: text/plain\r\nX-Load: 1,0,4\r\nDate: Mon, 07 Dec 2026 01:00:00 GMT\r\nContent-Length: 0\r\n\r\n"
	for name, check := range map[string]bool{"parser alone": false, "with check": true} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			reader := bufio.NewReader(nil)
			for b.Loop() {
				reader.Reset(strings.NewReader(text))
				var s headSyntax
				if check {
					s.feed([]byte(text))
				}
				response, err := http.ReadResponse(reader, nil)
				if err != nil || check && s.check(response) != nil {
					b.Fatal(err)
				}
				_ = response.Body.Close()
			}
		})
	}
}
