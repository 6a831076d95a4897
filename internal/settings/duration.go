package settings

import (
	"encoding/json"
	"fmt"
	"time"
)

// exampleDuration stands in error texts about durations.
const exampleDuration = "300ms"

// Duration is a time.Duration that is written as text, such as "300ms" or "1m30s".
type Duration time.Duration

var _ json.Unmarshaler = (*Duration)(nil)

// D returns d as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// UnmarshalJSON reads a JSON string in the form of time.ParseDuration.
func (d *Duration) UnmarshalJSON(b []byte) error {
	var text string
	if json.Unmarshal(b, &text) != nil {
		return fmt.Errorf("want a duration in quotes, such as %q", exampleDuration)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%q is no duration: want such as %q", text, exampleDuration)
	}
	*d = Duration(parsed)
	return nil
}
