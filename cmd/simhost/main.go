// Command simhost runs dispatchers for the simulator. It reads events in the simulator's line
// protocol from standard input and writes the dispatchers' actions to standard output.
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

// run reads batches and writes a reply to each of them until the input ends.
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

// reportFatal writes err as the whole reply to a batch if the error belongs to an instance.
// For any other error, it writes nothing.
func reportFatal(encoder *simwire.Encoder, err error) error {
	var protocol *simwire.ProtocolError
	if !errors.As(err, &protocol) || protocol.Instance == "" {
		return nil
	}
	encoder.BeginInstance(protocol.Instance)
	encoder.Fatal(protocol.Error())
	return encoder.Ready()
}

// encodeReplies writes the actions of the replies. It writes the name of an instance once for
// consecutive replies of that instance.
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
