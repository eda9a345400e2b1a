package serverhttp

import (
	"bytes"
	"net/http"
	"strings"
	"unicode"

	"github.com/go-faster/errors"
)

const (
	lineStatus headLine = iota
	lineFieldName
	lineFieldValue
	// lineHeadEnd follows the empty line at the end of the head.
	lineHeadEnd
)

const (
	// statusLineStart is the start of a status line, with "#" for a digit.
	statusLineStart = "HTTP/1.# ###"
	// maxFramingName is the length of the longest field name that is remembered.
	maxFramingName = len("transfer-encoding")
	maxStatus      = 599
)

var (
	errInvalidHead = errors.New("head of the response is not valid HTTP/1.1")

	lengthField   = []byte("content-length")
	encodingField = []byte("transfer-encoding")

	tokenBytes = newTokenBytes()
)

type (
	headLine uint8

	// headSyntax checks the head of a response while it arrives. The parser of net/http is lenient: it
	// accepts field names with blanks, which hides fields that delimit the body, and any status of
	// three digits.
	headSyntax struct {
		line headLine
		// column is the number of bytes of the status line or field name that were read.
		column int
		// name is the start of the current field name in lower case.
		name [maxFramingName + 1]byte
		// afterCR is set if the previous byte was a carriage return, which only a line end may follow.
		afterCR                bool
		hasLength, hasEncoding bool
		invalid                bool
	}
)

// feed checks the next bytes. Those after the end of the head are ignored.
func (s *headSyntax) feed(text []byte) {
	for i := 0; i < len(text) && s.line != lineHeadEnd && !s.invalid; i++ {
		if s.line == lineFieldValue && !s.afterCR {
			for i < len(text)-1 && text[i] > '\r' {
				i++
			}
		}
		s.next(text[i])
	}
}

func (s *headSyntax) next(c byte) {
	switch {
	case c == '\n':
		s.endLine()
	case s.afterCR || c == 0:
		s.invalid = true
	case c == '\r':
		s.afterCR = true
	case s.line == lineStatus:
		s.checkStatusLine(c)
	case s.line == lineFieldName:
		s.checkFieldName(c)
	}
}

func (s *headSyntax) endLine() {
	switch s.line {
	case lineStatus:
		s.invalid = s.column < len(statusLineStart)
	case lineFieldName:
		// Only an empty line has no colon, and it ends the head.
		s.invalid = s.column > 0
		s.line = lineHeadEnd
		return
	}
	s.line, s.column, s.afterCR = lineFieldName, 0, false
}

func (s *headSyntax) checkStatusLine(c byte) {
	switch {
	case s.column == len(statusLineStart):
		s.invalid = c != ' '
	case s.column > len(statusLineStart):
		// The reason phrase may contain anything.
	case statusLineStart[s.column] == '#':
		s.invalid = c < '0' || c > '9'
	default:
		s.invalid = c != statusLineStart[s.column]
	}
	s.column++
}

func (s *headSyntax) checkFieldName(c byte) {
	switch {
	case c == ':':
		name := s.name[:min(s.column, len(s.name))]
		s.hasLength = s.hasLength || bytes.Equal(name, lengthField)
		s.hasEncoding = s.hasEncoding || bytes.Equal(name, encodingField)
		s.invalid = s.column == 0
		s.line = lineFieldValue
	case !isTokenByte(c):
		// This includes the blank at the start of a folded line, which no server may send.
		s.invalid = true
	default:
		if s.column < len(s.name) {
			s.name[s.column] = toLower(c)
		}
		s.column++
	}
}

// check returns an error unless the head is complete and valid, and says in one way only where the body
// ends. response is the parsed head.
func (s *headSyntax) check(response *http.Response) error {
	if s.invalid || s.line != lineHeadEnd || s.hasEncoding && (s.hasLength || !response.ProtoAtLeast(1, 1)) {
		return errInvalidHead
	}
	return checkStatus(response.StatusCode)
}

// checkStatus returns an error unless a status is an interim or final one. No request asks for another
// protocol.
func checkStatus(status int) error {
	if status < http.StatusContinue || status > maxStatus || status == http.StatusSwitchingProtocols {
		return errInvalidHead
	}
	return nil
}

// CheckHead returns an error if the status or the name of a field of a parsed response is not valid.
func CheckHead(response *http.Response) error {
	for name := range response.Header {
		if name == "" || strings.ContainsFunc(name, func(r rune) bool { return r > unicode.MaxASCII || !isTokenByte(byte(r)) }) {
			return errInvalidHead
		}
	}
	return checkStatus(response.StatusCode)
}

// isTokenByte reports whether a field name may contain a byte.
func isTokenByte(c byte) bool { return tokenBytes[c] }

// newTokenBytes returns the bytes that tokens consist of (RFC 9110, 5.6.2).
func newTokenBytes() (set [256]bool) {
	for c := range set {
		lower := toLower(byte(c))
		set[c] = 'a' <= lower && lower <= 'z' || '0' <= c && c <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", byte(c)) >= 0
	}
	return set
}

func toLower(c byte) byte {
	if 'A' <= c && c <= 'Z' {
		return c + 'a' - 'A'
	}
	return c
}
