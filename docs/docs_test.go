// Package docs_test checks the documentation against the repository: links, the layers of packages, the walkthroughs of
// the code, and the glossary.
package docs_test

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const (
	root         = ".."
	architecture = "architecture.md"
	module       = "salttrack/"
)

var (
	markdownLink = regexp.MustCompile(`\]\(([^)#\s]*)(?:#[^)\s]*)?\)`)
	pageMention  = regexp.MustCompile(`\bdocs/[\w./-]+\.md\b`)
	codeSpan     = regexp.MustCompile("`([^`]+)`")
)

// TestLinks checks that the targets of relative links in Markdown files exist.
// It also checks that each page below docs that a Markdown, Go or TOML file mentions exists.
func TestLinks(t *testing.T) {
	for _, file := range trackedFiles(t) {
		switch filepath.Ext(file) {
		case ".md":
			for _, m := range markdownLink.FindAllStringSubmatch(read(t, file), -1) {
				checkLink(t, file, m[1])
			}
			checkMentions(t, file)
		case ".go", ".toml":
			checkMentions(t, file)
		}
	}
}

func checkLink(t *testing.T, file, target string) {
	t.Helper()
	if target == "" || strings.Contains(target, "://") {
		return
	}
	if path := filepath.Join(filepath.Dir(file), target); !exists(path) {
		t.Errorf("%s: link to %s, which does not exist", file, target)
	}
}

func checkMentions(t *testing.T, file string) {
	t.Helper()
	for _, page := range pageMention.FindAllString(read(t, file), -1) {
		if !exists(page) {
			t.Errorf("%s: mentions %s, which does not exist", file, page)
		}
	}
}

// TestLayers checks that the table of layers lists each package once, and that each package imports only packages of
// lower layers.
func TestLayers(t *testing.T) {
	layers := layerTable(t)
	packages := goList(t, "{{.ImportPath}} {{join .Imports \" \"}}")
	for _, line := range packages {
		fields := strings.Fields(line)
		name := strings.TrimPrefix(fields[0], module)
		layer, ok := layers[name]
		if !ok {
			t.Errorf("%s: the table of layers does not list package %s", architecture, name)
			continue
		}
		for _, imported := range fields[1:] {
			other, own := strings.CutPrefix(imported, module)
			if own && layers[other] >= layer {
				t.Errorf("%s (layer %d) imports %s (layer %d), want a lower layer", name, layer, other, layers[other])
			}
		}
	}
	for name := range layers {
		if !slices.ContainsFunc(packages, func(line string) bool { return strings.Fields(line)[0] == module+name }) {
			t.Errorf("%s: the table of layers lists package %s, which does not exist", architecture, name)
		}
	}
}

// TestPurePackages checks that the packages that the architecture page lists as free of I/O and clocks do not directly
// import any package of a list of packages that do I/O or read a clock.
func TestPurePackages(t *testing.T) {
	forbidden := []string{"net", "os", "syscall", "golang.org/x/sys/unix", "os/signal", "io/fs", "time"}
	pure := sectionSpans(t, "## Packages without I/O")
	if len(pure) == 0 {
		t.Fatalf("%s lists no packages without I/O", architecture)
	}
	for _, name := range pure {
		for _, line := range goList(t, "{{join .Imports \" \"}}", module+name) {
			for _, imported := range strings.Fields(line) {
				if slices.Contains(forbidden, imported) {
					t.Errorf("%s is listed as free of I/O and clocks but imports %s", name, imported)
				}
			}
		}
	}
}

// TestWalkthroughs checks the walkthroughs of the architecture page: each function that a step names is declared in the
// file of that step. A step is a table row with the cells number, description, file and functions.
func TestWalkthroughs(t *testing.T) {
	steps := 0
	for _, row := range tableRows(read(t, "docs/"+architecture)) {
		if len(row) != 4 || !strings.HasSuffix(strings.Trim(row[2], "`"), ".go") {
			continue
		}
		steps++
		file := strings.Trim(row[2], "`")
		if !exists(file) {
			t.Errorf("step %s: file %s does not exist", row[0], file)
			continue
		}
		text := read(t, file)
		for _, m := range codeSpan.FindAllStringSubmatch(row[3], -1) {
			declaration := regexp.MustCompile(`(?m)^func (\([^)]*\) )?` + regexp.QuoteMeta(m[1]) + `[\[(]`)
			if !declaration.MatchString(text) {
				t.Errorf("step %s: file %s does not declare function %s", row[0], file, m[1])
			}
		}
	}
	if steps < 50 {
		t.Errorf("%s has %d steps of walkthroughs, want at least 50", architecture, steps)
	}
}

