// Package goldentest compares the output of a test with a golden file, which holds the expected output.
package goldentest

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// update makes Compare replace the golden files, after an intended change of the output.
var update = flag.Bool("update", false, "replace the content of golden files with the output of the tests")

// Compare fails the test if a text differs from the golden file at a path. The error shows the differing lines.
func Compare(t *testing.T, path, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(path, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(strings.Split(string(want), "\n"), strings.Split(got, "\n")); diff != "" {
		t.Errorf("output differs from %s (-want +got):\n%s", path, diff)
	}
}
