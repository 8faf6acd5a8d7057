/*
 * Shifts the time of day of one process, for trials of hosts whose time of day steps.
 *
 * CLOCK_OFFSET_FILE names a file that holds the offset in milliseconds as a 64-bit integer, and may be rewritten at any
 * time. The last offset that a reading met is written to the same name with ".met" behind it. Other clocks are unchanged.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define NANOS_PER_SECOND 1000000000LL
#define NANOS_PER_MILLI 1000000LL
#define NANOS_PER_MICRO 1000LL

typedef int (*clock_reader)(clockid_t, struct timespec *);

static int offset_file = -1;
static int met_file = -1;
static int64_t met_millis;

__attribute__((constructor)) static void open_files(void) {
    const char *name = getenv("CLOCK_OFFSET_FILE");
    if (name == NULL) return;
    char met_name[4096];
    snprintf(met_name, sizeof met_name, "%s.met", name);
    offset_file = open(name, O_RDONLY | O_CREAT | O_CLOEXEC, 0644);
    met_file = open(met_name, O_WRONLY | O_CREAT | O_CLOEXEC, 0644);
}

static int64_t offset_millis(void) {
    int64_t millis = 0;
    if (offset_file < 0 || pread(offset_file, &millis, sizeof millis, 0) != sizeof millis) return 0;
    if (millis != met_millis) {
        met_millis = millis;
        if (pwrite(met_file, &millis, sizeof millis, 0) != sizeof millis) abort();
    }
    return millis;
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    static clock_reader next;
    if (next == NULL) next = (clock_reader) dlsym(RTLD_NEXT, "clock_gettime");
    int result = next(clock, time);
    if (result != 0 || (clock != CLOCK_REALTIME && clock != CLOCK_REALTIME_COARSE)) return result;
    int64_t nanos = time->tv_sec * NANOS_PER_SECOND + time->tv_nsec + offset_millis() * NANOS_PER_MILLI;
    time->tv_sec = nanos / NANOS_PER_SECOND;
    time->tv_nsec = nanos % NANOS_PER_SECOND;
    return 0;
}

int gettimeofday(struct timeval *restrict time, void *restrict zone) {
    (void) zone;
    struct timespec now;
    int result = clock_gettime(CLOCK_REALTIME, &now);
    time->tv_sec = now.tv_sec;
    time->tv_usec = now.tv_nsec / NANOS_PER_MICRO;
    return result;
}

time_t time(time_t *result) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (result != NULL) *result = now.tv_sec;
    return now.tv_sec;
}
