package main

import (
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

	"chalkstand/attribution"
	"chalkstand/internal/attributionlog"
	"chalkstand/internal/attributionreport"
)

// accountsFlags holds the flags of the subcommands of accounts.
type accountsFlags struct {
	admin string        // admin address of a running gateway
	log   string        // path of an attribution log to read instead; if empty, the gateway is asked
	since time.Duration // length of the time range to show, which ends now or at the end of the log
	json  bool          // whether the output is JSON
}

// printFunc prints latency attribution. The parameter args holds the arguments of the command.
type printFunc func(out io.Writer, d *attributionreport.Data, args []string) error

func accountsCommand() *cobra.Command {
	var f accountsFlags
	c := &cobra.Command{
		Use:   "accounts",
		Short: "Show latency attribution: where requests spent their time, and behind which volumes they waited",
		Long: `Show the latency of requests by volume and component, and which volume waited behind which,
over the last time that a running gateway (--admin) or an attribution log (--log) covers.

  chalkstand accounts top
  chalkstand accounts volume photos --since 30m
  chalkstand accounts blame photos --log accounts.log --since 24h
  chalkstand accounts report --out report.html

A gateway keeps seconds for two minutes, ten seconds for half an hour, and five minutes for a
day. docs/operate/attribution.md describes the components.`,
	}
	p := c.PersistentFlags()
	p.StringVar(&f.admin, "admin", "127.0.0.1:9001", "admin address of a running gateway")
	p.StringVar(&f.log, "log", "", "attribution log to read instead")
	p.DurationVar(&f.since, "since", 5*time.Minute, "time before now, or before the end of the log")
	subcommands := []*cobra.Command{
		accountsTopCommand(&f),
		accountsVolumeCommand(&f),
		accountsBlameCommand(&f),
	}
	for _, sub := range subcommands {
		sub.Flags().BoolVar(&f.json, "json", false, "write JSON")
		c.AddCommand(sub)
	}
	c.AddCommand(accountsReportCommand(&f))
	return c
}

func accountsTopCommand(f *accountsFlags) *cobra.Command {
	var n int
	c := &cobra.Command{
		Use:   "top",
		Short: "Show the volumes whose requests took the most time",
		Args:  cobra.NoArgs,
		RunE: f.run(func(out io.Writer, d *attributionreport.Data, _ []string) error {
			attributionreport.Top(out, d, n)
			return nil
		}),
	}
	c.Flags().IntVar(&n, "n", 20, "number of volumes")
	return c
}

func accountsVolumeCommand(f *accountsFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "volume VOLUME",
		Short: "Show one volume's latency by component, with percentiles",
		Args:  cobra.ExactArgs(1),
		RunE: f.run(func(out io.Writer, d *attributionreport.Data, args []string) error {
			return attributionreport.Volume(out, d, args[0])
		}),
	}
}

func accountsBlameCommand(f *accountsFlags) *cobra.Command {
	return &cobra.Command{
		Use:   "blame VOLUME",
		Short: "Show behind which volumes a volume waited, and which waited behind it",
		Args:  cobra.ExactArgs(1),
		RunE: f.run(func(out io.Writer, d *attributionreport.Data, args []string) error {
			return attributionreport.Contributions(out, d, args[0])
		}),
	}
}

func accountsReportCommand(f *accountsFlags) *cobra.Command {
	var file, volume string
	c := &cobra.Command{
		Use:   "report",
		Short: "Write an HTML report with charts",
		Args:  cobra.NoArgs,
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
	c.Flags().StringVar(&volume, "volume", "", "volume to show first")
	return c
}

// run returns the RunE function of a command. The function loads the attribution and prints it
// with show, or as JSON if the json flag is set.
func (f *accountsFlags) run(show printFunc) func(*cobra.Command, []string) error {
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

// load reads the attribution from the log if the log flag is set, and from a running gateway
// otherwise.
func (f *accountsFlags) load(ctx context.Context) (*attributionreport.Data, error) {
	if f.since <= 0 {
		return nil, fmt.Errorf("--since %v: must be greater than 0", f.since)
	}
	if f.log != "" {
		return f.loadLog()
	}
	return f.loadAdmin(ctx)
}

// loadLog reads an attribution log. It skips damaged parts and adds a note for each of them.
func (f *accountsFlags) loadLog() (*attributionreport.Data, error) {
	records, damage, err := attributionlog.Read(f.log)
	if err != nil {
		return nil, err
	}
	timeline := attributionlog.NewTimeline(records)
	d := &attributionreport.Data{Slots: timeline.Since(f.since), Notes: timeline.Notes}
	for _, x := range damage {
		d.Notes = append(d.Notes, x.Error())
	}
	return d, nil
}

// adminTimeout is the timeout of a request to the admin address of a gateway.
const adminTimeout = 10 * time.Second

// maxErrorBytes is the maximum number of bytes that are shown of the body of an error response.
const maxErrorBytes = 4096

// loadAdmin reads the attribution from a running gateway.
func (f *accountsFlags) loadAdmin(ctx context.Context) (*attributionreport.Data, error) {
	doc, err := f.fetchDocument(ctx)
	if err != nil {
		return nil, err
	}
	if doc.Version != attribution.Version {
		return nil, fmt.Errorf("gateway at %s: accounts version %d is not supported, expected %d",
			f.admin, doc.Version, attribution.Version)
	}
	d := &attributionreport.Data{Counts: &doc.Counts}
	for _, w := range doc.Windows {
		d.Slots = append(d.Slots, attributionlog.Slot{Run: doc.Run, From: doc.Run.At(w.From), Window: w})
	}
	return d, nil
}

// fetchDocument requests the latency attribution from a running gateway.
func (f *accountsFlags) fetchDocument(ctx context.Context) (*attribution.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	query := url.Values{"since": {f.since.String()}, "slots": {"1"}}
	u := url.URL{Scheme: "http", Host: f.admin, Path: "/accounts", RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return nil, fmt.Errorf("--admin %s: %w", f.admin, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("no gateway answers at --admin %s: %w", f.admin, err)
	}
	defer func() { _ = resp.Body.Close() }() // A response body needs no error check on Close.
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes)) // A partial body is shown as well.
		return nil, fmt.Errorf("gateway at %s: %s: %s", f.admin, resp.Status, strings.TrimSpace(string(b)))
	}
	var doc attribution.Document
	if err := json.NewDecoder(resp.Body).Decode(&doc); err != nil {
		return nil, fmt.Errorf("gateway at %s: %w", f.admin, err)
	}
	return &doc, nil
}
