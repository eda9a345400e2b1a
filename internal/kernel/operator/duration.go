package operator

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

type (
	// Duration is a time span that JSON carries as text such as "250ms".
	// A bare number is refused because its unit would be a guess.
	Duration time.Duration
)

// Std converts to the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON writes the span as text with its unit.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON reads text such as "1.5s".
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.New(`a time span must be text with a unit, such as "250ms"`)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf("%q is no time span; write for example \"250ms\" or \"10s\"", text)
	}
	*d = Duration(parsed)
	return nil
}
