package faultinject

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"testing"
)

// TestScheduleError checks that the error of an invalid schedule has the file and the path of the invalid value.
func TestScheduleError(t *testing.T) {
	for _, tt := range []struct{ name, text, path string }{
		{"invalid JSON", `{`, ""},
		{"unknown key", `{"rule": []}`, ""},
		{"unknown system call", `{"rules": [{"call": "open", "errno": "EIO"}]}`, "rules[0].call"},
		{"unknown errno name of a system call", `{"rules": [{"call": "read", "errno": "EWRONG"}]}`, "rules[0].errno"},
		{"unknown errno name of a file operation", `{"files": [{"call": "file_sync"}, {"call": "file_sync", "errno": "EWRONG"}]}`, "files[1].errno"},
	} {
		file := filepath.Join(t.TempDir(), "schedule.json")
		if err := os.WriteFile(file, []byte(tt.text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := LoadFileRules(file)
		var invalid *ScheduleError
		if !errors.As(err, &invalid) || invalid.File != file || invalid.Path != tt.path {
			t.Errorf("%s: error %v, want a *ScheduleError with path %q", tt.name, err, tt.path)
		}
	}
}

// TestMissingSchedule checks that Load returns the error of the file system if a schedule can't be read.
func TestMissingSchedule(t *testing.T) {
	if _, err := Load("/nowhere/schedule.json", nil); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("error %v, want %v", err, fs.ErrNotExist)
	}
}
