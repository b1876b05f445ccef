// Runs submissions through the filters.
#include "submission_filter.h"

#include <utility>

namespace Sycamoremoor
{

void SubmissionChain::setRefusalHook(RefusalHook refused)
{
    m_refused = std::move(refused);
}

SubmissionChain::Position SubmissionChain::add(SubmissionFilter filter)
{
    m_filters.push_back(std::move(filter));
    return m_filters.size();
}

void SubmissionChain::run(EntryStep &step, const Submission &submission, Position from) const
{
    for (auto position = from; position < m_filters.size(); ++position) {
        auto verdict = m_filters[position](step, submission);
        if (verdict.kind == FilterVerdict::Kind::Handled) {
            return;
        }
        if (verdict.kind == FilterVerdict::Kind::Refuse) {
            auto answer = std::make_shared<JobAnswer>();
            answer->key = submission.job->key;
            answer->error = verdict.error;
            answer->ran = errorRow(verdict.error).ran;
            answer->detail = std::move(verdict.detail);
            answer->retryAfter = verdict.retryAfter;
            answer->singleRequest = submission.job->singleRequest;
            step.count(CounterMetric::JobsRefused);
            step.emit(AnswerJob{submission.connection, answer});
            if (m_refused) {
                m_refused(step, answer);
            }
            return;
        }
    }
}

} // namespace Sycamoremoor
