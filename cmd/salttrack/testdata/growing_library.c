// A library that is loaded into a program and takes memory while the program runs. Its environment variables:
// LIBRARY_DELAY_MS   time between the start and the first part
// LIBRARY_PARTS      number of parts
// LIBRARY_PART_BYTES size of a part
// LIBRARY_PAUSE_MS   time between two parts
// LIBRARY_THP_REPORT file that gets "refused" or "allowed" when the first thread starts: whether the process may get huge pages
#define _GNU_SOURCE
#include <dlfcn.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <unistd.h>

typedef int (*create_function)(pthread_t *, const pthread_attr_t *, void *(*)(void *), void *);

static long number(const char *name) {
	const char *text = getenv(name);
	return text == NULL ? 0 : atol(text);
}

static void *grow(void *unused) {
	usleep(number("LIBRARY_DELAY_MS") * 1000);
	for (long part = 0; part < number("LIBRARY_PARTS"); part++) {
		char *memory = malloc(number("LIBRARY_PART_BYTES"));
		if (memory != NULL) {
			memset(memory, 1, number("LIBRARY_PART_BYTES"));
		}
		usleep(number("LIBRARY_PAUSE_MS") * 1000);
	}
	return unused;
}

static create_function original_create(void) {
	return (create_function)dlsym(RTLD_NEXT, "pthread_create");
}

int pthread_create(pthread_t *thread, const pthread_attr_t *attributes, void *(*start)(void *), void *argument) {
	static int reported;
	const char *report = getenv("LIBRARY_THP_REPORT");
	if (!reported && report != NULL) {
		reported = 1;
		FILE *file = fopen(report, "w");
		if (file != NULL) {
			fputs(prctl(PR_GET_THP_DISABLE, 0, 0, 0, 0) == 1 ? "refused" : "allowed", file);
			fclose(file);
		}
	}
	return original_create()(thread, attributes, start, argument);
}

__attribute__((constructor)) static void start(void) {
	if (number("LIBRARY_PARTS") > 0) {
		pthread_t thread;
		original_create()(&thread, NULL, grow, NULL);
	}
}
