package bodystream_test

import (
	"fmt"

	"salttrack/internal/bodystream"
)

// The writer writes each part of the body as it receives it, and the reader consumes it.
// In this example the writer runs in a loop; in salttrack both sides run as callbacks of the stream.
func Example() {
	pool := bodystream.NewBufferPool(1, nil)
	body := bodystream.New(pool, 11)
	body.OnReadable(func() {
		p := body.Peek()
		fmt.Printf("%q, complete %v\n", p, body.State() == bodystream.Complete)
		body.Consume(len(p))
	})
	for _, part := range []string{"hello ", "world"} {
		if body.Available() >= len(part) {
			body.Write([]byte(part))
			body.Flush()
		}
	}
	body.Finish()
	fmt.Println("buffers in use:", pool.InUse())
	// Output:
	// "hello ", complete false
	// "world", complete false
	// "", complete true
	// buffers in use: 0
}
