// Command simhost hosts dispatchers on the simulator's wire: standard input to
// standard output. It translates and decides nothing.
package main

import (
	"chalkstand/dispatch"
	"chalkstand/internal/simwire"
	"errors"
	"fmt"
	"io"
	"os"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	dec, enc := simwire.NewDecoder(in), simwire.NewEncoder(out)
	h := host{running: map[string]*instance{}}
	for {
		b, err := dec.Batch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = h.answer(b, enc)
		}
		if err != nil {
			var bad *simwire.Error
			if errors.As(err, &bad) && bad.Instance != "" {
				enc.By(bad.Instance)
				enc.Fatal(bad.Error())
				err = errors.Join(err, enc.Ready())
			}
			return err
		}
		if err := enc.Ready(); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

type instance struct {
	d   *dispatch.Dispatcher
	cfg dispatch.Config
}

type host struct{ running map[string]*instance }

// answer hands each event to its instance. Actions are written only when the
// whole batch has been understood, so that a fault is the reply's only text.
func (h *host) answer(b simwire.Batch, enc *simwire.Encoder) error {
	type said struct {
		inst string
		acts []dispatch.Action
	}
	var reply []said
	for _, it := range b.Items {
		bad := func(format string, args ...any) error {
			return &simwire.Error{Line: it.Line, Instance: it.Instance, Text: fmt.Sprintf(format, args...)}
		}
		in := h.running[it.Instance]
		switch {
		case it.Kind == simwire.Begin && in != nil:
			return bad("BEGIN for %s, which is running", it.Instance)
		case it.Kind == simwire.Begin:
			d, err := dispatch.New(it.Config, it.Seed)
			if err != nil {
				return bad("BEGIN: %v", err)
			}
			h.running[it.Instance] = &instance{d, it.Config}
			continue
		case in == nil:
			return bad("event for %s, which is not running", it.Instance)
		case it.Kind == simwire.Crash:
			delete(h.running, it.Instance)
			// What it said earlier in this batch died with it.
			kept := reply[:0]
			for _, s := range reply {
				if s.inst != it.Instance {
					kept = append(kept, s)
				}
			}
			reply = kept
			continue
		}
		if it.Event == nil {
			continue // of a kind that the decisions do not use
		}
		if r, ok := it.Event.(dispatch.Request); ok {
			if r.Class < 0 || r.Class >= len(in.cfg.Classes) {
				return bad("ASK: tier_class %d: expected 0 to %d", r.Class, len(in.cfg.Classes)-1)
			}
			if r.Plan < 0 || r.Plan >= len(in.cfg.Plans) {
				return bad("ASK: plan %d: expected 0 to %d", r.Plan, len(in.cfg.Plans)-1)
			}
		}
		if acts := in.d.Handle(b.Now, it.Event); len(acts) > 0 {
			reply = append(reply, said{it.Instance, acts})
		}
	}
	last := ""
	for _, s := range reply {
		if s.inst != last {
			enc.By(s.inst)
			last = s.inst
		}
		for _, a := range s.acts {
			enc.Action(a)
		}
	}
	return nil
}
