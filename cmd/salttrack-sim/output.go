package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
)

// standardOutput is the path in a flag that selects standard output instead of a file.
const standardOutput = "-"

// outputMode is the permission of the files that commands write.
const outputMode = 0o644

// writeJSON writes a value as JSON to the file at path, or to output if path is standardOutput.
// It writes nothing if path is empty.
func writeJSON(output io.Writer, path string, value any) error {
	if path == "" {
		return nil
	}
	text, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return err
	}
	text = append(text, '\n')
	if path == standardOutput {
		_, err = output.Write(text)
		return err
	}
	return os.WriteFile(path, text, outputMode)
}

// progress shows a status line on standard error, which each call of show overwrites.
// If standard error is not a terminal, progress writes nothing.
type progress struct{ terminal bool }

func newProgress() *progress {
	info, err := os.Stderr.Stat()
	return &progress{terminal: err == nil && info.Mode()&os.ModeCharDevice != 0}
}

// clearLine is the terminal control sequence that moves the cursor to the start of the line and clears the line.
const clearLine = "\r\x1b[K"

func (p *progress) show(format string, args ...any) {
	if p.terminal {
		fmt.Fprintf(os.Stderr, clearLine+format, args...)
	}
}

func (p *progress) clear() {
	if p.terminal {
		fmt.Fprint(os.Stderr, clearLine)
	}
}
