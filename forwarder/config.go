// Package forwarder carries requests to storage nodes: it owns the requests, their
// attempts, and the pool of connections that carry them. The dispatcher decides when
// and where an attempt goes; the forwarder turns these decisions into operations on
// connections. It is a deterministic state machine: Handle takes an event and returns
// actions. It does no I/O, reads no clock and starts no goroutine.
package forwarder

import (
	"fmt"
	"time"

	"chalkstand/dispatch"
)

// Config holds the settings of a Forwarder.
type Config struct {
	Dispatch dispatch.Config
	Seed     uint64 // of the dispatcher's random numbers

	// MaxConnsPerNode bounds the connections to one node, those being dialed included.
	MaxConnsPerNode int
	// MaxStreamsPerNode bounds the bodies that stream to or from one node without being
	// counted in the dispatcher's concurrency. It must be below MaxConnsPerNode: the other
	// connections are for the attempts that the dispatcher counts.
	MaxStreamsPerNode int
	MaxConns          int           // connections to all nodes; 0: no bound
	ReuseDelay        time.Duration // from a response to the connection's next request; may be 0
	IdleTimeout       time.Duration // after which an idle connection is closed
	MaxConnAge        time.Duration // after which a connection carries no further request
	DialTimeout       time.Duration
	// ResponseMargin is the part of a client's timeout that is reserved for returning the
	// response.
	ResponseMargin time.Duration
	// MaxRequests bounds the unfinished requests. Beyond it a request is rejected without
	// reaching the dispatcher.
	MaxRequests int
	// Attribution enables one RequestAttributed action for each StartRequest.
	Attribution bool
}

// ConfigError reports a field of a Config whose value is out of range.
type ConfigError struct {
	Field    string // of Config
	Expected string
}

func (e *ConfigError) Error() string { return e.Field + ": want " + e.Expected }

// check returns a *ConfigError for the first field that is out of range.
func (c *Config) check() error {
	for _, rule := range []struct {
		field    string
		valid    bool
		expected string
	}{
		{"MaxConnsPerNode", c.MaxConnsPerNode >= 1, "at least 1"},
		{
			"MaxStreamsPerNode",
			c.MaxStreamsPerNode >= 0 && c.MaxStreamsPerNode < c.MaxConnsPerNode,
			"0 to below MaxConnsPerNode",
		},
		{"MaxConns", c.MaxConns >= 0, "at least 0"},
		{"ReuseDelay", c.ReuseDelay >= 0, "at least 0"},
		{"IdleTimeout", c.IdleTimeout > 0, "above 0"},
		{"MaxConnAge", c.MaxConnAge > 0, "above 0"},
		{"DialTimeout", c.DialTimeout > 0, "above 0"},
		{"MaxRequests", c.MaxRequests >= 1, "at least 1"},
	} {
		if !rule.valid {
			return &ConfigError{Field: rule.field, Expected: rule.expected}
		}
	}
	for i := range c.Dispatch.Classes {
		if c.ResponseMargin < 0 || c.ResponseMargin >= c.Dispatch.Classes[i].Deadline {
			return &ConfigError{
				Field:    "ResponseMargin",
				Expected: fmt.Sprintf("at least 0 and below Classes[%d].Deadline", i),
			}
		}
	}
	return nil
}
