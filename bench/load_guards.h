// Stand-in guards with simulated runs, for load on a scheduler.
#pragma once

#include <sycamoremoor/core/guard_input_type.h>
#include <sycamoremoor/core/guard_message_type.h>
#include <sycamoremoor/core/guard_output_type.h>
#include <sycamoremoor/net/timer.h>

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace Sycamoremoor
{

class EventLoop;

/** Guards on one event loop. Their capacity is also used by tasks of other schedulers, which are simulated without messages. */
class LoadGuards
{
public:
    /** @param otherTasksPerSecond tasks of other schedulers on all guards together */
    LoadGuards(EventLoop &loop, std::uint32_t count, double otherTasksPerSecond);
    ~LoadGuards();

    /** Returns where each guard listens. */
    [[nodiscard]] std::map<AgentName, AgentRecord> records() const;

private:
    struct Guard;

    void advance();
    void take(Guard &guard, const BatchReceived &input);
    void startWaiting(Guard &guard);
    void endDue(Guard &guard);
    void startOthers(Guard &guard);
    void reportCapacity(Guard &guard);

    std::vector<std::unique_ptr<Guard>> m_guards;
    double m_otherTasksPerSecond;
    std::mt19937_64 m_random{7};
    Timer m_timer;
};

} // namespace Sycamoremoor
