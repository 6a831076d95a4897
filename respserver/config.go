package respserver

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"chalkstand/forwarder"
	"chalkstand/internal/endpoints"
	"chalkstand/internal/simwire"
)

// Config is the configuration of a server.
type Config struct {
	Name      string
	Listen    netip.AddrPort
	Discovery netip.AddrPort
	Seed      uint64 // of the dispatcher's random numbers
	Cores     float64
	MemoryMB  float64
	Sockets   int                // bound on file descriptors
	Known     endpoints.Document // the endpoint list at the start; its version is -1 where there is none
	Settings  simwire.Settings
}

// configFile is the platform's form of a configuration.
type configFile struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// Bounds of a configuration.
const (
	minSockets     = 64
	minMemoryMB    = 16
	maxConfigBytes = 16 << 20 // of the file
)

// errMissing is the cause of a ConfigError where a required field is absent.
var errMissing = errors.New("missing")

// ConfigError is an error in a configuration.
type ConfigError struct {
	File     string // empty: the configuration was not read from a file
	Field    string // its path, such as limits.sockets; empty: the whole text
	Expected string
	Got      string // the value as it is to be shown; empty: not known
	Err      error  // cause; may be nil
}

// Error returns the file, the field, what was expected, what was got and the cause, as far as they
// are known.
func (e *ConfigError) Error() string {
	var parts []string
	if e.File != "" {
		parts = append(parts, "configuration", e.File)
	}
	if e.Field != "" {
		parts = append(parts, e.Field)
	}
	if e.Expected != "" {
		expected := "expected " + e.Expected
		if e.Got != "" {
			expected += ", got " + e.Got
		}
		parts = append(parts, expected)
	}
	if e.Err != nil {
		parts = append(parts, e.Err.Error())
	}
	return strings.Join(parts, ": ")
}

// Unwrap returns the cause.
func (e *ConfigError) Unwrap() error { return e.Err }

// LoadConfig reads and checks a configuration file of the platform. What is wrong with its content is
// reported as a *ConfigError.
func LoadConfig(file string) (Config, error) {
	info, err := os.Stat(file)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	if info.Size() > maxConfigBytes {
		return Config{}, &ConfigError{
			File:     file,
			Expected: fmt.Sprintf("at most %d bytes", maxConfigBytes),
			Got:      strconv.FormatInt(info.Size(), 10),
		}
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	cfg, err := ParseConfig(text)
	if err != nil {
		var configErr *ConfigError
		if errors.As(err, &configErr) {
			configErr.File = file
		}
		return Config{}, err
	}
	return cfg, nil
}

// ParseConfig parses and checks a configuration of the platform. All its errors are *ConfigError.
func ParseConfig(text []byte) (Config, error) {
	var file configFile
	if err := json.Unmarshal(text, &file); err != nil {
		return Config{}, &ConfigError{Expected: "a JSON object", Err: err}
	}
	cfg := Config{
		Name:     file.Name,
		Cores:    file.Limits.Cores,
		MemoryMB: file.Limits.MemoryMB,
		Sockets:  file.Limits.Sockets,
	}
	if err := cfg.parseAddresses(&file); err != nil {
		return cfg, err
	}
	var err error
	if cfg.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return cfg, &ConfigError{Field: "seed", Expected: "up to 16 hex digits", Got: strconv.Quote(file.Seed)}
	}
	if err := cfg.checkLimits(); err != nil {
		return cfg, err
	}
	if len(file.Settings) == 0 {
		return cfg, &ConfigError{Field: "settings", Err: errMissing}
	}
	if cfg.Settings, err = simwire.ParseSettings(file.Settings); err != nil {
		return cfg, &ConfigError{Field: "settings", Err: err}
	}
	if err := cfg.parseKnown(file.Known); err != nil {
		return cfg, err
	}
	if _, err := forwarder.New(cfg.forwarderConfig()); err != nil {
		return cfg, &ConfigError{Field: "settings", Err: err}
	}
	return cfg, nil
}

// parseAddresses sets the addresses of the server and of discovery.
func (c *Config) parseAddresses(file *configFile) error {
	var err error
	if c.Listen, err = netip.ParseAddrPort(file.Listen); err != nil {
		return &ConfigError{Field: "listen", Expected: "address:port", Got: strconv.Quote(file.Listen)}
	}
	if c.Discovery, err = netip.ParseAddrPort(file.Discovery); err != nil {
		return &ConfigError{Field: "discovery", Expected: "address:port", Got: strconv.Quote(file.Discovery)}
	}
	return nil
}

