// Package storagenode is a fake storage node for tests, experiments and the quick start. It serves
// the object API over HTTP on loopback, stores a shard's objects, has a limited capacity, reports
// its load, and shows faults on request.
package storagenode
