// Benchlink connects instances of package balance to the simulator. It reads batches of events from standard input. For
// each batch it writes a reply with the actions of the instances to standard output. It makes no decisions of its own.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"salttrack/internal/simwire"
)

const bufferSize = 64 << 10 // size in bytes of the buffer of standard input, and of that of standard output

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

// run writes a reply to each batch until the input ends.
func run(in io.Reader, out io.Writer) error {
	input := bufio.NewReaderSize(in, bufferSize)
	output := bufio.NewWriterSize(out, bufferSize)
	h := newHost()
	var batch simwire.Batch
	var reply simwire.Reply
	for {
		err := batch.Read(input)
		if err == io.EOF { // not errors.Is: the error for an incomplete frame can wrap io.EOF
			return nil
		}
		if err != nil {
			return err
		}
		reply.Reset()
		if err := h.serve(&batch, &reply); err != nil {
			return err
		}
		if err := reply.Write(output, batch.Number); err != nil {
			return err
		}
		if err := output.Flush(); err != nil {
			return err
		}
	}
}
