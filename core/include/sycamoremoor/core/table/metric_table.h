// Names and help texts of histograms and counters, in the order of their enums.
#pragma once

#include <sycamoremoor/core/step_type.h>

#include <array>
#include <string_view>

namespace Sycamoremoor
{

/** One row of a metric table. */
struct MetricRow {
    std::string_view name; ///< OpenMetrics name without suffix
    std::string_view help;
};

inline constexpr std::array<MetricRow, static_cast<std::size_t>(HistogramMetric::End)> HistogramTable{{
    // clang-format off
    {"sycamoremoor_job_seconds",        "Time from receipt of a job to its answer at the owner"},
    {"sycamoremoor_queue_seconds",      "Time from admission of a task to its sending"},
    {"sycamoremoor_task_run_seconds",   "Run time of a task by the agent's clock"},
    {"sycamoremoor_round_trip_seconds", "Time from sending a task to its report, less its run time"},
    {"sycamoremoor_takeover_seconds",   "Time from learning of an owner slot to acting for it"},
    {"sycamoremoor_lag_seconds",        "Time for which inputs waited in this process"},
    // clang-format on
}};

inline constexpr std::array<MetricRow, static_cast<std::size_t>(CounterMetric::End)> CounterTable{{
    // clang-format off
    {"sycamoremoor_jobs_accepted",     "Jobs taken"},
    {"sycamoremoor_jobs_complete",     "Jobs answered with every result"},
    {"sycamoremoor_jobs_failed",       "Jobs that were taken and failed"},
    {"sycamoremoor_jobs_refused",      "Submissions refused before they were taken"},
    {"sycamoremoor_jobs_refused_stopping",      "Jobs refused since they may not end before a planned stop"},
    {"sycamoremoor_jobs_refused_never_fits",    "Jobs refused since no known worker is large enough"},
    {"sycamoremoor_jobs_refused_confined",      "Jobs of confined queues refused since all workers for these are down"},
    {"sycamoremoor_jobs_refused_evacuated", "Jobs refused since all workers of their service are in evacuated zones"},
    {"sycamoremoor_jobs_refused_no_workers",    "Jobs refused since no worker accepts work"},
    {"sycamoremoor_jobs_refused_behind",        "Jobs refused since this process is behind with its work"},
    {"sycamoremoor_jobs_refused_expected_wait", "Jobs refused since what goes before them takes longer than their slack"},
    {"sycamoremoor_jobs_refused_slack_over",    "Jobs refused after they had waited for all of their slack"},
    {"sycamoremoor_jobs_refused_expired",       "Jobs refused since no worker started them before they expired"},
    {"sycamoremoor_jobs_resubmitted",  "Submissions of a key that was known"},
    {"sycamoremoor_jobs_cancelled",    "Cancellations of jobs that were open or cancelled before"},
    {"sycamoremoor_tasks_sent",        "Tasks sent to agents"},
    {"sycamoremoor_tasks_reported",    "Reports of tasks that changed what was known"},
    {"sycamoremoor_tasks_refused",     "Tasks sent to an agent and not started there"},
    {"sycamoremoor_tasks_unknown",     "Tasks whose run ended as unknown"},
    {"sycamoremoor_task_queries",      "Tasks that an agent was asked about"},
    {"sycamoremoor_reports_duplicate", "Reports that changed nothing"},
    {"sycamoremoor_tombstones_set",    "Tasks promised never to start"},
    {"sycamoremoor_fenced_starts",     "Starts refused for an old token"},
    {"sycamoremoor_stale_starts",      "Starts refused for their age"},
    {"sycamoremoor_workers_ejected",   "Workers set aside"},
    {"sycamoremoor_workers_found_slow", "Workers found to be slower than the usual one of their service"},
    {"sycamoremoor_roster_changes",    "Changes of the roster"},
    {"sycamoremoor_config_changes",    "Revisions of configuration that came into force"},
    {"sycamoremoor_configs_unreadable",     "Revisions of configuration that could not be read; the one before stayed in force"},
    {"sycamoremoor_config_queues_left_out", "Queues that could not be read, of revisions of configuration that came into force"},
    {"sycamoremoor_announcements_refused",  "Announcements that name no upstream to use"},
    {"sycamoremoor_evacuated_runs",          "Runs that a guard did not start because its zone is evacuated"},
    {"sycamoremoor_runs_lengthened",         "Runs that make progress and got more time than expected"},
    {"sycamoremoor_heads_refused",          "Requests refused for a head that is malformed or too large"},
    {"sycamoremoor_fields_refused",         "Requests refused for the number of fields of their head"},
    {"sycamoremoor_bodies_refused",         "Requests refused for the size of their body"},
    {"sycamoremoor_slow_requests_refused",  "Requests refused since they did not arrive in time"},
    {"sycamoremoor_connections_closed_for_memory", "Connections closed since all together held too much"},
    {"sycamoremoor_connections_closed_for_room",   "Connections closed since there were too many"},
    {"sycamoremoor_accepts_failed",         "Times that no connection could be accepted for lack of descriptors"},
    {"sycamoremoor_jobs_refused_for_memory", "Jobs refused since those that are kept take too much memory"},
    // clang-format on
}};

} // namespace Sycamoremoor
