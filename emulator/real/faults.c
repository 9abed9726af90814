/* Makes system calls of one process fail with errors that Linux documents, and steps its wall clock.
 *
 * The shim is preloaded into a gateway under test. It maps the file named by FAULTS_FILE: an array of 64-bit
 * integers in the order of `enum field`, which emulator/real/faults.py writes while the process runs. Only TCP
 * sockets are affected. A field that is 0 disables its fault. */

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

static volatile int64_t no_faults[FIELDS];
static volatile int64_t *control = no_faults;
static uint64_t random_state = 88172645463325252ULL;

/* Maps the control file when the library is loaded. */
__attribute__((constructor)) static void map_control(void) {
    prctl(PR_SET_PDEATHSIG, SIGKILL); /* processes started by a test end with the test */
    const char *path = getenv("FAULTS_FILE");
    int file = path ? open(path, O_RDWR | O_CLOEXEC) : -1;
    if (file < 0)
        return;
    void *mapped = mmap(NULL, FIELDS * sizeof(int64_t), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    if (mapped != MAP_FAILED)
        control = mapped;
    close(file);
}

/* Returns true for one call in `every` on average; for each call if `every` is 1, for none if it is 0. */
static int is_selected(int64_t every) {
    random_state ^= random_state << 13;
    random_state ^= random_state >> 7;
    random_state ^= random_state << 17;
    return every > 0 && random_state % (uint64_t)every == 0;
}

/* Returns true and sets errno if this call must fail; counts such calls in the field `count`. */
static int inject_error(enum field error, enum field every, enum field count) {
    int error_number = (int)control[error];
    if (!error_number || !is_selected(control[every]))
        return 0;
    control[count]++;
    errno = error_number;
    return 1;
}

/* Returns true and sets errno to EINTR if this call must be interrupted. */
static int inject_interrupt(void) {
    if (!is_selected(control[INTERRUPT_EVERY]))
        return 0;
    control[INTERRUPTED]++;
    errno = EINTR;
    return 1;
}

/* Returns true for an IPv4 socket, without changing errno. */
static int is_ipv4_socket(int descriptor) {
    int domain = 0;
    socklen_t size = sizeof domain;
    int saved = errno;
    int known = getsockopt(descriptor, SOL_SOCKET, SO_DOMAIN, &domain, &size) == 0;
    errno = saved;
    return known && domain == AF_INET;
}

/* Sleeps for HOLD_NS in one call in HOLD_EVERY. */
static void delay_write(void) {
    if (!is_selected(control[HOLD_EVERY]))
        return;
    control[HELD]++;
    struct timespec delay = {control[HOLD_NS] / 1000000000, control[HOLD_NS] % 1000000000};
    nanosleep(&delay, NULL);
}

/* Declares `real`, a pointer to the function that this library replaces. */
#define REAL(name) \
    static __typeof__(&name) real; \
    if (!real) real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

int accept4(int listener, struct sockaddr *address, socklen_t *size, int flags) {
    REAL(accept4);
    if (inject_error(ACCEPT_ERRNO, ACCEPT_EVERY, ACCEPT_FAILED) || inject_interrupt())
        return -1;
    return real(listener, address, size, flags);
}

int accept(int listener, struct sockaddr *address, socklen_t *size) {
    REAL(accept);
    if (inject_error(ACCEPT_ERRNO, ACCEPT_EVERY, ACCEPT_FAILED) || inject_interrupt())
        return -1;
    return real(listener, address, size);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t size) {
    REAL(connect);
    if (address->sa_family == AF_INET && inject_error(CONNECT_ERRNO, CONNECT_EVERY, CONNECT_FAILED))
        return -1;
    return real(descriptor, address, size);
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    if (domain == AF_INET && inject_error(SOCKET_ERRNO, SOCKET_EVERY, SOCKET_FAILED))
        return -1;
    return real(domain, type, protocol);
}

ssize_t read(int descriptor, void *buffer, size_t size) {
    REAL(read);
    if ((control[READ_CAP] || control[INTERRUPT_EVERY]) && is_ipv4_socket(descriptor)) {
        if (inject_interrupt())
            return -1;
        if (control[READ_CAP] && size > (size_t)control[READ_CAP])
            size = (size_t)control[READ_CAP];
    }
    return real(descriptor, buffer, size);
}

ssize_t write(int descriptor, const void *buffer, size_t size) {
    REAL(write);
    if ((control[WRITE_CAP] || control[HOLD_EVERY] || control[INTERRUPT_EVERY]) && is_ipv4_socket(descriptor)) {
        delay_write();
        if (inject_interrupt())
            return -1;
        if (control[WRITE_CAP] && size > (size_t)control[WRITE_CAP])
            size = (size_t)control[WRITE_CAP];
    }
    return real(descriptor, buffer, size);
}

ssize_t writev(int descriptor, const struct iovec *parts, int count) {
    REAL(writev);
    if ((control[WRITE_CAP] || control[HOLD_EVERY] || control[INTERRUPT_EVERY]) && is_ipv4_socket(descriptor)) {
        delay_write();
        if (inject_interrupt())
            return -1;
        if (control[WRITE_CAP])
            return write(descriptor, parts[0].iov_base, parts[0].iov_len);
    }
    return real(descriptor, parts, count);
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    REAL(clock_gettime);
    int result = real(clock, time);
    if (result == 0 && clock == CLOCK_REALTIME && control[WALL_OFFSET_NS]) {
        int64_t now = (int64_t)time->tv_sec * 1000000000 + time->tv_nsec + control[WALL_OFFSET_NS];
        time->tv_sec = now / 1000000000;
        time->tv_nsec = now % 1000000000;
    }
    return result;
}
