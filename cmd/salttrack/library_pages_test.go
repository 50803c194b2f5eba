package main

import (
	"reflect"
	"testing"
)

// Pages of a library that were changed in memory must not be unmapped: their changes would be lost.
func TestChangedMappingsAreDirty(t *testing.T) {
	text := `ffff0000-ffff2000 r-xp 00000000 fe:00 12 /usr/lib/libc.so.6
Size:                  8 kB
Shared_Dirty:          0 kB
Private_Dirty:         0 kB
VmFlags: rd ex mr mw me
ffff2000-ffff3000 r-xp 00002000 fe:00 13 /usr/lib/patched.so
Private_Dirty:         4 kB
ffff3000-ffff4000 rw-p 00000000 00:00 0
Private_Dirty:         4 kB
`
	want := []mapping{
		{start: 0xffff0000, end: 0xffff2000, permissions: "r-xp", path: "/usr/lib/libc.so.6"},
		{start: 0xffff2000, end: 0xffff3000, permissions: "r-xp", path: "/usr/lib/patched.so", dirty: true},
		{start: 0xffff3000, end: 0xffff4000, permissions: "rw-p", dirty: true},
	}
	if got := parseMappings(text); !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}
