// The chain of filters that a submission passes before it is taken.
#pragma once

#include "entry_step.h"
#include "submission_type.h"

#include <functional>
#include <string>
#include <vector>

namespace Sycamoremoor
{

/** What a filter decided. */
struct FilterVerdict {
    enum class Kind {
        Pass,    ///< on to the next filter
        Handled, ///< the filter took care of the submission
        Refuse,  ///< answer with the error
        End,
    };
    Kind kind = Kind::Pass;
    ErrorKind error = ErrorKind::None;
    std::string detail;
    Duration retryAfter{};

    static FilterVerdict pass()
    {
        return {};
    }

    static FilterVerdict handled()
    {
        return {Kind::Handled, ErrorKind::None, {}, {}};
    }

    static FilterVerdict refuse(ErrorKind error, std::string detail = {}, Duration retryAfter = {})
    {
        return {Kind::Refuse, error, std::move(detail), retryAfter};
    }
};

/** One check or decision about a submission. */
using SubmissionFilter = std::function<FilterVerdict(EntryStep &step, const Submission &submission)>;

/** Filters in their order. */
class SubmissionChain
{
public:
    /** Where in the chain a submission enters. */
    using Position = std::size_t;

    /** Told of each refusal, after the submission was answered. */
    using RefusalHook = std::function<void(EntryStep &step, const JobAnswerPointer &answer)>;

    void setRefusalHook(RefusalHook refused);

    /** Appends a filter. Returns the position after it. */
    Position add(SubmissionFilter filter);

    /** Runs a submission through the filters from @p from on; refuses it with an answer if one of them says so. */
    void run(EntryStep &step, const Submission &submission, Position from = 0) const;

private:
    std::vector<SubmissionFilter> m_filters;
    RefusalHook m_refused;
};

} // namespace Sycamoremoor
