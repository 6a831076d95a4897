package settings

import "fmt"

// ConfigError reports a fault in a settings file and its position.
type ConfigError struct {
	File     string // name of the file
	Line     int    // line number; the first line has number 1
	Field    string // path of the setting, such as nodes[2].addr; "" if the error concerns the whole file
	Expected string // description of a valid value; "" if Problem is set
	Got      string // invalid value; "" if the message does not show it
	Problem  string // description of the fault if Expected cannot describe it
}

// Error returns the error in the form "FILE:LINE: FIELD: REASON".
func (e *ConfigError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason())
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.File, e.Line, e.Field, e.Reason())
}

// Reason returns the description of the fault without its position.
func (e *ConfigError) Reason() string {
	switch {
	case e.Problem != "":
		return e.Problem
	case e.Got != "":
		return "expected " + e.Expected + ", got " + e.Got
	}
	return "expected " + e.Expected
}
