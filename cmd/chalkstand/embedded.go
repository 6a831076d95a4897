package main

import (
	"fmt"
	"path/filepath"
	"time"

	"go.uber.org/zap"

	"chalkstand/dispatch"
	"chalkstand/fake/storagenode"
	"chalkstand/forwarder"
	"chalkstand/gateway"
	"chalkstand/internal/settings"
)

// The constants are parameters of embedded nodes that cannot be configured in the settings.
const (
	embeddedReportEvery = 100 * time.Millisecond // interval at which the load report of a node changes
	embeddedDedupWindow = 30 * time.Second       // time for which a node drops repeats of a deduplicated write
	ledgerPeriod        = time.Second            // period over which the ledger measures the usage of a volume
	ledgerDelay         = 300 * time.Millisecond // delay after which the ledger reports a finished period
)

// embeddedNodes holds the fake nodes in the gateway's process. There is one node per shard.
type embeddedNodes struct {
	log      *zap.Logger
	nodes    []*storagenode.Node
	datasets []*storagenode.Dataset
}

// startEmbeddedNodes starts the nodes and passes their addresses to the gateway.
func startEmbeddedNodes(s *settings.Settings, g *gateway.Gateway, log *zap.Logger) (*embeddedNodes, error) {
	e := &embeddedNodes{log: log}
	ledger := storagenode.NewLedger(ledgerPeriod, ledgerDelay)
	epoch := time.Now()
	var endpoints []forwarder.Node
	for shard := range s.Shards {
		n, err := e.start(s.EmbeddedNodes, shard, ledger, epoch)
		if err != nil {
			e.close()
			return nil, err
		}
		node := dispatch.Node{ID: dispatch.NodeID(n.ID()), Shard: dispatch.Shard(shard)}
		endpoints = append(endpoints, forwarder.Node{Addr: n.Addr(), Node: node})
	}
	g.UpdateEndpoints(dispatch.Snapshot, endpoints)
	return e, nil
}

// start starts the node of a shard.
func (e *embeddedNodes) start(
	s *settings.EmbeddedNodes, shard int, ledger *storagenode.Ledger, epoch time.Time,
) (*storagenode.Node, error) {
	data := storagenode.NewDataset("")
	if s.Dir != "" {
		var err error
		data, err = storagenode.OpenDataset(filepath.Join(s.Dir, fmt.Sprintf("shard-%d", shard)))
		if err != nil {
			return nil, fmt.Errorf("embedded_nodes.dir: %w", err)
		}
	}
	e.datasets = append(e.datasets, data)
	cfg := storagenode.Config{
		ID:          fmt.Sprintf("embedded-%d", shard),
		Shard:       shard,
		Cores:       s.Cores,
		Queue:       s.Queue,
		PerUnit:     s.PerUnit.D(),
		ReportEvery: embeddedReportEvery,
		DedupWindow: embeddedDedupWindow,
		DiscardLog:  true,
		Logger:      e.log.With(zap.Int("shard", shard)),
		Timing:      true,
	}
	n, err := storagenode.Start("127.0.0.1:0", cfg, data, ledger, epoch)
	if err != nil {
		return nil, err
	}
	e.nodes = append(e.nodes, n)
	return n, nil
}

// close stops the nodes and closes their datasets.
func (e *embeddedNodes) close() {
	for _, n := range e.nodes {
		n.Stop()
	}
	for _, d := range e.datasets {
		if err := d.Close(); err != nil {
			e.log.Warn("embedded node's data not closed cleanly", zap.Error(err))
		}
	}
}
