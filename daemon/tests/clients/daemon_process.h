// One sycamoremoord as a process of its own, seen from outside.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Sycamoremoor
{

/** Starts sycamoremoord and kills it in the end. */
class DaemonProcess
{
public:
    /**
     * @param variables added to the environment
     * @param descriptors how many files the process may open
     */
    DaemonProcess(const std::vector<std::string> &flags, const std::map<std::string, std::string> &variables, std::size_t descriptors);
    ~DaemonProcess();

    DaemonProcess(const DaemonProcess &) = delete;
    DaemonProcess &operator=(const DaemonProcess &) = delete;

    /** Returns whether it still runs. */
    [[nodiscard]] bool isAlive();

    /** Sends SIGTERM and waits. @return the exit status; nothing if the process was ended by a signal, or has not ended within @p limit */
    std::optional<int> stop(std::chrono::seconds limit);

    /** Returns the most memory that was resident since its start, in bytes. */
    [[nodiscard]] std::size_t peakResidentBytes() const;

    [[nodiscard]] std::size_t openDescriptors() const;

private:
    pid_t m_process = -1;
};

} // namespace Sycamoremoor
