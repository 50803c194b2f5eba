package main

import (
	"os"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// mapping is a range of addresses of this process, as /proc/self/smaps describes it.
type mapping struct {
	start, end  uint64
	permissions string
	path        string // "" if it is not a mapping of a file
	dirty       bool   // pages were changed, so that they differ from those of the file
}

// pathField is the index of the path in the line of a mapping.
const pathField = 5

// releaseLibraryPages unmaps the resident pages of the code of shared libraries. A page that is used again is mapped again from the
// kernel's cache of the file. Pages of the C library that only the start of a program uses are an eighth of the least memory limit.
func releaseLibraryPages() {
	text, err := os.ReadFile("/proc/self/smaps")
	if err != nil {
		return
	}
	program, _ := os.Executable()
	for _, m := range parseMappings(string(text)) {
		if m.permissions == "r-xp" && strings.HasPrefix(m.path, "/") && m.path != program && !m.dirty {
			_, _, _ = unix.Syscall(unix.SYS_MADVISE, uintptr(m.start), uintptr(m.end-m.start), unix.MADV_DONTNEED)
		}
	}
}

// parseMappings parses the text of /proc/self/smaps. Each mapping has a line with its addresses, followed by lines "Field: n kB".
func parseMappings(text string) []mapping {
	var mappings []mapping
	for line := range strings.Lines(text) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		if field, isField := strings.CutSuffix(fields[0], ":"); isField {
			if last := len(mappings) - 1; last >= 0 && strings.HasSuffix(field, "_Dirty") && fields[1] != "0" {
				mappings[last].dirty = true
			}
			continue
		}
		m := mapping{permissions: fields[1]}
		start, end, _ := strings.Cut(fields[0], "-")
		m.start, _ = strconv.ParseUint(start, 16, 64)
		m.end, _ = strconv.ParseUint(end, 16, 64)
		if len(fields) > pathField {
			m.path = fields[pathField]
		}
		mappings = append(mappings, m)
	}
	return mappings
}
