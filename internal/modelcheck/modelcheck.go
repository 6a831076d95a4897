// Package modelcheck is an explicit-state model checker for the request path. It drives the
// real forwarder, dispatcher and reader of node responses through every ordering of events
// in small scenarios, and takes random walks through large ones. It checks the rules by
// observing the requests and responses that cross the wire. The package simulates the clock
// and every source of events, and does no I/O.
package modelcheck
