package main

import (
	fakediscovery "chalkstand/fake/discovery"
	"chalkstand/fake/respnode"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

// standinSettings are made-up settings of the platform for a try by hand.
const standinSettings = `{"me":0,"peers_total":1,"discovery":"on_request","areas":["a"],"kinds":["m"],"round_ms":1,
"limits":{"cancel":true,"conn_idle_ms":15000,"connect_timeout_ms":250,"max_retry_after_ms":2000,"try_limit":3,"max_open":1000},
"classes":[{"name":"read","credit":3,"slo_ms":300,"deadline_ms":1500,"effect":"idempotent","group":"all"},
{"name":"write","credit":2,"slo_ms":500,"deadline_ms":4000,"effect":"deduplicated","group":"cell","window_ms":4000}],
"policies":[{"name":"gold","base_rate":100,"guaranteed":100,"weight":1,"value_factor":1}],
"family_info":{"largest":8,"usual_units":2,"slots_total":%d,"class_writes":[false,true]}}`

func standinsCommand() *cobra.Command {
	var nodes int
	var file, listen string
	var work time.Duration
	c := &cobra.Command{
		Use: "standins", Short: "Run stand-in storage nodes and discovery for chalkstand run", Args: cobra.NoArgs,
		Long: `Run stand-ins for the platform's storage nodes, which speak RESP2, and for its discovery, on
loopback, until SIGTERM or SIGINT, and write a configuration with which chalkstand run reaches them.`,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if nodes < 1 || nodes > 64 {
				return fmt.Errorf("standins: --nodes: expected 1 to 64, got %d", nodes)
			}
			disc, err := fakediscovery.Start()
			if err != nil {
				return err
			}
			defer disc.Stop()
			var entries []fakediscovery.Endpoint
			for i := range nodes {
				n, err := respnode.StartNode()
				if err != nil {
					return err
				}
				defer n.Stop()
				n.SetDefault(respnode.Behavior{Delay: work})
				entries = append(entries, fakediscovery.Endpoint{ID: fmt.Sprintf("s%d", i), Addr: n.Addr(), State: "Ready", Cell: i})
			}
			text, err := json.Marshal(map[string]any{
				"name": "n1", "listen": listen, "discovery": disc.Addr(), "seed": "1",
				"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 512},
				"known":  json.RawMessage(fakediscovery.Document(1, true, entries...)), "settings": json.RawMessage(fmt.Sprintf(standinSettings, nodes)),
			})
			if err != nil {
				return err
			}
			if err := os.WriteFile(file, text, 0o644); err != nil {
				return fmt.Errorf("standins: %w", err)
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d nodes, discovery at %s; now: chalkstand run --config %s\n", nodes, disc.Addr(), file)
			stop := make(chan os.Signal, 1)
			signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
			<-stop
			return nil
		},
	}
	c.Flags().IntVar(&nodes, "nodes", 4, "storage nodes, each with a shard of its own")
	c.Flags().StringVar(&file, "config", "relay.json", "configuration to write")
	c.Flags().StringVar(&listen, "listen", "127.0.0.1:6379", "where the dispatcher is to listen")
	c.Flags().DurationVar(&work, "work", 5*time.Millisecond, "of a node for one request")
	return c
}
