// The ideal for a load: the same slots with perfect knowledge and no cost.
#include "load_type.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <set>

namespace Sycamoremoor
{

namespace
{

/** A job of the ideal schedule. */
struct IdealJob {
    std::vector<Duration> waiting; ///< run times, shortest first, taken from the back
    Duration workLeft{};           ///< of the tasks that wait
    Duration end{};                ///< of the task that ends last
};

/** Runs a plan on slots by the rule of idealResponses(). */
class IdealSchedule
{
public:
    IdealSchedule(const std::vector<PlannedJob> &plan, std::int64_t slots)
        : m_plan(plan)
        , m_jobs(plan.size())
        , m_freeSlots(slots)
    {
    }

    std::vector<Duration> run()
    {
        for (std::size_t next = 0; next < m_plan.size() || !m_ends.empty();) {
            const auto arrives = next < m_plan.size() && (m_ends.empty() || m_plan[next].at < m_ends.top());
            if (arrives) {
                add(next);
                startTasks(m_plan[next++].at);
                continue;
            }
            const auto now = m_ends.top();
            m_ends.pop();
            ++m_freeSlots;
            startTasks(now);
        }
        std::vector<Duration> responses(m_plan.size());
        for (std::size_t index = 0; index < m_plan.size(); ++index) {
            responses[index] = m_plan[index].impossible ? Duration::zero() : m_jobs[index].end - m_plan[index].at;
        }
        return responses;
    }

private:
    void add(std::size_t index)
    {
        auto &job = m_jobs[index];
        if (m_plan[index].impossible) {
            return;
        }
        for (const auto &task : m_plan[index].tasks) {
            job.waiting.push_back(task.runTime);
            job.workLeft += task.runTime;
        }
        std::sort(job.waiting.begin(), job.waiting.end());
        m_order.emplace(job.workLeft, index);
    }

    void startTasks(Duration now)
    {
        while (m_freeSlots > 0 && !m_order.empty()) {
            const auto index = m_order.begin()->second;
            m_order.erase(m_order.begin());
            auto &job = m_jobs[index];
            const auto runTime = job.waiting.back();
            job.waiting.pop_back();
            job.workLeft -= runTime;
            job.end = std::max(job.end, now + runTime);
            m_ends.push(now + runTime);
            --m_freeSlots;
            if (!job.waiting.empty()) {
                m_order.emplace(job.workLeft, index);
            }
        }
    }

    const std::vector<PlannedJob> &m_plan;
    std::vector<IdealJob> m_jobs;
    std::int64_t m_freeSlots;
    std::set<std::pair<Duration, std::size_t>> m_order; ///< jobs with waiting tasks, least work first
    std::priority_queue<Duration, std::vector<Duration>, std::greater<>> m_ends;
};

} // namespace

std::vector<Duration> idealResponses(const std::vector<PlannedJob> &plan, std::int64_t slots)
{
    return IdealSchedule(plan, slots).run();
}

} // namespace Sycamoremoor
