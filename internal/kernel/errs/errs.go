// Package errs complements the go-faster/errors library.
package errs

import (
	"github.com/go-faster/errors"
)

// Wrap annotates an error with a message and returns nil if err is nil. The library's Wrap returns
// an error for a nil err as well, so that callers which wrap a result without checking it first
// would report a success as a failure.
func Wrap(err error, message string) error {
	if err == nil {
		return nil
	}
	return errors.Wrap(err, message)
}
