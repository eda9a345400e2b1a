package forwardhttp

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
)

const (
	// maxNameBytes is the length up to which names that callers choose are remembered as they are. Of a
	// longer one, the first keptNameBytes and a part of its hash are.
	maxNameBytes  = 128
	keptNameBytes = 64
	nameHashBytes = 16
)

// ShortName returns a name that is as unique as the given one and not long: logs and the choice of servers
// remember thousands of names.
func ShortName(name string) string {
	if len(name) <= maxNameBytes {
		return name
	}
	hash := sha256.Sum256([]byte(name))
	return name[:keptNameBytes] + "~" + hex.EncodeToString(hash[:nameHashBytes])
}

// requestName returns the ID of a caller's attempt for logs.
func (s *Server) requestName(r *http.Request) string {
	return ShortName(r.Header.Get(s.Headers.AttemptID))
}
