// Runs a command without a network and without root powers: offline USER_ID COMMAND [ARGUMENT...]

#include <linux/audit.h>
#include <linux/filter.h>
#include <linux/seccomp.h>

#include <grp.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cstddef>
#include <cstdio>
#include <cstring>
#include <string_view>

static constexpr int SetupFailed = 125;

/// System calls of another architecture have other numbers.
#if defined(__x86_64__)
static constexpr unsigned NativeArchitecture = AUDIT_ARCH_X86_64;
#elif defined(__aarch64__)
static constexpr unsigned NativeArchitecture = AUDIT_ARCH_AARCH64;
#else
#error "the architecture has no entry here"
#endif

/// The argument of a system call that names the address family of a new socket.
static constexpr auto FamilyOffset = offsetof(seccomp_data, args);

static int failed(const char *step)
{
    std::fprintf(stderr, "%s: %s\n", step, std::strerror(errno));
    return SetupFailed;
}

/// Gives up root for good; a process without root keeps the user that it has.
static bool dropRoot(uid_t user)
{
    if (geteuid() != 0) {
        return true;
    }
    return setgroups(0, nullptr) == 0 && setresgid(user, user, user) == 0 && setresuid(user, user, user) == 0;
}

/// Refuses each new socket but local ones, for this process and those that it starts.
static bool refuseSockets()
{
    sock_filter program[] = {
        BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(seccomp_data, arch)),
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, NativeArchitecture, 1, 0),
        BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_KILL_PROCESS),
        BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(seccomp_data, nr)),
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, __NR_socket, 0, 3),
        BPF_STMT(BPF_LD | BPF_W | BPF_ABS, FamilyOffset),
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, AF_UNIX, 1, 0),
        BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ERRNO | EACCES),
        BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW),
    };
    const sock_fprog filter{sizeof(program) / sizeof(program[0]), program};
    return prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0) == 0 && prctl(PR_SET_SECCOMP, SECCOMP_MODE_FILTER, &filter) == 0;
}

int main(int argc, char **argv)
{
    uid_t user = 0;
    if (argc < 3) {
        std::fprintf(stderr, "usage: offline USER_ID COMMAND [ARGUMENT...]\n");
        return SetupFailed;
    }
    const std::string_view text = argv[1];
    if (const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), user);
        error != std::errc() || end != text.data() + text.size() || user == 0) {
        std::fprintf(stderr, "%s is not the id of a user without root powers\n", argv[1]);
        return SetupFailed;
    }
    if (!dropRoot(user)) {
        return failed("the change of the user");
    }
    if (!refuseSockets()) {
        return failed("the filter of sockets");
    }
    execvp(argv[2], argv + 2);
    return failed(argv[2]);
}
