package main

import (
	"chalkstand/attribution"
	"chalkstand/gateway"
	"chalkstand/internal/attributionlog"
	"chalkstand/internal/attributionreport"
	"chalkstand/internal/settings"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"
)

// accountsFlags are what all the account commands take.
type accountsFlags struct {
	admin, log string
	since      time.Duration
	json       bool
}

func accountsCommand() *cobra.Command {
	var f accountsFlags
	c := &cobra.Command{
		Use: "accounts", Short: "Tell where the time of requests went, and who waited behind whom",
		Long: `Tell where the time of requests went, by volume and cause, and which volume waited behind
which, over the last time that a running gateway (--admin) or a saved log (--log) knows of.

  chalkstand accounts top
  chalkstand accounts volume photos --since 30m
  chalkstand accounts blame photos --log accounts.log --since 24h
  chalkstand accounts report --out report.html

Over up to two minutes a gateway tells by seconds, over half an hour by ten seconds, over a
day by five minutes. docs/operate/accounts.md names the causes.`,
	}
	p := c.PersistentFlags()
	p.StringVar(&f.admin, "admin", "127.0.0.1:9001", "admin address of a running gateway")
	p.StringVar(&f.log, "log", "", "read a saved log instead")
	p.DurationVar(&f.since, "since", 5*time.Minute, "how far back from now, or from the end of the log")
	var n int
	top := &cobra.Command{
		Use: "top", Short: "The volumes that spent most time", Args: cobra.NoArgs,
		RunE: f.run(func(out io.Writer, d *attributionreport.Data, _ []string) error {
			attributionreport.Top(out, d, n)
			return nil
		}),
	}
	top.Flags().IntVar(&n, "n", 20, "volumes")
	volume := &cobra.Command{
		Use: "volume VOLUME", Short: "One volume's time by cause, with percentiles", Args: cobra.ExactArgs(1),
		RunE: f.run(func(out io.Writer, d *attributionreport.Data, args []string) error {
			return attributionreport.Volume(out, d, args[0])
		}),
	}
	blame := &cobra.Command{
		Use: "blame VOLUME", Short: "Whom a volume waited behind, and who waited behind it", Args: cobra.ExactArgs(1),
		RunE: f.run(func(out io.Writer, d *attributionreport.Data, args []string) error {
			return attributionreport.Contributions(out, d, args[0])
		}),
	}
	for _, sub := range []*cobra.Command{top, volume, blame} {
		sub.Flags().BoolVar(&f.json, "json", false, "write the account as JSON")
		c.AddCommand(sub)
	}
	c.AddCommand(reportCommand(&f))
	return c
}

func reportCommand(f *accountsFlags) *cobra.Command {
	var file, volume string
	c := &cobra.Command{
		Use: "report", Short: "One HTML file with pictures", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			d, err := f.load(cmd.Context())
			if err != nil {
				return err
			}
			var b strings.Builder
			if err := attributionreport.HTML(&b, d, volume); err != nil {
				return err
			}
			if err := os.WriteFile(file, []byte(b.String()), 0o644); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), file)
			return nil
		},
	}
	c.Flags().StringVar(&file, "out", "accounts.html", "file to write")
	c.Flags().StringVar(&volume, "volume", "", "volume that comes first")
	return c
}

// run loads the accounts and shows them.
func (f *accountsFlags) run(show func(io.Writer, *attributionreport.Data, []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		d, err := f.load(cmd.Context())
		if err != nil {
			return err
		}
		var b strings.Builder
		if err := show(&b, d, args); err != nil {
			return err
		}
		if !f.json {
			_, err = io.WriteString(cmd.OutOrStdout(), b.String())
			return err
		}
		enc := json.NewEncoder(cmd.OutOrStdout())
		enc.SetIndent("", "  ")
		return enc.Encode(attributionreport.JSON(d, args))
	}
}

func (f *accountsFlags) load(ctx context.Context) (*attributionreport.Data, error) {
	if f.since <= 0 {
		return nil, fmt.Errorf("--since %v: want a time above 0", f.since)
	}
	if f.log != "" {
		return f.loadLog()
	}
	return f.loadAdmin(ctx)
}

// loadLog reads a saved log as far as it is whole.
func (f *accountsFlags) loadLog() (*attributionreport.Data, error) {
	recs, damage, err := attributionlog.Read(f.log)
	if err != nil {
		return nil, err
	}
	t := attributionlog.NewTimeline(recs)
	d := &attributionreport.Data{Slots: t.Since(f.since), Notes: t.Notes}
	for _, x := range damage {
		d.Notes = append(d.Notes, x.Error())
	}
	return d, nil
}

// adminWait bounds the asking of a gateway.
const adminWait = 10 * time.Second

// loadAdmin asks a running gateway.
func (f *accountsFlags) loadAdmin(ctx context.Context) (*attributionreport.Data, error) {
	if ctx == nil {
		ctx = context.Background()
	}
	ctx, cancel := context.WithTimeout(ctx, adminWait)
	defer cancel()
	u := url.URL{Scheme: "http", Host: f.admin, Path: "/accounts", RawQuery: url.Values{"since": {f.since.String()}, "slots": {"1"}}.Encode()}
	req, err := http.NewRequestWithContext(ctx, "GET", u.String(), nil)
	if err != nil {
		return nil, fmt.Errorf("--admin %s: %w", f.admin, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("no gateway answers at --admin %s: %w", f.admin, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != 200 {
		b, _ := io.ReadAll(io.LimitReader(resp.Body, 4096))
		return nil, fmt.Errorf("gateway at %s: %s: %s", f.admin, resp.Status, strings.TrimSpace(string(b)))
	}
	var doc attribution.Document
	if err := json.NewDecoder(resp.Body).Decode(&doc); err != nil {
		return nil, fmt.Errorf("gateway at %s: %w", f.admin, err)
	}
	if doc.Version != attribution.Version {
		return nil, fmt.Errorf("gateway at %s: version %d of accounts; this program reads %d", f.admin, doc.Version, attribution.Version)
	}
	d := &attributionreport.Data{Counts: &doc.Counts}
	for _, w := range doc.Windows {
		d.Slots = append(d.Slots, attributionlog.Slot{Run: doc.Run, From: doc.Run.At(w.From), Window: w})
	}
	return d, nil
}

// saveAccounts opens the log of a gateway's accounts where the settings name one.
// Trouble with it is logged and ends the log, not the gateway.
func saveAccounts(s *settings.Settings, log *zap.Logger) (opts []gateway.Option, bind func(*gateway.Gateway), stop func(), err error) {
	none := func() {}
	if s.Accounts.Log == "" || !s.Accounts.On {
		return nil, func(*gateway.Gateway) {}, none, nil
	}
	w, err := attributionlog.Open(s.Accounts.Log, s.Accounts.LogBytes, s.Accounts.LogFiles)
	if err != nil {
		return nil, nil, nil, err
	}
	var g *gateway.Gateway
	ready := make(chan struct{})
	failed := false
	save := func(a attribution.Action) {
		<-ready
		if failed {
			return
		}
		if err := w.Append(attributionlog.NewRecord(g.Run(), time.Now(), g.Now(), a)); err != nil {
			failed = true
			log.Error("accounts are no longer saved", zap.Error(err))
		}
	}
	bind = func(x *gateway.Gateway) { g = x; close(ready) }
	stop = func() {
		if err := w.Close(); err != nil {
			log.Warn("account log", zap.Error(err))
		}
	}
	return []gateway.Option{gateway.WithAttributionLog(save)}, bind, stop, nil
}
