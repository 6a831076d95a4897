package settings

import (
	"encoding/json"
	"fmt"
	"time"
)

// exampleDuration is the example of a valid value in error messages about durations.
const exampleDuration = "300ms"

// Duration is a time.Duration that a settings file contains as a string, such as "300ms" or
// "1m30s".
type Duration time.Duration

var _ json.Unmarshaler = (*Duration)(nil)

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// UnmarshalJSON decodes a JSON string in the format of time.ParseDuration.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var text string
	if json.Unmarshal(b, &text) != nil {
		return fmt.Errorf("expected a duration in quotes, such as %q", exampleDuration)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("invalid duration %q, expected a value such as %q", text, exampleDuration)
	}
	*d = Duration(parsed)
	return nil
}
