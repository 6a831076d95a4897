package main

import (
	"chalkstand/gateway"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"time"

	"github.com/spf13/cobra"
)

// sharesTold is what /shares answers.
type sharesTold struct {
	Shares []gateway.VolumeUsage `json:"shares"`
	at     time.Time
}

func topCommand() *cobra.Command {
	var admin string
	var every time.Duration
	var times, n int
	c := &cobra.Command{
		Use: "top", Short: "Show who holds a running gateway's loops and links now",
		Long: `Show, second by second, which volumes have the event loops of a running gateway, how many bytes
they move, and what of them waits. Volumes are shared out by the weights of their plans:
docs/operate/share.md. (newcomers) are connections that have not spoken for a volume yet, (gateway)
is what belongs to none, others are volumes beyond share.flows.`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if every <= 0 {
				return fmt.Errorf("--every %v: want a time above 0", every)
			}
			stop := make(chan os.Signal, 1)
			signal.Notify(stop, os.Interrupt)
			defer signal.Stop(stop)
			before, err := askShares(admin)
			if err != nil {
				return err
			}
			for i := 0; times == 0 || i < times; i++ {
				select {
				case <-stop:
					return nil
				case <-time.After(every):
				}
				now, err := askShares(admin)
				if err != nil {
					return err
				}
				showTop(cmd.OutOrStdout(), before, now, n)
				before = now
			}
			return nil
		},
	}
	c.Flags().StringVar(&admin, "admin", "127.0.0.1:9001", "admin address of a running gateway")
	c.Flags().DurationVar(&every, "every", time.Second, "time between two tables")
	c.Flags().IntVar(&times, "times", 0, "tables; 0: until stopped")
	c.Flags().IntVar(&n, "n", 20, "volumes")
	return c
}

func askShares(admin string) (*sharesTold, error) {
	client := http.Client{Timeout: 10 * time.Second}
	resp, err := client.Get("http://" + admin + "/shares")
	if err != nil {
		return nil, fmt.Errorf("asking the gateway at %s: %w", admin, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != 200 {
		return nil, fmt.Errorf("asking the gateway at %s: %s: want a gateway of this version", admin, resp.Status)
	}
	s := &sharesTold{at: time.Now()}
	if err := json.NewDecoder(io.LimitReader(resp.Body, 64<<20)).Decode(s); err != nil {
		return nil, fmt.Errorf("the answer of the gateway at %s: %w", admin, err)
	}
	return s, nil
}

// showTop writes a table of what was had between two moments.
func showTop(out io.Writer, before, now *sharesTold, n int) {
	then := map[string]gateway.VolumeUsage{}
	for _, s := range before.Shares {
		then[s.Volume] = s
	}
	took := now.at.Sub(before.at)
	rows := slices.Clone(now.Shares)
	var sum time.Duration
	for i := range rows {
		was := then[rows[i].Volume]
		if was.LoopTime <= rows[i].LoopTime { // else it was forgotten meanwhile, and made anew
			rows[i].LoopTime -= was.LoopTime
			rows[i].Bytes -= was.Bytes
		}
		sum += rows[i].LoopTime
	}
	slices.SortStableFunc(rows, func(a, b gateway.VolumeUsage) int { return cmp.Compare(b.LoopTime, a.LoopTime) })
	fmt.Fprintf(out, "%-30s %8s %8s %10s %7s %8s %s\n", now.at.Format(time.TimeOnly), "weight", "share %", "MiB/s", "waits", "streams", "")
	for i, s := range rows {
		if i == n || s.LoopTime == 0 && s.Waiting+s.Streams == 0 {
			break
		}
		paced := ""
		if s.RateLimited {
			paced = "paced"
		}
		fmt.Fprintf(out, "%-30s %8g %8.1f %10.1f %7d %8d %s\n", s.Volume, s.Weight, 100*s.LoopTime.Seconds()/max(sum.Seconds(), 1e-9),
			float64(s.Bytes)/(1<<20)/took.Seconds(), s.Waiting, s.Streams, paced)
	}
	fmt.Fprintln(out)
}
