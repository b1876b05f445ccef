// One sycamoremoord as a process of its own, seen from outside.
#include "daemon_process.h"

#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <thread>

namespace Sycamoremoor
{

namespace
{

constexpr std::size_t BytesPerKilobyte = 1'024;
constexpr int ExecFailed = 127;

std::string programPath()
{
    const char *directory = std::getenv("SYCAMOREMOOR_BIN_DIR"); // NOLINT(concurrency-mt-unsafe): nothing sets variables
    return std::string(directory == nullptr ? "build/bin" : directory) + "/sycamoremoord";
}

std::vector<char *> pointersTo(std::vector<std::string> &texts)
{
    std::vector<char *> pointers;
    pointers.reserve(texts.size() + 1);
    for (auto &text : texts) {
        pointers.push_back(text.data());
    }
    pointers.push_back(nullptr);
    return pointers;
}

} // namespace

DaemonProcess::DaemonProcess(const std::vector<std::string> &flags,
                             const std::map<std::string, std::string> &variables,
                             std::size_t descriptors)
{
    std::vector<std::string> arguments{programPath()};
    arguments.insert(arguments.end(), flags.begin(), flags.end());
    std::vector<std::string> environment;
    for (char **variable = environ; *variable != nullptr; ++variable) {
        environment.emplace_back(*variable);
    }
    for (const auto &[name, value] : variables) {
        environment.emplace_back(name).append("=").append(value);
    }
    const auto argumentPointers = pointersTo(arguments);
    const auto environmentPointers = pointersTo(environment);
    const rlimit limit{descriptors, descriptors};
    m_process = fork();
    if (m_process < 0) {
        throw std::runtime_error("cannot start a process");
    }
    if (m_process == 0) { // only calls that are safe beside other threads
        setrlimit(RLIMIT_NOFILE, &limit);
        execve(argumentPointers.front(), argumentPointers.data(), environmentPointers.data());
        _exit(ExecFailed);
    }
}

DaemonProcess::~DaemonProcess()
{
    if (m_process > 0) {
        kill(m_process, SIGKILL);
        waitpid(m_process, nullptr, 0);
    }
}

bool DaemonProcess::isAlive()
{
    if (m_process > 0 && waitpid(m_process, nullptr, WNOHANG) != 0) {
        m_process = -1;
    }
    return m_process > 0;
}

std::optional<int> DaemonProcess::stop(std::chrono::seconds limit)
{
    kill(m_process, SIGTERM);
    const auto end = std::chrono::steady_clock::now() + limit;
    int status = 0;
    while (waitpid(m_process, &status, WNOHANG) == 0) {
        if (std::chrono::steady_clock::now() > end) {
            return std::nullopt;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    m_process = -1;
    return WIFEXITED(status) ? std::optional(WEXITSTATUS(status)) : std::nullopt;
}

std::size_t DaemonProcess::peakResidentBytes() const
{
    std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
    std::string word;
    std::size_t kilobytes = 0;
    while (status >> word) {
        if (word == "VmHWM:" && status >> kilobytes) {
            return kilobytes * BytesPerKilobyte;
        }
    }
    throw std::runtime_error("the process has no VmHWM");
}

std::size_t DaemonProcess::openDescriptors() const
{
    const std::filesystem::directory_iterator files("/proc/" + std::to_string(m_process) + "/fd");
    return static_cast<std::size_t>(std::distance(begin(files), end(files)));
}

} // namespace Sycamoremoor
