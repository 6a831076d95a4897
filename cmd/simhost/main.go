// Command simhost runs dispatchers on the simulator's line protocol, from standard input to
// standard output. It translates and decides nothing.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"chalkstand/internal/simwire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	decoder := simwire.NewDecoder(in)
	encoder := simwire.NewEncoder(out)
	h := host{instances: map[string]*instance{}}
	for {
		batch, err := decoder.Batch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		var replies []reply
		if err == nil {
			replies, err = h.handleBatch(batch)
		}
		if err != nil {
			return errors.Join(err, reportFatal(encoder, err))
		}
		encodeReplies(encoder, replies)
		if err := encoder.Ready(); err != nil {
			return fmt.Errorf("writing a reply: %w", err)
		}
	}
}

// reportFatal writes err as the only reply where it concerns an instance.
func reportFatal(encoder *simwire.Encoder, err error) error {
	var protocol *simwire.ProtocolError
	if !errors.As(err, &protocol) || protocol.Instance == "" {
		return nil
	}
	encoder.BeginInstance(protocol.Instance)
	encoder.Fatal(protocol.Error())
	return encoder.Ready()
}

// encodeReplies writes actions, each instance's name once for consecutive replies.
func encodeReplies(encoder *simwire.Encoder, replies []reply) {
	last := ""
	for _, r := range replies {
		if r.instance != last {
			encoder.BeginInstance(r.instance)
			last = r.instance
		}
		for _, a := range r.actions {
			encoder.Action(a)
		}
	}
}
