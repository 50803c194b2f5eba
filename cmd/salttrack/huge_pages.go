//go:build cgo

package main

/*
#include <sys/prctl.h>

// Runs before the Go runtime starts its threads and sets up its heap.
__attribute__((constructor)) static void refuse_huge_pages(void) {
	prctl(PR_SET_THP_DISABLE, 1, 0, 0, 0);
}
*/
import "C"