// checkLimits checks that the limits suffice for a server.
func (c *Config) checkLimits() error {
	if c.Sockets < minSockets {
		return &ConfigError{
			Field:    "limits.sockets",
			Expected: fmt.Sprintf("at least %d", minSockets),
			Got:      strconv.Itoa(c.Sockets),
		}
	}
	if c.MemoryMB < minMemoryMB {
		return &ConfigError{
			Field:    "limits.memory_mb",
			Expected: fmt.Sprintf("at least %d", minMemoryMB),
			Got:      fmt.Sprintf("%g", c.MemoryMB),
		}
	}
	return nil
}

// parseKnown sets the endpoint list at the start, which may be absent.
func (c *Config) parseKnown(text json.RawMessage) error {
	if len(text) == 0 || string(text) == "null" {
		c.Known.Version = -1
		return nil
	}
	var err error
	if c.Known, err = endpoints.Parse(text, c.endpointNames()); err != nil {
		return &ConfigError{Field: "known", Err: err}
	}
	return nil
}

// endpointNames returns the names of zones and kinds that endpoint lists refer to.
func (c *Config) endpointNames() endpoints.Names {
	return endpoints.Names{Zones: c.Settings.Zones, Kinds: c.Settings.NodeKinds}
}

// Values of settings that are absent.
const (
	defaultConnIdle    = 10 * time.Second
	defaultDialTimeout = 250 * time.Millisecond
)

// The file descriptors are divided once, so that neither clients nor nodes can use up those of the
// other side.
const (
	reservedSockets = 24 // listener, event loop, discovery, log and the runtime's
	nodeConnShare   = 0.4
)

// maxNodeConns is the bound on connections to all nodes.
func (c *Config) maxNodeConns() int { return int(float64(c.Sockets-reservedSockets) * nodeConnShare) }

// maxClientConns is the bound on connections from clients.
func (c *Config) maxClientConns() int { return c.Sockets - reservedSockets - c.maxNodeConns() }

// clientHighWaterMark is the number of client connections from which on idle ones are evicted. The
// platform's clients use up to a third of the descriptors for requests; connections that stay open
// after one request would keep others out.
func (c *Config) clientHighWaterMark() int { return c.Sockets / 4 }

// Shares of the memory limit.
const (
	retainedMemoryShare = 0.15 // for arguments of open requests and for replies
	requestsPerMB       = 32   // open requests
)

// maxRetainedBytes is the bound on the bytes of arguments and replies that are kept.
func (c *Config) maxRetainedBytes() int { return int(c.MemoryMB * retainedMemoryShare * (1 << 20)) }

// maxRequests is the bound on open requests.
func (c *Config) maxRequests() int {
	byMemory := int(c.MemoryMB * requestsPerMB)
	if configured := c.Settings.MaxOpenRequests; configured > 0 {
		return min(byMemory, configured)
	}
	return byMemory
}

// Times of node connections and of responses.
const (
	connReuseDelay = 20 * time.Millisecond // far above the network delay from a node
	maxConnAge     = 10 * time.Minute
	responseMargin = 10 * time.Millisecond // for the network to the client and a delay of the event loop
)

// forwarderConfig returns the configuration of the forwarder.
func (c *Config) forwarderConfig() forwarder.Config {
	connIdle := c.Settings.NodeIdleTimeout
	if connIdle <= 0 {
		connIdle = defaultConnIdle
	}
	dialTimeout := c.Settings.DialTimeout
	if dialTimeout <= 0 {
		dialTimeout = defaultDialTimeout
	}
	return forwarder.Config{
		Dispatch:        c.Settings.Dispatch,
		Seed:            c.Seed,
		MaxConnsPerNode: max(c.maxNodeConns()/2, 1),
		MaxConns:        c.maxNodeConns(),
		ReuseDelay:      connReuseDelay,
		IdleTimeout:     connIdle * 6 / 10, // below the time after which a node closes an idle connection
		MaxConnAge:      maxConnAge,
		DialTimeout:     dialTimeout,
		ResponseMargin:  responseMargin,
		MaxRequests:     c.maxRequests(),
	}
}
