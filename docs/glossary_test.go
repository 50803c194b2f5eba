package docs_test

import (
	"fmt"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"unicode"
)

const (
	glossary         = "glossary.md"
	minGlossaryTerms = 20
	glossaryColumns  = 5
)

var (
	separatorCell  = regexp.MustCompile(`^:?-+:?$`)
	spanSeparators = regexp.MustCompile(`^(?:[\s,;]|\band\b)*$`)
	identifierSpan = regexp.MustCompile(`^((?:[\w.-]+/)*\w+)\.([\pL_]\w*(?:\.[\pL_]\w*)?)$`)
)

// TestGlossary checks the tables of the glossary: the files and Go identifiers of each term exist, and the outside words
// of a term occur in the file that maps them to the code. An outside word is a name that other programs use, such as that
// of a setting or an HTTP field.
func TestGlossary(t *testing.T) {
	if !exists("docs/" + glossary) {
		t.Fatalf("docs/%s does not exist", glossary)
	}
	for _, finding := range glossaryFindings(t, read(t, "docs/"+glossary)) {
		t.Errorf("%s: %s", glossary, finding)
	}
}

// TestGlossaryFindings checks that glossaryFindings accepts a correct page and finds each kind of error. Each page has 20
// correct terms and the rows of its case.
func TestGlossaryFindings(t *testing.T) { //revive:disable-line:function-length table of cases
	const sample = "docs/testdata/glossary/sample.go"
	for _, c := range []struct {
		name, rows string
		want       []string
	}{
		{"correct page", "", nil},
		{"files and folders", codeRow("`docs/docs_test.go`, `deploy/balancer.toml` and `docs/testdata/glossary`"), nil},
		{"file without a folder", codeRow("`nowhere.go` `nowhere.toml`"), []string{
			`term "x": code: nowhere.go is not a file or folder of the repository`,
			`term "x": code: nowhere.toml is not a file or folder of the repository`}},
		{"missing folder", codeRow("`docs/nowhere`"), []string{
			`term "x": code: docs/nowhere is not a file or folder of the repository`}},
		{"missing folder with capital letters", codeRow("`docs/NOWHERE`"), []string{
			`term "x": code: docs/NOWHERE is not a file or folder of the repository`}},
		{"path outside the repository", codeRow("`../`"), []string{
			`term "x": code: ../ is not a file or folder of the repository`}},
		{"package outside the repository", codeRow("`../docs.Name`"), []string{
			`term "x": code: ../docs.Name is neither a path nor of the form package.Name or package.Type.Member`}},
		{"identifier in a folder at the root", codeRow("`balance.Balancer`"), nil},
		{"declarations of each kind", codeRow(names("Limit", "Unit", "First", "Second", "Queue", "Reader", "Open")), nil},
		{"members of each kind", codeRow(
			names("Queue.Base", "Queue.Mutex", "Queue.Done", "Queue.Push", "Pair.Swap", "Reader.ReadNext")), nil},
		{"undeclared name", codeRow(names("Missing")), []string{
			`term "x": code: package docs/testdata/glossary does not declare Missing`}},
		{"undeclared member", codeRow(names("Queue.Missing")), []string{
			`term "x": code: package docs/testdata/glossary does not declare Queue.Missing`}},
		{"method without its type", codeRow(names("Push")), []string{
			`term "x": code: package docs/testdata/glossary does not declare Push`}},
		{"member of another type", codeRow(names("Reader.Waiting")), []string{
			`term "x": code: package docs/testdata/glossary does not declare Reader.Waiting`}},
		{"name in a test file", codeRow(names("OnlyInTest")), []string{
			`term "x": code: package docs/testdata/glossary does not declare OnlyInTest`}},
		{"missing package", codeRow("`docs/nowhere.Name`"), []string{
			`term "x": code: folder docs/nowhere has no Go files outside tests`}},
		{"package of tests", codeRow("`docs.TestLinks`"), []string{
			`term "x": code: folder docs has no Go files outside tests`}},
		{"name without a package", codeRow("`Name`"), []string{
			`term "x": code: Name is neither a path nor of the form package.Name or package.Type.Member`}},
		{"code without spans", codeRow(""), []string{`term "x": code: no code span`}},
		{"code without backticks", codeRow("`docs/docs_test.go`, docs"), []string{
			"term \"x\": code: \"`docs/docs_test.go`, docs\" has text outside code spans"}},
		{"outside words", mappingRow("`late_value`, `/-/ready`", "`"+sample+"`"), nil},
		{"outside word within a longer word", mappingRow("`worth`, `late_value`", "`"+sample+"`"), []string{
			`term "x": outside word: ` + sample + ` does not contain the word worth`}},
		{"outside word before an underscore", mappingRow("`late`", "`"+sample+"`"), []string{
			`term "x": outside word: ` + sample + ` does not contain the word late`}},
		{"outside word within a longer path", mappingRow("`/-/read`", "`"+sample+"`"), []string{
			`term "x": outside word: ` + sample + ` does not contain the word /-/read`}},
		{"outside word without backticks", mappingRow("late_value", "`"+sample+"`"), []string{
			`term "x": outside word: "late_value" has text outside code spans`}},
		{"outside word without a file", mappingRow("`late_value`", ""), []string{
			`term "x": mapped in: no file for the outside word`}},
		{"missing mapping file", mappingRow("`late_value`", "`docs/nowhere.go`"), []string{
			`term "x": mapped in: docs/nowhere.go is not a file of the repository`}},
		{"missing mapping file without outside word", mappingRow("", "`docs/nowhere.go`"), []string{
			`term "x": mapped in: docs/nowhere.go is not a file of the repository`}},
		{"mapping folder", mappingRow("`late_value`", "`docs`"), []string{
			`term "x": mapped in: docs is not a file of the repository`}},
		{"mapping file outside the repository", mappingRow("", "`/Makefile`"), []string{
			`term "x": mapped in: /Makefile is not a file of the repository`}},
		{"two mapping files", mappingRow("`late_value`", "`"+sample+"`, `docs/docs_test.go`"), []string{
			`term "x": mapped in: 2 files, want one`}},
		{"mapping file without backticks", mappingRow("`late_value`", sample), []string{
			`term "x": mapped in: "` + sample + `" has text outside code spans`}},
		{"repeated term in another table", "\n| term | meaning | code | outside word | mapped in |\n" +
			"|---|:--|--:|:-:|---|\n| Term 3 | m | `docs/docs_test.go` | | |\n", []string{
			`term "Term 3" occurs more than once`}},
		{"empty term", "| | m | `docs/docs_test.go` | | |\n", []string{`term "": the term or the meaning is empty`}},
		{"empty meaning", "| x | | `docs/docs_test.go` | | |\n", []string{`term "x": the term or the meaning is empty`}},
		{"four cells", "| x | m | `docs/docs_test.go` | |\n", []string{
			"row \"| x | m | `docs/docs_test.go` | |\" has 4 cells, want 5"}},
		{"six cells", "| x | m | `docs/docs_test.go` | | | |\n", []string{
			"row \"| x | m | `docs/docs_test.go` | | | |\" has 6 cells, want 5"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := glossaryFindings(t, glossaryPage(minGlossaryTerms)+c.rows); !slices.Equal(got, c.want) {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

// TestGlossaryTooShort checks that a page needs 20 terms, and that headers and repeated terms do not count.
func TestGlossaryTooShort(t *testing.T) {
	want := []string{"19 terms, want at least 20"}
	if got := glossaryFindings(t, glossaryPage(minGlossaryTerms-1)); !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
	want = append([]string{`term "term 1" occurs more than once`}, want...)
	page := glossaryPage(minGlossaryTerms-1) + glossaryPage(1)
	if got := glossaryFindings(t, page); !slices.Equal(got, want) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// glossaryPage returns a page with a table of correct terms, named "term 1" and so on.
func glossaryPage(terms int) string {
	page := "# Glossary\n\nText.\n\n| term | meaning | code | outside word | mapped in |\n|---|---|---|---|---|\n"
	for i := range terms {
		page += fmt.Sprintf("| term %d | meaning | `docs/testdata/glossary.Queue` | | |\n", i+1)
	}
	return page
}

// codeRow returns the row of the term x with the given code cell.
func codeRow(code string) string { return "| x | m | " + code + " | | |\n" }

// mappingRow returns the row of the term x with the given cells for the outside words and the mapping file.
func mappingRow(words, file string) string {
	return "| x | m | `docs/docs_test.go` | " + words + " | " + file + " |\n"
}

// names returns code spans for identifiers of the sample package.
func names(identifiers ...string) string {
	return "`docs/testdata/glossary." + strings.Join(identifiers, "`, `docs/testdata/glossary.") + "`"
}

// glossaryFindings returns the errors in the tables of a glossary page. A row has the cells term, meaning, code, outside
// word and mapped in, which is the file that contains the outside word. Terms are compared without regard to case.
func glossaryFindings(t *testing.T, page string) (findings []string) {
	t.Helper()
	seen := map[string]bool{}
	for line := range strings.SplitSeq(page, "\n") {
		cells := rowCells(line)
		if isHeaderOrSeparator(cells) {
			continue
		}
		if len(cells) != glossaryColumns {
			findings = append(findings, fmt.Sprintf("row %q has %d cells, want %d", line, len(cells), glossaryColumns))
			continue
		}
		term := strings.ToLower(cells[0])
		if seen[term] {
			findings = append(findings, fmt.Sprintf("term %q occurs more than once", cells[0]))
		}
		seen[term] = true
		for _, finding := range rowFindings(t, cells) {
			findings = append(findings, fmt.Sprintf("term %q: %s", cells[0], finding))
		}
	}
	if len(seen) < minGlossaryTerms {
		findings = append(findings, fmt.Sprintf("%d terms, want at least %d", len(seen), minGlossaryTerms))
	}
	return findings
}

// rowCells returns the cells of a row of a Markdown table, empty ones included, and nil for a line outside tables.
func rowCells(line string) (cells []string) {
	row, ok := strings.CutPrefix(strings.TrimSpace(line), "|")
	if !ok {
		return nil
	}
	for cell := range strings.SplitSeq(strings.TrimSuffix(row, "|"), "|") {
		cells = append(cells, strings.TrimSpace(cell))
	}
	return cells
}

// isHeaderOrSeparator reports whether the cells are those of a header or separator row. It is also true for no cells.
func isHeaderOrSeparator(cells []string) bool {
	if len(cells) > 0 && cells[0] == "term" {
		return true
	}
	for _, cell := range cells {
		if !separatorCell.MatchString(cell) {
			return false
		}
	}
	return true
}

// rowFindings returns the errors in the five cells of a row.
func rowFindings(t *testing.T, cells []string) (findings []string) {
	t.Helper()
	if cells[0] == "" || cells[1] == "" {
		findings = append(findings, "the term or the meaning is empty")
	}
	code, err := cellSpans(cells[2])
	if err != nil {
		findings = append(findings, fmt.Sprintf("code: %v", err))
	} else if len(code) == 0 {
		findings = append(findings, "code: no code span")
	}
	for _, span := range code {
		if err := checkCode(span); err != nil {
			findings = append(findings, fmt.Sprintf("code: %v", err))
		}
	}
	return append(findings, mappingFindings(t, cells[3], cells[4])...)
}

// mappingFindings returns the errors in the cells "outside word" and "mapped in" of a row.
func mappingFindings(t *testing.T, wordCell, fileCell string) (findings []string) {
	t.Helper()
	words, err := cellSpans(wordCell)
	if err != nil {
		findings = append(findings, fmt.Sprintf("outside word: %v", err))
	}
	files, err := cellSpans(fileCell)
	switch {
	case err != nil:
		return append(findings, fmt.Sprintf("mapped in: %v", err))
	case len(files) > 1:
		return append(findings, fmt.Sprintf("mapped in: %d files, want one", len(files)))
	case len(files) == 0 && len(words) > 0:
		return append(findings, "mapped in: no file for the outside word")
	case len(files) == 0:
		return findings
	case !isFile(files[0]):
		return append(findings, fmt.Sprintf("mapped in: %s is not a file of the repository", files[0]))
	}
	text := read(t, files[0])
	for _, word := range words {
		if !containsWord(text, word) {
			findings = append(findings, fmt.Sprintf("outside word: %s does not contain the word %s", files[0], word))
		}
	}
	return findings
}

// cellSpans returns the code spans of a cell, without their backticks. Commas, semicolons and "and" can separate them.
// Other text is an error, because it would stay unchecked.
func cellSpans(cell string) (spans []string, err error) {
	if rest := codeSpan.ReplaceAllString(cell, ""); !spanSeparators.MatchString(rest) {
		return nil, fmt.Errorf("%q has text outside code spans", cell)
	}
	for _, m := range codeSpan.FindAllStringSubmatch(cell, -1) {
		spans = append(spans, m[1])
	}
	return spans, nil
}

// checkCode returns an error if a code span names neither an existing file or folder nor a declared Go identifier.
func checkCode(span string) error {
	if isPath(span) {
		if !filepath.IsLocal(span) || !exists(span) {
			return fmt.Errorf("%s is not a file or folder of the repository", span)
		}
		return nil
	}
	m := identifierSpan.FindStringSubmatch(span)
	if m == nil || !filepath.IsLocal(span) {
		return fmt.Errorf("%s is neither a path nor of the form package.Name or package.Type.Member", span)
	}
	declared, err := declarations(m[1])
	if err != nil {
		return err
	}
	if !declared[m[2]] {
		return fmt.Errorf("package %s does not declare %s", m[1], m[2])
	}
	return nil
}

// isPath reports whether a code span is the path of a file or folder. Otherwise it is a Go identifier. In a folder below
// another one, an identifier is recognized by a capital letter after the last dot: internal/loop.Loop, not internal/loop.go.
func isPath(span string) bool {
	switch path.Ext(span) {
	case ".go", ".toml":
		return true
	}
	afterDot := span[strings.LastIndex(span, ".")+1:]
	return strings.Contains(span, "/") && (!strings.Contains(span, ".") || !strings.ContainsFunc(afterDot, unicode.IsUpper))
}

// isFile reports whether a path, relative to the root of the repository, is that of a regular file in the repository.
func isFile(file string) bool {
	info, err := os.Stat(filepath.Join(root, file))
	return err == nil && filepath.IsLocal(file) && info.Mode().IsRegular()
}

// containsWord reports whether a text contains a word that is not part of a longer word.
func containsWord(text, word string) bool {
	return regexp.MustCompile(boundary(word[:1]) + regexp.QuoteMeta(word) + boundary(word[len(word)-1:])).MatchString(text)
}

// boundary returns the regular expression that has to match at one end of a word, given the character at that end. A word
// boundary exists only beside a letter, digit or underscore, so other characters need none.
func boundary(edge string) string {
	if regexp.MustCompile(`\w`).MatchString(edge) {
		return `\b`
	}
	return ""
}
