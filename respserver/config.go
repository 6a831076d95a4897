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

// Config holds the configuration of a server.
type Config struct {
	Name      string
	Listen    netip.AddrPort
	Discovery netip.AddrPort
	Seed      uint64 // seeds the dispatcher's random numbers
	Cores     float64
	MemoryMB  float64
	Sockets   int                // maximum number of file descriptors
	Known     endpoints.Document // endpoint list at startup; its version is -1 if the configuration omits it
	Settings  simwire.Settings
}

// configFile is the JSON form in which the platform writes a configuration.
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

// A configuration must stay within these bounds.
const (
	minSockets     = 64
	minMemoryMB    = 16
	maxConfigBytes = 16 << 20 // maximum size of a configuration file
)

// errMissing is the cause in a ConfigError when a required field is absent.
var errMissing = errors.New("missing")

// ConfigError describes an invalid field of a configuration or an invalid configuration text.
type ConfigError struct {
	File     string // empty if the configuration was not read from a file
	Field    string // path of the field, such as limits.sockets; empty if the whole text is invalid
	Expected string
	Got      string // invalid value as the message shows it; empty if it is not known
	Err      error  // cause of the error; may be nil
}

// Error returns the file, the field, the expected value, the actual value and the cause. It omits
// those that are not known.
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

// Unwrap returns the cause of the error, or nil.
func (e *ConfigError) Unwrap() error { return e.Err }

// LoadConfig reads and checks a configuration file of the platform. It reports invalid content as a
// *ConfigError.
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

// ParseConfig parses and checks a configuration of the platform. All its errors are of type
// *ConfigError.
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

// parseAddresses sets the listening address of the server and the address of discovery.
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

// checkLimits returns an error if the limits on sockets or memory are too low for a server.
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

// parseKnown sets the endpoint list at startup. A configuration may omit the list.
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

// endpointNames returns the names of zones and node kinds that endpoint lists may contain.
func (c *Config) endpointNames() endpoints.Names {
	return endpoints.Names{Zones: c.Settings.Zones, Kinds: c.Settings.NodeKinds}
}

// These defaults replace settings that the configuration omits.
const (
	defaultConnIdle    = 10 * time.Second
	defaultDialTimeout = 250 * time.Millisecond
)

// The server divides its file descriptors between clients and nodes at startup, so that neither side
// can exhaust the descriptors of the other side.
const (
	reservedSockets = 24 // descriptors for the listener, the event loop, discovery, the log and the Go runtime
	nodeConnShare   = 0.4
)

// maxNodeConns returns the maximum number of connections to all nodes together.
func (c *Config) maxNodeConns() int { return int(float64(c.Sockets-reservedSockets) * nodeConnShare) }

// maxClientConns returns the maximum number of connections from clients.
func (c *Config) maxClientConns() int { return c.Sockets - reservedSockets - c.maxNodeConns() }

// clientHighWaterMark returns the number of client connections at which the server starts to evict
// idle ones. The platform's clients use up to a third of the descriptors for requests. Without
// eviction, connections that stay open after one request would prevent other clients from connecting.
func (c *Config) clientHighWaterMark() int { return c.Sockets / 4 }

// maxRequests returns the maximum number of open requests.
func (c *Config) maxRequests() int {
	byMemory := c.perHeapMB(requestsPerMB)
	if configured := c.Settings.MaxOpenRequests; configured > 0 {
		return min(byMemory, configured)
	}
	return byMemory
}

// These times apply to node connections and to responses.
const (
	connReuseDelay = 20 * time.Millisecond // far above the network delay between a node and the server
	maxConnAge     = 10 * time.Minute
	responseMargin = 10 * time.Millisecond // covers the network delay to the client and a delay of the event loop
)

// forwarderConfig returns the configuration of the forwarder for this server.
func (c *Config) forwarderConfig() forwarder.Config {
	connIdle := c.Settings.NodeIdleTimeout
	if connIdle <= 0 {
		connIdle = defaultConnIdle
	}
	dialTimeout := c.Settings.DialTimeout
	if dialTimeout <= 0 {
		dialTimeout = defaultDialTimeout
	}
	dispatchConfig := c.Settings.Dispatch
	// Endpoint lists reach the server only through a discovery watch. A list that the settings call pushed
	// is pushed to the simulator's dispatchers, and on sockets to the discovery service that the watch asks.
	dispatchConfig.PollDiscovery = true
	dispatchConfig.MaxVolumes = c.perHeapMB(volumesPerMB)
	return forwarder.Config{
		Dispatch:        dispatchConfig,
		Seed:            c.Seed,
		MaxConnsPerNode: max(c.maxNodeConns()/2, 1),
		MaxConns:        c.maxNodeConns(),
		ReuseDelay:      connReuseDelay,
		IdleTimeout:     connIdle * 6 / 10, // shorter than the time after which a node closes an idle connection
		MaxConnAge:      maxConnAge,
		DialTimeout:     dialTimeout,
		ResponseMargin:  responseMargin,
		MaxRequests:     c.maxRequests(),
	}
}
