// Tells guards which jobs were cancelled at a scheduler.
#include <sycamoremoor/net/cancel_sender.h>

#include <sycamoremoor/net/clock_func.h>
#include <sycamoremoor/net/event_loop.h>
#include <sycamoremoor/net/metric_registry.h>
#include <sycamoremoor/net/path_type.h>
#include <sycamoremoor/wire/http_status.h>
#include <sycamoremoor/wire/message_codec.h>

#include <algorithm>
#include <iterator>
#include <memory>
#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr Duration TellTime = std::chrono::seconds(3);         ///< for which guards are told: less than bounds.cancel_ms, 4 s
constexpr Duration AnswerTime = std::chrono::seconds(1);       ///< until a cancellation counts as not confirmed: three calls that fail
constexpr Duration CallLimit = std::chrono::milliseconds(300); ///< guards answer within milliseconds, or not at all
constexpr Duration RetryInterval = std::chrono::milliseconds(150);
constexpr std::size_t MaxJobsInMessage = 1'000; ///< 128 KB with the longest ids

} // namespace

/** A job whose cancellation guards are told. */
struct CancelSender::Cancellation {
    MonotonicTime answerBy;      ///< then it counts as not confirmed
    MonotonicTime until;         ///< then guards are no longer told
    std::set<AgentName> awaited; ///< guards with contact that have not confirmed; if there were none, the first that answers confirms
    bool hadRuns = false;        ///< a guard had runs of the job
    bool isAnswered = false;     ///< what became of it was told
};

/** What waits for one guard. */
struct CancelSender::Outbox {
    Endpoint endpoint;
    std::set<QueueJobId> jobs; ///< that it has not confirmed
    bool isSending = false;
    std::unique_ptr<Timer> retry;
};

CancelSender::CancelSender(EventLoop &loop, HttpClient &client, MetricRegistry &metrics, FindGuards findGuards)
    : m_loop(loop)
    , m_client(client)
    , m_metrics(metrics)
    , m_findGuards(std::move(findGuards))
    , m_distributeTimer(loop, [this] { distribute(); })
    , m_expireTimer(loop, [this] { expire(); })
{
}

CancelSender::~CancelSender() = default;

sigc::signal<void(SchedulerInput)> &CancelSender::signalInput()
{
    return m_input;
}

void CancelSender::carryOut(const SpreadCancel &output)
{
    m_new.insert(output.job);
    m_distributeTimer.start(Duration::zero());
}

void CancelSender::distribute()
{
    const auto guards = m_findGuards();
    const auto jobs = std::exchange(m_new, {});
    const auto now = monotonicNow();
    Cancellation cancellation;
    for (const auto &[agent, guard] : guards) {
        if (guard.hasContact) {
            cancellation.awaited.insert(agent);
        }
    }
    cancellation.answerBy = guards.empty() ? now : now + AnswerTime;
    cancellation.until = now + TellTime;
    for (const auto &job : jobs) {
        m_cancellations[job] = cancellation;
    }
    for (const auto &[agent, guard] : guards) {
        auto &outbox = m_outboxes[agent];
        outbox.endpoint = guard.endpoint;
        outbox.jobs.insert(jobs.begin(), jobs.end());
        if (!outbox.retry) {
            outbox.retry = std::make_unique<Timer>(m_loop, [this, agent = agent] { send(agent); });
        }
    }
    for (const auto &[agent, guard] : guards) {
        send(agent);
    }
    startTimer();
}

void CancelSender::send(const AgentName &agent)
{
    const auto found = m_outboxes.find(agent);
    if (found == m_outboxes.end() || found->second.isSending) {
        return;
    }
    auto &outbox = found->second;
    std::erase_if(outbox.jobs, [this](const auto &job) { return !m_cancellations.contains(job); });
    if (outbox.jobs.empty()) {
        m_outboxes.erase(found);
        return;
    }
    std::vector<QueueJobId> jobs;
    std::ranges::copy_n(
        outbox.jobs.begin(), static_cast<std::ptrdiff_t>(std::min(outbox.jobs.size(), MaxJobsInMessage)), std::back_inserter(jobs));
    ClientCall call;
    call.endpoint = outbox.endpoint;
    call.path = Path::CancelJobs;
    call.body = encode(JobCancellation{jobs});
    call.connectLimit = CallLimit;
    call.timeLimit = CallLimit;
    m_metrics.addMessage(MessageDirection::Out, Path::CancelJobs, call.body.size());
    outbox.isSending = true;
    m_client.send(std::move(call), [this, agent = agent, jobs](const ClientResult &result) { answered(agent, jobs, result); });
}

void CancelSender::answered(const AgentName &agent, const std::vector<QueueJobId> &jobs, const ClientResult &result)
{
    const auto found = m_outboxes.find(agent);
    if (found == m_outboxes.end()) {
        return;
    }
    found->second.isSending = false;
    JobCancellationReply reply;
    if (!result.answered || result.status != HttpStatus::Ok || decode(result.body, reply)) {
        found->second.retry->start(RetryInterval);
        return;
    }
    std::vector<CancelSpread> confirmed;
    for (const auto &job : jobs) {
        found->second.jobs.erase(job);
        const auto cancellation = m_cancellations.find(job);
        if (cancellation == m_cancellations.end()) {
            continue;
        }
        auto &[answerBy, until, awaited, hadRuns, isAnswered] = cancellation->second;
        awaited.erase(agent);
        hadRuns = hadRuns || std::ranges::find(reply.stopped, job) != reply.stopped.end();
        if (awaited.empty() && !std::exchange(isAnswered, true)) {
            confirmed.push_back({job, true, hadRuns});
        }
    }
    send(agent);
    for (const auto &spread : confirmed) {
        m_input.emit(spread);
    }
}

void CancelSender::expire()
{
    const auto now = monotonicNow();
    std::vector<CancelSpread> unconfirmed;
    for (auto &[job, cancellation] : m_cancellations) {
        if (cancellation.answerBy <= now && !std::exchange(cancellation.isAnswered, true)) {
            unconfirmed.push_back({job, false, cancellation.hadRuns});
        }
    }
    std::erase_if(m_cancellations, [now](const auto &item) { return item.second.until <= now; });
    startTimer();
    for (const auto &spread : unconfirmed) {
        m_input.emit(spread);
    }
}

void CancelSender::startTimer()
{
    auto next = MonotonicTime::max();
    for (const auto &[job, cancellation] : m_cancellations) {
        next = std::min(next, cancellation.isAnswered ? cancellation.until : cancellation.answerBy);
    }
    if (next != MonotonicTime::max()) {
        m_expireTimer.start(next - monotonicNow());
    }
}

} // namespace Sycamoremoor
