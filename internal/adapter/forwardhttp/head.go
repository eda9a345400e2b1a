package forwardhttp

import (
	"bytes"
	"net/http"
	"strconv"
)

const (
	headIncomplete headOutcome = iota
	headUnsupported
	headComplete
)

type (
	headOutcome uint8

	// requestHead is what has to be known of a request to find the next one on its connection.
	requestHead struct {
		// length is the length of the head in bytes, bodyLength that of the body.
		length     int
		bodyLength int64
		// simple is set for a GET request without a body and without a change of protocol.
		simple bool
		// closes is set if the caller asks for the connection to be closed.
		closes bool
	}
)

var (
	headEnd  = []byte("\r\n\r\n")
	lineEnd  = []byte("\r\n")
	http11   = []byte("HTTP/1.1")
	getStart = []byte(http.MethodGet + " /")
	// tokenSymbols are the characters of tokens besides letters and digits (RFC 9110, 5.6.2).
	tokenSymbols = []byte("!#$%&'*+-.^_`|~")
)

// parseHead parses the head at the start of text. Everything unusual is unsupported: only net/http
// decides what it means.
func parseHead(text []byte) (h requestHead, outcome headOutcome) {
	end := bytes.Index(text, headEnd)
	if end < 0 {
		if bytes.Contains(text, []byte("\n\n")) {
			return h, headUnsupported
		}
		return h, headIncomplete
	}
	h.length = end + len(headEnd)
	line, rest, _ := bytes.Cut(text[:end], lineEnd)
	if !isPlainLine(line) || !bytes.HasSuffix(line, http11) || len(line) == len(http11) || bytes.HasPrefix(line, []byte("OPTIONS ")) || bytes.HasPrefix(line, []byte("CONNECT ")) {
		return h, headUnsupported
	}
	h.simple = bytes.HasPrefix(line, getStart)
	sawLength := false
	for len(rest) > 0 {
		line, rest, _ = bytes.Cut(rest, lineEnd)
		name, value, found := bytes.Cut(line, []byte(":"))
		if !found || !isPlainLine(line) || !isToken(name) {
			return h, headUnsupported
		}
		switch {
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			return h, headUnsupported
		case bytes.EqualFold(name, []byte("Content-Length")):
			n, err := strconv.ParseUint(string(bytes.TrimSpace(value)), 10, 62)
			if err != nil || sawLength {
				return h, headUnsupported
			}
			h.bodyLength, sawLength = int64(n), true
			h.simple = h.simple && n == 0
		case bytes.EqualFold(name, []byte("Expect")), bytes.EqualFold(name, []byte("Upgrade")):
			return h, headUnsupported
		case bytes.EqualFold(name, []byte("Connection")):
			h.closes = h.closes || !bytes.EqualFold(bytes.TrimSpace(value), []byte("keep-alive"))
		}
	}
	return h, headComplete
}

// isToken reports whether a name contains only characters that header field names may have. With a
// space before its colon, Content-Length would be overlooked here.
func isToken(name []byte) bool {
	for _, c := range name {
		isLetter, isDigit := 'a' <= c|0x20 && c|0x20 <= 'z', '0' <= c && c <= '9'
		if !isLetter && !isDigit && bytes.IndexByte(tokenSymbols, c) < 0 {
			return false
		}
	}
	return len(name) > 0
}

// isPlainLine reports whether a line contains no line break that a parser might accept.
func isPlainLine(line []byte) bool {
	return bytes.IndexByte(line, '\n') < 0 && bytes.IndexByte(line, '\r') < 0
}
