package respserver_test

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"chalkstand/respserver"
)

// ParseConfig returns a *ConfigError that names the invalid field.
func TestInvalidConfigurations(t *testing.T) {
	valid := configText("127.0.0.1:1", "127.0.0.1:2", "null", 256)
	if _, err := respserver.ParseConfig([]byte(valid)); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct{ text, replacement, field, message string }{
		"listen":    {`"127.0.0.1:1"`, `"here"`, "listen", `listen: expected address:port, got "here"`},
		"discovery": {`"127.0.0.1:2"`, `""`, "discovery", `discovery: expected address:port, got ""`},
		"seed":      {`"8c1f30d27a5be964"`, `"x"`, "seed", `seed: expected up to 16 hex digits, got "x"`},
		"sockets":   {`"sockets":256`, `"sockets":3`, "limits.sockets", "limits.sockets: expected at least 64, got 3"},
		"memory":    {`"memory_mb":64`, `"memory_mb":1`, "limits.memory_mb", "limits.memory_mb: expected at least 16, got 1"},
		"known":     {`"known":null`, `"known":{}`, "known", "known: discovery: version"},
		"objective": {`"slo_ms":1000.0`, `"slo_ms":"soon"`, "settings", "classes.0.slo_ms"},
		"policies":  {`"policies":[`, `"none":[`, "settings", "Plans"},
		"no object": {`{"name"`, `["name"`, "", "expected a JSON object: "},
		"settings":  {`"settings"`, `"none"`, "settings", "settings: missing"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := respserver.ParseConfig([]byte(strings.Replace(valid, c.text, c.replacement, 1)))
			var configErr *respserver.ConfigError
			if !errors.As(err, &configErr) || configErr.Field != c.field || !strings.Contains(err.Error(), c.message) {
				t.Errorf("%s in place of %s: got error %v, want the field and message of the test case", c.replacement, c.text, err)
			}
		})
	}
}

// LoadConfig returns an error that names the configuration file.
func TestInvalidConfigurationFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	if _, err := respserver.LoadConfig(file); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("LoadConfig of a missing file: got error %v, want fs.ErrNotExist", err)
	}
	if err := os.WriteFile(file, []byte(`{"listen":"here"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	_, err := respserver.LoadConfig(file)
	want := "configuration: " + file + `: listen: expected address:port, got "here"`
	if err == nil || err.Error() != want {
		t.Errorf("LoadConfig of an invalid file: got error %v, want %s", err, want)
	}
}
