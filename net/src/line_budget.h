// Bounds how many log lines a process writes in a second.
#pragma once

#include <sycamoremoor/core/time_type.h>

#include <cstdint>
#include <utility>

namespace Sycamoremoor
{

/** Lets a number of lines of each second through and counts the others. */
class LineBudget
{
public:
    explicit LineBudget(std::uint32_t linesPerSecond)
        : m_linesPerSecond(linesPerSecond)
    {
    }

    /** Asks for one line. @return whether it may be written */
    bool take(MonotonicTime now)
    {
        if (now >= m_second + std::chrono::seconds(1)) {
            m_second = now;
            m_taken = 0;
        }
        if (m_taken < m_linesPerSecond) {
            ++m_taken;
            return true;
        }
        ++m_leftOut;
        return false;
    }

    /** Returns how many lines were not let through since the last call, once lines are let through again. */
    std::uint64_t takeLeftOut()
    {
        const auto leftOut = m_taken < m_linesPerSecond ? m_leftOut : 0;
        m_leftOut -= leftOut;
        return leftOut;
    }

    /** Returns how many lines were not let through since the last call. */
    std::uint64_t takeSkipped()
    {
        return std::exchange(m_leftOut, 0);
    }

private:
    std::uint32_t m_linesPerSecond;
    std::uint32_t m_taken = 0;
    std::uint64_t m_leftOut = 0;
    MonotonicTime m_second{};
};

} // namespace Sycamoremoor
