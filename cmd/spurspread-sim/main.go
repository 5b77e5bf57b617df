// Command spurspread-sim hosts balancers for the simulator: it reads batches of events from standard input and writes
// one reply for each to standard output (package simwire). Each instance has its own balancer; the instances share only
// the server lists that the simulator defines. The program uses no clock and no sockets: each batch carries the time.
// Malformed input ends the program with exit code 1 and a line on standard error.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"spurspread/internal/simwire"
)

// bufferSize is the size of the input buffer and of the output buffer, in bytes.
const bufferSize = 1 << 16

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "spurspread-sim:", err)
		os.Exit(1)
	}
}

// run reads batches and writes their replies until the input ends.
func run(in io.Reader, out io.Writer) error {
	h := newHost()
	reader := simwire.NewReader(bufio.NewReaderSize(in, bufferSize))
	writer := bufio.NewWriterSize(out, bufferSize)
	for {
		batch, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.handleBatch(batch); err != nil {
			return err
		}
		if err := writeReply(writer, &h.reply); err != nil {
			return fmt.Errorf("batch %d: reply: %w", batch.Sequence, err)
		}
	}
}

// writeReply writes and flushes a reply, which the simulator waits for.
func writeReply(writer *bufio.Writer, reply *simwire.Reply) error {
	if _, err := writer.Write(reply.Bytes()); err != nil {
		return err
	}
	return writer.Flush()
}
