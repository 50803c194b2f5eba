// Program standin runs one case of the review, and the stand-ins of its upstreams.
package main

import (
	"fmt"
	"os"
)

func main() {
	if len(os.Args) > 3 && os.Args[1] == "upstream" {
		runUpstream(os.Args[2:])
		return
	}
	cases := map[string]func(){
		"send-and-go":      sendAndGo,
		"wrong-connection": wrongConnection,
		"hung-upload":      hungUpload,
	}
	if len(os.Args) == 2 && cases[os.Args[1]] != nil {
		cases[os.Args[1]]()
		return
	}
	fmt.Fprintln(os.Stderr, "unknown case")
	os.Exit(exitNotRun)
}
