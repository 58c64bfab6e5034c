#include "process.h"

#include <cerrno>
#include <csignal>
#include <system_error>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace rhubarbtiller::fleettests {

Process::Process(const std::vector<std::string> &command, const std::filesystem::path &outputFile, const std::filesystem::path &errorFile)
{
    std::vector<char *> arguments;
    arguments.reserve(command.size() + 1);
    for (const auto &word : command) {
        arguments.push_back(const_cast<char *>(word.c_str()));
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    static constexpr int Flags = O_WRONLY | O_CREAT | O_APPEND;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, outputFile.c_str(), Flags, 0600);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, errorFile.c_str(), Flags, 0600);
    // Asio's sockets would be inherited: a connection that a stand-in resets would stay open as long as a process holds a copy of it.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    // In a group of its own, so that the end of a shell above does not send SIGHUP and SIGCONT to a stopped process.
    posix_spawnattr_t attributes;
    posix_spawnattr_init(&attributes);
    posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETPGROUP);
    posix_spawnattr_setpgroup(&attributes, 0);
    const int error = posix_spawn(&this->id, command.front().c_str(), &actions, &attributes, arguments.data(), environ);
    posix_spawnattr_destroy(&attributes);
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        throw std::system_error(error, std::generic_category(), command.front());
    }
}

Process::~Process()
{
    if (!this->exitCode()) {
        this->signal(SIGKILL);
        this->wait();
    }
}

void Process::signal(int number)
{
    if (!this->code) {
        ::kill(this->id, number);
    }
}

std::optional<int> Process::exitCode()
{
    int status = 0;
    if (!this->code && ::waitpid(this->id, &status, WNOHANG) == this->id) {
        this->noteEnd(status);
    }
    return this->code;
}

int Process::wait()
{
    int status = 0;
    while (!this->code) {
        if (::waitpid(this->id, &status, 0) == this->id) {
            this->noteEnd(status);
        }
    }
    return *this->code;
}

void Process::noteEnd(int status)
{
    this->code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
}

} // namespace rhubarbtiller::fleettests
