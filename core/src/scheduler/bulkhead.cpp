// Queues whose tasks crash their upstreams, and the share of the workers that they are confined to.
#include "bulkhead.h"

#include "crash_causes.h"

#include <algorithm>
#include <cmath>
#include <functional>

namespace Sycamoremoor
{

namespace
{

constexpr Duration EvidenceTime = std::chrono::seconds(5);
constexpr std::size_t MaxCrashes = 32; ///< that are weighed
constexpr double GainToConfine = 3;    ///< in the logarithm of the likelihood: odds of twenty to one
constexpr double BearableShare = 0.08; ///< of the workers that may crash for a queue within the evidence time
constexpr double LeastCrashes = 2;
constexpr double WorkerShare = 1.0 / 3;                   ///< of all workers: with more, the other queues would miss them
constexpr Duration ReleaseTime = std::chrono::seconds(5); ///< without a crash under runs of the queue
constexpr Duration UpdateInterval = std::chrono::seconds(1);
constexpr std::size_t LeastWorkers = 3; ///< with fewer there is nothing to separate
constexpr double Thousandths = 1'000;
constexpr double RatioOfAbsent = 0.01; ///< of a queue that had no runs at the upstream recently

} // namespace

void Bulkhead::record(MonotonicTime now, const CrashKey &key, const CrashNotice &notice)
{
    Evidence evidence;
    for (const auto &queue : notice.queues) {
        evidence.emplace(queue.queue, queue);
    }
    m_crashes.push_back({now, key, std::move(evidence)});
    if (m_crashes.size() > MaxCrashes) {
        m_crashes.pop_front();
    }
    m_nextUpdate = now;
}

void Bulkhead::remove(MonotonicTime now, const CrashKey &crash)
{
    if (std::erase_if(m_crashes, [&](const Crash &known) { return known.key == crash; }) > 0) {
        m_nextUpdate = now;
    }
}

std::set<QueueName> Bulkhead::queues() const
{
    std::set<QueueName> queues;
    for (const auto &crash : m_crashes) {
        for (const auto &[queue, found] : crash.evidence) {
            queues.insert(queue);
        }
    }
    return queues;
}

std::vector<QueueName> Bulkhead::guilty(std::size_t workers) const
{
    const auto known = queues();
    const std::vector<QueueName> names(known.begin(), known.end());
    std::vector<CrashLikelihoods> crashes;
    for (const auto &crash : m_crashes) {
        auto &likelihoods = crashes.emplace_back();
        for (const auto &name : names) {
            const auto found = crash.evidence.find(name);
            likelihoods.push_back(found == crash.evidence.end()
                                      ? RatioOfAbsent
                                      : std::exp(static_cast<double>(found->second.likelihoodRatio.value()) / Thousandths));
        }
    }
    const auto bearable = std::max(LeastCrashes, static_cast<double>(workers) * BearableShare);
    const auto causes = estimateCauses(crashes, names.size(), names.size());
    std::multimap<double, QueueName, std::greater<>> guilty;
    for (std::size_t queue = 0; queue < names.size(); ++queue) {
        if (causes.crashes[queue] >= bearable
            && causes.logLikelihood - estimateCauses(crashes, names.size(), queue).logLikelihood >= GainToConfine) {
            guilty.emplace(causes.crashes[queue], names[queue]);
        }
    }
    std::vector<QueueName> ordered;
    for (const auto &[count, name] : guilty) {
        ordered.push_back(name);
    }
    return ordered;
}

bool Bulkhead::isQuiet(MonotonicTime now, const QueueName &queue) const
{
    return std::ranges::none_of(m_crashes, [&](const Crash &crash) {
        const auto found = crash.evidence.find(queue);
        return crash.at + ReleaseTime > now && found != crash.evidence.end() && found->second.hadRuns;
    });
}

bool Bulkhead::update(MonotonicTime now, std::size_t workers)
{
    if (now < m_nextUpdate) {
        return false;
    }
    while (!m_crashes.empty() && m_crashes.front().at + EvidenceTime < now) {
        m_crashes.pop_front();
    }
    const auto before = m_confined;
    std::erase_if(m_confined, [&](const QueueName &queue) { return workers < LeastWorkers || isQuiet(now, queue); });
    if (workers >= LeastWorkers && !m_crashes.empty()) {
        const auto known = queues().size();
        for (const auto &queue : guilty(workers)) {
            if (m_confined.size() + 1 < known) {
                m_confined.insert(queue); // there is another queue for which the other workers are kept
            }
        }
    }
    m_nextUpdate = m_crashes.empty() ? MonotonicTime::max() : now + UpdateInterval;
    return m_confined != before;
}

bool Bulkhead::isConfined(const QueueName &queue) const
{
    return m_confined.contains(queue);
}

const std::set<QueueName> &Bulkhead::confined() const
{
    return m_confined;
}

std::size_t Bulkhead::share(std::size_t workers) const
{
    return m_confined.empty() ? 0
                              : std::max<std::size_t>(1, static_cast<std::size_t>(std::lround(static_cast<double>(workers) * WorkerShare)));
}

MonotonicTime Bulkhead::nextUpdate() const
{
    return m_nextUpdate;
}

} // namespace Sycamoremoor
