package settings

import "fmt"

// ConfigError reports a settings file that cannot be used, and the place of the fault.
type ConfigError struct {
	File     string
	Line     int    // counted from 1
	Field    string // path of the setting, such as nodes[2].addr; "" for the file as a whole
	Expected string // what the setting has to be; "" if Problem says what is wrong
	Got      string // what stands there instead; "" if Expected is clear without it
	Problem  string // what is wrong, where no single expected value can be named
}

// Error returns place, field and reason: "FILE:LINE: FIELD: REASON".
func (e *ConfigError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason())
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Reason())
}

// Reason returns what is wrong with the setting, without its place.
func (e *ConfigError) Reason() string {
	switch {
	case e.Problem != "":
		return e.Problem
	case e.Got != "":
		return "want " + e.Expected + ", not " + e.Got
	}
	return "want " + e.Expected
}
