// Messages between schedulers and guards.
#pragma once

#include <sycamoremoor/core/queue_job_type.h>

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace Sycamoremoor
{

using BatchNumber = StrongType<struct BatchNumberTag, std::uint64_t>; ///< numbers the batches of one scheduler from 1

/** How soon a run is needed. Of runs that wait for room the lesser goes first. */
struct Urgency {
    bool isOrdinary = true; ///< false: its queue goes before all others
    Duration slack{};       ///< time until it must begin to be on time; negative when that has passed

    friend auto operator<=>(const Urgency &, const Urgency &) = default;
};

/** One run that a guard is to start. */
struct RunOrder {
    RunId run;
    TaskSize size;
    Urgency urgency;        ///< at its sending
    Duration startWithin{}; ///< from its receipt; not started later
    Duration runLimit{};    ///< a run that is not over by then hangs, and is stopped

    friend bool operator==(const RunOrder &, const RunOrder &) = default;
};

/** Scheduler to guard: start runs of one job. The runs live as long as the exchange that brought them. */
struct StartBatch {
    EntryName scheduler;
    BatchNumber batch;
    std::string payload; ///< of the job
    std::vector<RunOrder> orders;

    friend bool operator==(const StartBatch &, const StartBatch &) = default;
};

/** Guard to scheduler: a run of the batch ended, or will never start. */
struct RunReport {
    std::uint32_t order = 0; ///< position in the batch
    RunOutcome outcome = RunOutcome::NotStarted;
    Duration runTime{};                ///< from the answer to its start to its end, zero if it did not start
    ErrorKind error = ErrorKind::None; ///< reason of NotStarted and Stopped

    friend bool operator==(const RunReport &, const RunReport &) = default;
};

/** Guard to schedulers: what its upstream has free. */
struct CapacityReport {
    Incarnation incarnation; ///< life of the guard
    bool accepting = false;  ///< false while the upstream leaves, is silent or unknown
    ServiceName service;
    TaskSize capacity = {MilliCores(0), Megabytes(0), Accelerators(0)};
    TaskSize free = {MilliCores(0), Megabytes(0), Accelerators(0)}; ///< negative while runs wait for room
    std::uint32_t waiting = 0;                                      ///< runs that wait for room
    std::vector<std::string> labels;                                ///< of the upstream's machine, its rack among them
    BatchNumber lastCountedBatch;                                   ///< highest batch of the receiving scheduler that is counted in @c free

    friend bool operator==(const CapacityReport &, const CapacityReport &) = default;
};

/** What a guard publishes of itself, so that schedulers find it. */
struct AgentRecord {
    AgentName agent;
    Endpoint endpoint;
    ZoneName zone;

    friend bool operator==(const AgentRecord &, const AgentRecord &) = default;
};

} // namespace Sycamoremoor
