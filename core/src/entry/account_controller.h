// Tells operators what this entry took, and how this process stands.
#pragma once

#include "answer_store.h"
#include "config_controller.h"
#include "job_controller.h"
#include "roster_controller.h"
#include "worker_directory.h"

#include <sycamoremoor/core/dispatcher.h>

#include <deque>

namespace Sycamoremoor
{

/** Answers account and status queries from what the other controllers keep. */
class AccountController
{
public:
    struct Parts {
        const EntrySettings &settings;
        const RosterController &roster;
        const ConfigController &config;
        const WorkerDirectory &workers;
        const AnswerStore &answers;
        const JobController &jobs;
        const Dispatcher &dispatcher;
    };

    explicit AccountController(Parts parts);

    /** Notes when this entry began, or began another life with an empty memory. */
    void begin(WallTime now);

    /** Keeps an audit record among the recent ones. */
    void keep(const AuditRecord &record);

    [[nodiscard]] AccountReply account(const AccountQuery &query) const;

    /** @param draining whether a planned stop is under way, @param ready whether submissions are taken */
    [[nodiscard]] ProcessStatus status(MonotonicTime now, bool draining, bool ready) const;

private:
    [[nodiscard]] std::vector<ProcessStatus::Worker> workers() const;

    Parts m_parts;
    WallTime m_startedAt{};
    WallTime m_coversFrom{};
    std::deque<AuditRecord> m_audit;
};

} // namespace Sycamoremoor
