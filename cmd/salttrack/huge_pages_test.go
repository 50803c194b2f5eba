package main

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// Guards against more memory than the limit on machines where the kernel gives huge pages to all processes: one of them is a quarter of
// the least limit.
func TestNoHugePages(t *testing.T) {
	p := start(t, newEnvironment(t, echo).config(nil))
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	if text := string(status); strings.Contains(text, "THP_enabled") && !strings.Contains(text, "THP_enabled:\t0") {
		t.Error("the program may get huge pages")
	}
	p.terminate()
}
