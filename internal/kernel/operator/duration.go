package operator

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"
)

type (
	// Duration is a time.Duration that is encoded in JSON as a string such as "250ms". A bare
	// number is rejected because its unit would be ambiguous.
	Duration time.Duration
)

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalJSON encodes the duration as a string with its unit.
func (d Duration) MarshalJSON() ([]byte, error) {
	return json.Marshal(time.Duration(d).String())
}

// UnmarshalJSON decodes a string such as "1.5s".
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.New(`a duration must be a string with a unit, such as "250ms"`)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf("%q is not a duration; use for example \"250ms\" or \"10s\"", text)
	}
	*d = Duration(parsed)
	return nil
}
