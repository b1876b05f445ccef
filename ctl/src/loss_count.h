// How many jobs ended how, from the logs of schedulers.
#pragma once

#include "loss_type.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Sycamoremoor
{

/** Counts the jobs that log lines tell of, by queue. */
class LossCount
{
public:
    using Fates = std::array<std::uint64_t, JobFates>;

    /** Counts the job of a line; text before the JSON object is passed over, and so is a line that tells of no job. */
    void add(std::string_view line);

    /** Returns the counts by queue; jobs of a line without a queue are under an empty name. */
    [[nodiscard]] const std::map<std::string, Fates> &byQueue() const;

    /** Returns how many lines the logs say they left out: jobs among them are not counted. */
    [[nodiscard]] std::uint64_t leftOut() const;

private:
    std::map<std::string, Fates> m_byQueue;
    std::uint64_t m_leftOut = 0;
};

} // namespace Sycamoremoor
