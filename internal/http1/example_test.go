package http1_test

import (
	"fmt"
	"strings"

	"salttrack/internal/http1"
)

// A request is decoded from two fragments, then encoded for an upstream.
// Fields that salttrack does not know, such as User-Agent, are not forwarded.
func Example() {
	decoder := http1.NewRequestDecoder()
	for _, fragment := range []string{
		"GET /read/a HTTP/1.1\r\nHost: balancer\r\nX-Txn: 9b1f\r\nX-La",
		"ne: read\r\nX-Remaining: 0.480\r\nUser-Agent: example\r\n\r\n",
	} {
		if _, err := decoder.Feed([]byte(fragment)); err != nil {
			fmt.Println("rejected with status", http1.StatusOf(err))
			return
		}
	}
	request := decoder.Request()
	fmt.Println("complete:", decoder.Complete(), "id:", request.ID, "class:", request.Class)
	forwarded := http1.AppendRequest(nil, &request, "upstream:80", 450)
	fmt.Print(strings.ReplaceAll(string(forwarded), "\r\n", "\n"))
	// Output:
	// complete: true id: 9b1f class: read
	// GET /read/a HTTP/1.1
	// Host: upstream:80
	// X-Txn: 9b1f
	// X-Lane: read
	// X-Remaining: 0.450
}
