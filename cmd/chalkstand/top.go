package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"chalkstand/gateway"
)

// usageSnapshot holds the usage of a gateway's event loops and links by each volume since the
// start of the gateway.
type usageSnapshot struct {
	Shares []gateway.VolumeUsage `json:"shares"`
	at     time.Time             // time at which the gateway returned the snapshot
}

// topOptions holds the flags of the top command.
type topOptions struct {
	admin    string        // admin address of the gateway
	interval time.Duration // time between two tables
	count    int           // number of tables; 0 means until the command is interrupted
	volumes  int           // maximum number of volumes in a table
}

func topCommand() *cobra.Command {
	var o topOptions
	c := &cobra.Command{
		Use:   "top",
		Short: "Show which volumes use a running gateway's event loops and links",
		Long: `Show, second by second, how much of the event loops of a running gateway each volume uses, how
many bytes it moves, and how many of its connections wait. Volumes share by the weights of their plans:
docs/operate/fair-sharing.md. (newcomers) are connections whose volume is not known yet, (gateway) is
the gateway's own work, others are volumes beyond share.flows.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), os.Interrupt)
			defer stop()
			return o.execute(ctx, cmd.OutOrStdout())
		},
	}
	c.Flags().StringVar(&o.admin, "admin", "127.0.0.1:9001", "admin address of a running gateway")
	c.Flags().DurationVar(&o.interval, "every", time.Second, "time between two tables")
	c.Flags().IntVar(&o.count, "times", 0, "number of tables; 0: until interrupted")
	c.Flags().IntVar(&o.volumes, "n", 20, "number of volumes")
	return c
}

// execute prints count tables, or prints tables until ctx is canceled if count is 0.
func (o topOptions) execute(ctx context.Context, out io.Writer) error {
	if o.interval <= 0 {
		return fmt.Errorf("--every %v: must be greater than 0", o.interval)
	}
	before, err := fetchUsage(context.WithoutCancel(ctx), o.admin)
	if err != nil {
		return err
	}
	for i := 0; o.count == 0 || i < o.count; i++ {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(o.interval):
		}
		now, err := fetchUsage(context.WithoutCancel(ctx), o.admin)
		if err != nil {
			return err
		}
		printUsage(out, before, now, o.volumes)
		before = now
	}
	return nil
}

// maxUsageBytes is the maximum size of a gateway's response, in bytes.
const maxUsageBytes = 64 << 20

// fetchUsage requests a usage snapshot from a running gateway.
func fetchUsage(ctx context.Context, admin string) (*usageSnapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/shares", nil)
	if err != nil {
		return nil, fmt.Errorf("request to the gateway at %s: %w", admin, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("request to the gateway at %s: %w", admin, err)
	}
	defer func() { _ = resp.Body.Close() }() // A response body needs no error check on Close.
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("gateway at %s: status %s, expected a gateway of this version", admin, resp.Status)
	}
	s := &usageSnapshot{at: time.Now()}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxUsageBytes)).Decode(s); err != nil {
		return nil, fmt.Errorf("invalid response from the gateway at %s: %w", admin, err)
	}
	return s, nil
}

// usageBetween returns the usage of each volume between two snapshots in descending order of
// loop time, and the total loop time.
func usageBetween(before, now *usageSnapshot) (rows []gateway.VolumeUsage, loopTime time.Duration) {
	earlier := map[string]gateway.VolumeUsage{}
	for _, u := range before.Shares {
		earlier[u.Volume] = u
	}
	rows = slices.Clone(now.Shares)
	for i := range rows {
		u := earlier[rows[i].Volume]
		// If the loop time has decreased, the gateway dropped the volume and counts from 0 again.
		if u.LoopTime <= rows[i].LoopTime {
			rows[i].LoopTime -= u.LoopTime
			rows[i].Bytes -= u.Bytes
		}
		loopTime += rows[i].LoopTime
	}
	slices.SortStableFunc(rows, func(a, b gateway.VolumeUsage) int { return cmp.Compare(b.LoopTime, a.LoopTime) })
	return rows, loopTime
}

// printUsage prints a table of the usage between two snapshots. The table has at most n
// volumes.
func printUsage(out io.Writer, before, now *usageSnapshot, n int) {
	rows, loopTime := usageBetween(before, now)
	interval := now.at.Sub(before.at).Seconds()
	fmt.Fprintf(out, "%-30s %8s %8s %10s %7s %8s %s\n",
		now.at.Format(time.TimeOnly), "weight", "share %", "MiB/s", "waits", "streams", "")
	for i, u := range rows {
		if i == n || u.LoopTime == 0 && u.Waiting+u.WaitingResponses == 0 {
			break
		}
		limited := ""
		if u.RateLimited {
			limited = "paced"
		}
		share := 100 * u.LoopTime.Seconds() / max(loopTime.Seconds(), 1e-9)
		fmt.Fprintf(out, "%-30s %8g %8.1f %10.1f %7d %8d %s\n",
			u.Volume, u.Weight, share, float64(u.Bytes)/(1<<20)/interval, u.Waiting, u.WaitingResponses, limited)
	}
	fmt.Fprintln(out)
}
