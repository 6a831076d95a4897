// Package storagenode is a fake storage node for tests, experiments and the quick start. It serves
// the object API over HTTP on the loopback interface and stores the objects of a shard. It simulates
// a limited capacity, reports its load, and injects the faults that its user requests.
package storagenode
