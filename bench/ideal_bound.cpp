// Pooled server with the shortest remaining work first.
#include "ideal_bound.h"

#include <algorithm>
#include <queue>
#include <utility>

namespace Sycamoremoor
{

namespace
{

/** Remaining time on the pooled server in microseconds, and the job. */
using Remaining = std::pair<double, std::size_t>;

} // namespace

std::vector<Duration> idealResponses(const std::vector<WorkloadJob> &jobs, std::int64_t slots)
{
    std::vector<Duration> responses(jobs.size());
    std::priority_queue<Remaining, std::vector<Remaining>, std::greater<>> active;
    double now = 0;
    std::size_t next = 0;
    const auto arrivalOf = [&jobs](std::size_t job) {
        return static_cast<double>((jobs[job].arrival - jobs.front().arrival).count());
    };
    while (next < jobs.size() || !active.empty()) {
        if (active.empty()) {
            now = std::max(now, arrivalOf(next));
        }
        for (; next < jobs.size() && arrivalOf(next) <= now; ++next) {
            active.emplace(static_cast<double>(jobs[next].work().count()) / static_cast<double>(slots), next);
        }
        auto [left, job] = active.top();
        active.pop();
        if (next < jobs.size() && now + left > arrivalOf(next)) {
            active.emplace(left - (arrivalOf(next) - now), job);
            now = arrivalOf(next);
            continue;
        }
        now += left;
        responses[job] = std::max(jobs[job].longest(), Duration(static_cast<std::int64_t>(now - arrivalOf(job))));
    }
    return responses;
}

} // namespace Sycamoremoor