// layerTable returns the number of the layer of each package. Layer 0 is the lowest.
func layerTable(t *testing.T) map[string]int {
	t.Helper()
	layers := map[string]int{}
	for _, row := range tableRows(section(t, "## Layers")) {
		layer, err := strconv.Atoi(row[0])
		if err != nil {
			continue
		}
		for _, m := range codeSpan.FindAllStringSubmatch(row[len(row)-1], -1) {
			if _, twice := layers[m[1]]; twice {
				t.Errorf("%s: the table of layers lists %s twice", architecture, m[1])
			}
			layers[m[1]] = layer
		}
	}
	return layers
}

// section returns the text of the architecture page from a heading to the next heading of level 2.
func section(t *testing.T, heading string) string {
	t.Helper()
	_, text, found := strings.Cut(read(t, "docs/"+architecture), heading+"\n")
	if !found {
		t.Fatalf("%s has no heading %q", architecture, heading)
	}
	text, _, _ = strings.Cut(text, "\n## ")
	return text
}

// sectionSpans returns the code spans of a section of the architecture page, without their backticks.
func sectionSpans(t *testing.T, heading string) (spans []string) {
	t.Helper()
	for _, m := range codeSpan.FindAllStringSubmatch(section(t, heading), -1) {
		spans = append(spans, m[1])
	}
	return spans
}

// tableRows returns the cells of the rows of all tables in a Markdown text, with headers and separators.
// Empty cells at the start and the end of a row are left out.
func tableRows(text string) (rows [][]string) {
	for line := range strings.SplitSeq(text, "\n") {
		if !strings.HasPrefix(line, "|") {
			continue
		}
		cells := strings.Split(strings.Trim(line, "| "), "|")
		for i := range cells {
			cells[i] = strings.TrimSpace(cells[i])
		}
		rows = append(rows, cells)
	}
	return rows
}

// trackedFiles returns the paths of the files that git tracks and that exist in the worktree.
// It leaves out journal, which holds recorded results of benchmarks.
func trackedFiles(t *testing.T) (files []string) {
	t.Helper()
	for _, file := range strings.Fields(run(t, "git", "ls-files")) {
		if !strings.HasPrefix(file, "journal/") && exists(file) {
			files = append(files, file)
		}
	}
	if len(files) == 0 {
		t.Fatal("git tracks no files outside journal")
	}
	return files
}

// goList runs go list and returns the lines of its output.
// Without package arguments it lists the packages of balance, cmd and internal.
func goList(t *testing.T, format string, packages ...string) []string {
	t.Helper()
	if len(packages) == 0 {
		packages = []string{"./balance/...", "./cmd/...", "./internal/..."}
	}
	args := append([]string{"list", "-f", format}, packages...)
	return strings.Split(strings.TrimSpace(run(t, "go", args...)), "\n")
}

// run runs a command in the root of the repository and returns its standard output.
func run(t *testing.T, name string, args ...string) string {
	t.Helper()
	var stderr bytes.Buffer
	cmd := exec.Command(name, args...)
	cmd.Dir = root
	cmd.Stderr = &stderr
	out, err := cmd.Output()
	if err != nil {
		t.Fatalf("%s %v: %v: %s", name, args, err, stderr.String())
	}
	return string(out)
}

// read returns the text of a file. The path is relative to the root of the repository.
func read(t *testing.T, file string) string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, file))
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// exists reports whether a file or folder exists. The path is relative to the root of the repository.
func exists(file string) bool {
	_, err := os.Stat(filepath.Join(root, file))
	return err == nil
}
