// Package modelcheck is an explicit-state model checker for the request path. It drives the
// real forwarder, dispatcher and reader of node responses through every ordering of events
// in small scenarios, and through random walks of large ones, and checks the rules from
// what crosses the wire. It owns the time and every source of events; it does no I/O.
package modelcheck
