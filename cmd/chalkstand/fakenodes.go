package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	fakediscovery "chalkstand/fake/discovery"
	"chalkstand/fake/respnode"
)

// fakeNodeSettings contains the platform's settings for a manual test. It is a format string
// whose only argument is the number of shards.
const fakeNodeSettings = `{"me":0,"peers_total":1,"discovery":"on_request","areas":["a"],"kinds":["m"],"round_ms":1,
"limits":{"cancel":true,"conn_idle_ms":15000,"connect_timeout_ms":250,"max_retry_after_ms":2000,
"try_limit":3,"max_open":1000},
"classes":[{"name":"read","credit":3,"slo_ms":300,"deadline_ms":1500,"effect":"idempotent","group":"all"},
{"name":"write","credit":2,"slo_ms":500,"deadline_ms":4000,"effect":"deduplicated","group":"cell","window_ms":4000}],
"policies":[{"name":"gold","base_rate":100,"guaranteed":100,"weight":1,"value_factor":1}],
"family_info":{"largest":8,"usual_units":2,"slots_total":%d,"class_writes":[false,true]}}`

// The constants limit the number of fake storage nodes.
const (
	minFakeNodes = 1
	maxFakeNodes = 64
)

// fakeNodes holds the flags of the fake-nodes command.
type fakeNodes struct {
	nodes       int           // number of storage nodes
	configFile  string        // path of the configuration file that the command writes
	listen      string        // address on which the dispatcher will listen
	serviceTime time.Duration // time that a node takes to process a request
}

// fakeNodesCommand returns the command that runs fake storage nodes and a fake discovery.
func fakeNodesCommand() *cobra.Command {
	var f fakeNodes
	c := &cobra.Command{
		Use:     "fake-nodes",
		Aliases: []string{"standins"},
		Short:   "Run fake storage nodes and a fake discovery for chalkstand run",
		Args:    cobra.NoArgs,
		Long: `Run fakes of the platform's storage nodes, which speak RESP2, and of its discovery, on
loopback, until SIGTERM or SIGINT, and write a configuration with which chalkstand run reaches them.`,
		RunE: func(cmd *cobra.Command, _ []string) error { return f.run(cmd.OutOrStdout()) },
	}
	c.Flags().IntVar(&f.nodes, "nodes", 4, "storage nodes, each with a shard of its own")
	c.Flags().StringVar(&f.configFile, "config", "relay.json", "configuration to write")
	c.Flags().StringVar(&f.listen, "listen", "127.0.0.1:6379", "address on which the dispatcher will listen")
	c.Flags().DurationVar(&f.serviceTime, "work", 5*time.Millisecond, "service time of a request at a node")
	return c
}

// run runs the fake nodes and the fake discovery until SIGTERM or SIGINT.
func (f *fakeNodes) run(out io.Writer) error {
	if f.nodes < minFakeNodes || f.nodes > maxFakeNodes {
		return fmt.Errorf("fake-nodes: --nodes: expected %d to %d, got %d", minFakeNodes, maxFakeNodes, f.nodes)
	}
	discovery, err := fakediscovery.Start()
	if err != nil {
		return err
	}
	defer discovery.Stop()
	var endpoints []fakediscovery.Endpoint
	for i := range f.nodes {
		node, err := respnode.Start()
		if err != nil {
			return err
		}
		defer node.Stop()
		node.SetDefault(respnode.Behavior{Delay: f.serviceTime})
		endpoints = append(endpoints, fakediscovery.Endpoint{
			ID:    fmt.Sprintf("s%d", i),
			Addr:  node.Addr(),
			State: "Ready",
			Shard: i,
		})
	}
	if err := f.writeConfig(discovery.Addr(), endpoints); err != nil {
		return err
	}
	// A write error is ignored because the fake nodes do not depend on the output.
	_, _ = fmt.Fprintf(out, "%d nodes, discovery at %s; now: chalkstand run --config %s\n",
		f.nodes, discovery.Addr(), f.configFile)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	<-stop
	return nil
}

// writeConfig writes the configuration of a dispatcher that uses the fake discovery and the
// fake nodes.
func (f *fakeNodes) writeConfig(discovery string, endpoints []fakediscovery.Endpoint) error {
	text, err := json.Marshal(map[string]any{
		"name":      "n1",
		"listen":    f.listen,
		"discovery": discovery,
		"seed":      "1",
		"limits":    map[string]any{"cores": 1, "memory_mb": 64, "sockets": 512},
		"known":     json.RawMessage(fakediscovery.Document(1, true, endpoints...)),
		"settings":  json.RawMessage(fmt.Sprintf(fakeNodeSettings, f.nodes)),
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(f.configFile, text, 0o644); err != nil {
		return fmt.Errorf("fake-nodes: %w", err)
	}
	return nil
}
