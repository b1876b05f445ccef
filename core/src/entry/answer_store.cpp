// Keeps answers within their bounds.
#include "answer_store.h"

#include <algorithm>

namespace Sycamoremoor
{

namespace
{

constexpr std::int64_t AnswerOverheadBytes = 256;
constexpr int ExpirySkews = 4; ///< clock skew bounds added to the age of a key before it is forgotten

std::int64_t answerBytes(const JobAnswer &answer)
{
    auto bytes = AnswerOverheadBytes;
    for (const auto &result : answer.results) {
        bytes += static_cast<std::int64_t>(sizeof(std::string) + result.size());
    }
    for (const auto &line : answer.account) {
        bytes += static_cast<std::int64_t>(sizeof(TaskAccount) + line.kind.value().size() + line.agent.value().size());
    }
    return bytes;
}

} // namespace

AnswerStore::AnswerStore(const EntrySettings &settings)
    : m_settings(settings)
    , m_retention(PolicyRecord().answerRetention)
    , m_maxBytes(PolicyRecord().answerBytes)
{
}

void AnswerStore::configure(const PolicyRecord &policy)
{
    m_retention = policy.answerRetention;
    m_maxBytes = policy.answerBytes;
}

void AnswerStore::put(WallTime now, const EndedSubmission &submission)
{
    const auto key = submission.key;
    const auto bytes = submission.answer == nullptr ? 0 : answerBytes(*submission.answer);
    if (!m_submissions.try_emplace(key, submission).second) {
        return;
    }
    m_expiry.emplace(key.created() + m_settings.keyMaxAge + ExpirySkews * m_settings.clockSkew, key);
    if (bytes > 0) {
        m_answers.push_back(Kept{key, now, bytes});
        m_bytes += bytes;
    }
    release(now);
}

EndedSubmission *AnswerStore::find(const SubmissionKey &key)
{
    const auto found = m_submissions.find(key);
    return found == m_submissions.end() ? nullptr : &found->second;
}

const std::unordered_map<SubmissionKey, EndedSubmission> &AnswerStore::all() const
{
    return m_submissions;
}

void AnswerStore::release(WallTime now)
{
    while (!m_answers.empty() && (m_bytes > m_maxBytes.value() || m_answers.front().at + m_retention < now)) {
        const auto oldest = m_answers.front();
        m_answers.pop_front();
        m_bytes -= oldest.bytes;
        if (auto *submission = find(oldest.key)) {
            submission->answer.reset();
        }
    }
    while (!m_expiry.empty() && m_expiry.begin()->first < now) {
        m_submissions.erase(m_expiry.begin()->second);
        m_expiry.erase(m_expiry.begin());
        ++m_released;
    }
}

void AnswerStore::clear()
{
    m_submissions.clear();
    m_answers.clear();
    m_expiry.clear();
    m_bytes = 0;
}

std::uint64_t AnswerStore::releasedCount() const
{
    return m_released;
}

} // namespace Sycamoremoor
