// Sends a planned load to entries, open loop, and takes the answers.
#pragma once

#include "event_loop.h"
#include "http_caller.h"
#include "load_type.h"

#include <sycamoremoor/core/endpoint_type.h>

#include <functional>
#include <vector>

struct event;

namespace Sycamoremoor
{

/** Sends each job at its planned time, whatever became of those before. */
class LoadDriver
{
public:
    /** @param entries are taken in turn */
    LoadDriver(const LoadSettings &settings, const std::vector<PlannedJob> &plan, std::vector<Endpoint> entries);
    ~LoadDriver();

    LoadDriver(const LoadDriver &) = delete;
    LoadDriver &operator=(const LoadDriver &) = delete;

    /** Sends everything and waits for every answer. @param progress called about once a second with jobs sent and answered */
    std::vector<JobOutcome> run(const std::function<void(std::size_t sent, std::size_t answered)> &progress);

private:
    static void tick(int socket, short what, void *self);
    void sendDue();
    void submit(std::size_t index, std::size_t attempt);
    void resubmit(std::size_t index);
    void cancel(std::size_t index);
    void take(std::size_t index, std::size_t attempt, const HttpReply &reply);
    void after(Duration delay, std::function<void()> action);
    [[nodiscard]] std::string body(std::size_t index) const;
    [[nodiscard]] const Endpoint &entryFor(std::size_t number) const;
    [[nodiscard]] Duration elapsed() const;

    const LoadSettings &m_settings;
    const std::vector<PlannedJob> &m_plan;
    std::vector<Endpoint> m_entries;
    EventLoop m_loop;
    HttpCaller m_caller;
    event *m_ticker;
    MonotonicTime m_start;
    std::size_t m_sent = 0;
    std::size_t m_answered = 0;
    std::size_t m_open = 0; ///< calls that have not ended, cancels and copies included
    std::vector<JobOutcome> m_outcomes;
};

} // namespace Sycamoremoor
