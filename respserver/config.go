package respserver

import (
	"chalkstand/forwarder"
	"chalkstand/internal/endpoints"
	"chalkstand/internal/simwire"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"time"
)

// Config is what a dispatcher is told at its start.
type Config struct {
	Name      string
	Listen    netip.AddrPort
	Discovery netip.AddrPort
	Seed      uint64
	Cores     float64
	MemoryMB  float64
	Sockets   int
	Known     endpoints.Document
	Settings  simwire.Settings
}

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

// The least limits with which a dispatcher can serve.
const (
	leastSockets = 64
	leastMemory  = 16 // MB
)

// maxConfig bounds the file, in bytes.
const maxConfig = 16 << 20

// LoadConfig reads the file that the platform wrote. The error names the field.
func LoadConfig(file string) (Config, error) {
	if st, err := os.Stat(file); err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	} else if st.Size() > maxConfig {
		return Config{}, fmt.Errorf("configuration: %s: %d bytes, at most %d", file, st.Size(), maxConfig)
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	c, err := ParseConfig(text)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %s: %w", file, err)
	}
	return c, nil
}

// ParseConfig reads the platform's configuration.
func ParseConfig(text []byte) (Config, error) {
	var f configFile
	if err := json.Unmarshal(text, &f); err != nil {
		return Config{}, fmt.Errorf("expected a JSON object: %w", err)
	}
	c := Config{Name: f.Name, Cores: f.Limits.Cores, MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets}
	var err error
	if c.Listen, err = netip.ParseAddrPort(f.Listen); err != nil {
		return c, fmt.Errorf("listen: expected address:port, got %q", f.Listen)
	}
	if c.Discovery, err = netip.ParseAddrPort(f.Discovery); err != nil {
		return c, fmt.Errorf("discovery: expected address:port, got %q", f.Discovery)
	}
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return c, fmt.Errorf("seed: expected up to 16 hex digits, got %q", f.Seed)
	}
	switch {
	case c.Sockets < leastSockets:
		return c, fmt.Errorf("limits.sockets: expected at least %d, got %d", leastSockets, c.Sockets)
	case c.MemoryMB < leastMemory:
		return c, fmt.Errorf("limits.memory_mb: expected at least %d, got %g", leastMemory, c.MemoryMB)
	case len(f.Settings) == 0:
		return c, errors.New("settings: missing")
	}
	if c.Settings, err = simwire.Nested(f.Settings); err != nil {
		return c, fmt.Errorf("settings: %w", err)
	}
	if len(f.Known) > 0 && string(f.Known) != "null" {
		if c.Known, err = endpoints.Parse(f.Known, c.names()); err != nil {
			return c, fmt.Errorf("known: %w", err)
		}
	} else {
		c.Known.Version = -1
	}
	if _, err := forwarder.New(c.exchange()); err != nil {
		return c, fmt.Errorf("settings: %w", err)
	}
	return c, nil
}

func (c *Config) names() endpoints.Names {
	return endpoints.Names{Zones: c.Settings.Zones, Kinds: c.Settings.Kinds}
}

// What is not told has these values.
const (
	usualIdle    = 10 * time.Second
	usualConnect = 250 * time.Millisecond
)

// Descriptors are divided for good, so that neither side can starve the other.
const (
	ownSockets = 24 // listener, loop, discovery, log, the runtime's
	nodesPart  = 0.4
)

func (c *Config) nodeConns() int   { return int(float64(c.Sockets-ownSockets) * nodesPart) }
func (c *Config) clientConns() int { return c.Sockets - ownSockets - c.nodeConns() }

// roomyClients is from how many connections of clients on those that are idle make room: the
// platform's clients hold no more than a third of the descriptors for requests, and who asks
// once and stays would else keep the others from asking.
func (c *Config) roomyClients() int { return c.Sockets / 4 }

// callsPerMB bounds the requests that are open, by memory.
const callsPerMB = 32

// exchange returns the settings of the life of requests.
func (c *Config) exchange() forwarder.Config {
	idle, connect := c.Settings.ConnIdle, c.Settings.Connect
	if idle <= 0 {
		idle = usualIdle
	}
	if connect <= 0 {
		connect = usualConnect
	}
	calls := int(c.MemoryMB * callsPerMB)
	if m := c.Settings.MaxOpen; m > 0 {
		calls = min(calls, m)
	}
	return forwarder.Config{
		Dispatch: c.Settings.Choice, Seed: c.Seed, MaxConnsPerNode: max(c.nodeConns()/2, 1), MaxConns: c.nodeConns(), ReuseDelay: restFor,
		IdleTimeout: idle * 6 / 10, MaxConnAge: maxAge, DialTimeout: connect, ResponseMargin: margin, MaxRequests: calls,
	}
}

// Times of the connections to nodes and of the way to clients.
const (
	restFor = 20 * time.Millisecond // see exchange.Config.Rest: far above the way from a node
	maxAge  = 10 * time.Minute
	margin  = 10 * time.Millisecond // for the way of an answer, and a loop that is late
)
