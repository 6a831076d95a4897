// Package forwarder carries requests to storage nodes. It owns the requests, their
// attempts, and the connection pool. The dispatcher decides when an attempt starts and
// which node it goes to. The forwarder turns these decisions into operations on
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
	Seed     uint64 // seeds the dispatcher's random numbers

	// MaxConnsPerNode is the maximum number of connections to one node, including those
	// being dialed.
	MaxConnsPerNode int
	// MaxStreamsPerNode is the maximum number of bodies that stream to or from one node
	// without counting in the dispatcher's concurrency. It must be below MaxConnsPerNode,
	// because the attempts that the dispatcher counts need the remaining connections.
	MaxStreamsPerNode int
	MaxConns          int           // maximum number of connections to all nodes; 0 means no limit
	ReuseDelay        time.Duration // minimum time between a response and the connection's next request; may be 0
	IdleTimeout       time.Duration // idle time after which a connection is closed
	MaxConnAge        time.Duration // age from which a connection carries no further request
	DialTimeout       time.Duration
	// ResponseMargin is the part of a client's timeout that is reserved for returning the
	// response.
	ResponseMargin time.Duration
	// MaxRequests is the maximum number of unfinished requests. The forwarder rejects
	// requests beyond this limit without passing them to the dispatcher.
	MaxRequests int
	// Attribution makes the forwarder emit one RequestAttributed action for each
	// StartRequest.
	Attribution bool
}

// ConfigError reports a field of a Config whose value is out of range.
type ConfigError struct {
	Field    string // name of the field in Config
	Expected string // description of the valid values
}

func (e *ConfigError) Error() string { return e.Field + " must be " + e.Expected }

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
			"at least 0 and below MaxConnsPerNode",
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
