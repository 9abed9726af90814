/* Makes system calls of one process fail as Linux documents, and steps its wall clock.
 *
 * Preloaded into a gateway under test. It maps the file that FAULTS_FILE names: an array of 64-bit numbers in
 * the order of `enum field`, which emulator/real/faults.py writes while the process runs. Only TCP sockets are
 * touched; a field that is 0 leaves its call alone. */

#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum field {
    ACCEPT_ERRNO, ACCEPT_EVERY, ACCEPT_FAILED,
    CONNECT_ERRNO, CONNECT_EVERY, CONNECT_FAILED,
    SOCKET_ERRNO, SOCKET_EVERY, SOCKET_FAILED,
    WALL_OFFSET_NS,
    WRITE_CAP, READ_CAP,
    HOLD_NS, HOLD_EVERY, HELD,
    INTERRUPT_EVERY, INTERRUPTED,
    FIELDS
};

static volatile int64_t none[FIELDS];
static volatile int64_t *control = none;
static uint64_t draw_state = 88172645463325252ULL;

__attribute__((constructor)) static void map_control(void) {
    prctl(PR_SET_PDEATHSIG, SIGKILL); /* nothing that a test starts outlives it */
    const char *path = getenv("FAULTS_FILE");
    int file = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (file < 0)
        return;
    void *mapped = mmap(NULL, FIELDS * sizeof(int64_t), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    if (mapped != MAP_FAILED)
        control = mapped;
    close(file);
}

/* True once in `every` calls on average; always where that is 1. */
static int drawn(int64_t every) {
    draw_state ^= draw_state << 13;
    draw_state ^= draw_state >> 7;
    draw_state ^= draw_state << 17;
    return every > 0 && draw_state % (uint64_t)every == 0;
}

static int fails(enum field wanted, enum field every, enum field count) {
    int number = (int)control[wanted];
    if (!number || !drawn(control[every]))
        return 0;
    control[count]++;
    errno = number;
    return 1;
}

static int interrupted(void) {
    if (!drawn(control[INTERRUPT_EVERY]))
        return 0;
    control[INTERRUPTED]++;
    errno = EINTR;
    return 1;
}

static int is_tcp(int descriptor) {
    int domain = 0;
    socklen_t size = sizeof domain;
    int saved = errno;
    int known = getsockopt(descriptor, SOL_SOCKET, SO_DOMAIN, &domain, &size) == 0;
    errno = saved;
    return known && domain == AF_INET;
}

static void hold(void) {
    if (!drawn(control[HOLD_EVERY]))
        return;
    control[HELD]++;
    struct timespec span = {control[HOLD_NS] / 1000000000, control[HOLD_NS] % 1000000000};
    nanosleep(&span, NULL);
}

#define REAL(name) \
    static __typeof__(&name) real; \
    if (!real) real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

int accept4(int listener, struct sockaddr *address, socklen_t *size, int flags) {
    REAL(accept4);
    if (fails(ACCEPT_ERRNO, ACCEPT_EVERY, ACCEPT_FAILED) || interrupted())
        return -1;
    return real(listener, address, size, flags);
}

int accept(int listener, struct sockaddr *address, socklen_t *size) {
    REAL(accept);
    if (fails(ACCEPT_ERRNO, ACCEPT_EVERY, ACCEPT_FAILED) || interrupted())
        return -1;
    return real(listener, address, size);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t size) {
    REAL(connect);
    if (address->sa_family == AF_INET && fails(CONNECT_ERRNO, CONNECT_EVERY, CONNECT_FAILED))
        return -1;
    return real(descriptor, address, size);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    if (domain == AF_INET && fails(SOCKET_ERRNO, SOCKET_EVERY, SOCKET_FAILED))
        return -1;
    return real(domain, type, protocol);
}

ssize_t read(int descriptor, void *buffer, size_t size) {
    REAL(read);
    if ((control[READ_CAP] || control[INTERRUPT_EVERY]) && is_tcp(descriptor)) {
        if (interrupted())
            return -1;
        if (control[READ_CAP] && size > (size_t)control[READ_CAP])
            size = (size_t)control[READ_CAP];
    }
    return real(descriptor, buffer, size);
}

ssize_t write(int descriptor, const void *buffer, size_t size) {
    REAL(write);
    if ((control[WRITE_CAP] || control[HOLD_EVERY] || control[INTERRUPT_EVERY]) && is_tcp(descriptor)) {
        hold();
        if (interrupted())
            return -1;
        if (control[WRITE_CAP] && size > (size_t)control[WRITE_CAP])
            size = (size_t)control[WRITE_CAP];
    }
    return real(descriptor, buffer, size);
}

ssize_t writev(int descriptor, const struct iovec *parts, int count) {
    REAL(writev);
    if ((control[WRITE_CAP] || control[HOLD_EVERY] || control[INTERRUPT_EVERY]) && is_tcp(descriptor)) {
        hold();
        if (interrupted())
            return -1;
        if (control[WRITE_CAP])
            return write(descriptor, parts[0].iov_base, parts[0].iov_len);
    }
    return real(descriptor, parts, count);
}

int clock_gettime(clockid_t clock, struct timespec *told) {
    REAL(clock_gettime);
    int result = real(clock, told);
    if (result == 0 && clock == CLOCK_REALTIME && control[WALL_OFFSET_NS]) {
        int64_t now = (int64_t)told->tv_sec * 1000000000 + told->tv_nsec + control[WALL_OFFSET_NS];
        told->tv_sec = now / 1000000000;
        told->tv_nsec = now % 1000000000;
    }
    return result;
}
