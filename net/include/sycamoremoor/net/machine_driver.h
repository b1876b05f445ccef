// Feeds a decision machine with time, randomness and inputs, one at a time, and has its outputs carried out.
#pragma once

#include <sycamoremoor/core/account_type.h>
#include <sycamoremoor/core/entry_input_type.h>
#include <sycamoremoor/core/step_type.h>
#include <sycamoremoor/net/clock_func.h>
#include <sycamoremoor/net/event_loop.h>
#include <sycamoremoor/net/log_func.h>
#include <sycamoremoor/net/metric_registry.h>
#include <sycamoremoor/net/timer.h>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <iterator>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace Sycamoremoor
{

/** Writes an audit record to the log. */
void logAudit(const AuditRecord &record);

/** A part of a task that carries out outputs of one kind. */
template<typename Part, typename Output>
concept CarriesOut = requires(Part &part, const Output &output)
{
    part.carryOut(output);
};

/** A machine that handles all inputs of a round of the loop in one step, so that a busy process does less for each of them. */
template<typename Machine, typename Input, typename Output>
concept HandlesRounds
    = requires(Machine &machine, const StepContext &context, const std::vector<Input> &inputs, std::vector<Output> &outputs)
{
    machine.step(context, inputs, outputs);
};

/**
 * Drives one machine. Inputs are handled one at a time, or together at the end of a round of the loop if the machine HandlesRounds.
 *
 * @tparam Task carries out the outputs that are not common to all machines, by an overload of carryOut() for each
 */
template<typename Machine, typename Input, typename Output, typename Task>
class MachineDriver
{
public:
    MachineDriver(EventLoop &loop, Machine machine, MetricRegistry &metrics, std::function<std::uint64_t()> randomBits, Task &task)
        : m_loop(loop)
        , m_machine(std::move(machine))
        , m_metrics(metrics)
        , m_randomBits(std::move(randomBits))
        , m_task(task)
        , m_timer(loop, [this] { feed(Tick{}); })
    {
    }

    /** Takes an input, at once or after the ones before it. */
    void feed(Input input)
    {
        if constexpr (HandlesRounds<Machine, Input, Output>) {
            if (m_inputs.empty()) {
                m_roundBeganAt = monotonicNow();
                m_loop.atEndOfRound(RoundPhase::Decide, [this] { stepRound(); });
            }
            m_inputs.push_back(std::move(input));
        } else {
            m_inputs.push_back(std::move(input));
            if (m_stepping) {
                return;
            }
            m_stepping = true;
            while (!m_inputs.empty()) {
                step();
            }
            m_stepping = false;
        }
    }

    [[nodiscard]] const Machine &machine() const
    {
        return m_machine;
    }

private:
    static constexpr Duration LongestTimer = std::chrono::hours(1);
    static constexpr Duration IdleTime = std::chrono::milliseconds(1); ///< a loop that waits for less than this is busy throughout

    void step()
    {
        auto input = std::move(m_inputs.front());
        m_inputs.pop_front();
        std::vector<Output> outputs;
        m_machine.step({monotonicNow(), wallNow(), m_randomBits()}, std::move(input), outputs);
        carryOutAll(outputs);
    }

    void stepRound()
    {
        const std::vector<Input> inputs(std::make_move_iterator(m_inputs.begin()), std::make_move_iterator(m_inputs.end()));
        m_inputs.clear();
        const auto now = monotonicNow();
        // What arrived while the outputs of the round before were carried out has waited since then.
        const bool wasBusy = m_roundBeganAt - m_roundEndedAt < IdleTime;
        const auto lag = now - (wasBusy ? m_decidedAt : m_roundBeganAt);
        m_decidedAt = now;
        m_metrics.add(Observation{HistogramMetric::LagSeconds, std::chrono::duration<double>(lag).count()});
        std::vector<Output> outputs;
        m_machine.step({now, wallNow(), m_randomBits(), lag}, inputs, outputs);
        carryOutAll(outputs);
        m_roundEndedAt = monotonicNow();
    }

    void carryOutAll(const std::vector<Output> &outputs)
    {
        for (const auto &output : outputs) {
            std::visit([this](const auto &content) { carryOut(content); }, output);
        }
    }

    template<typename Content>
    void carryOut(const Content &content)
    {
        if constexpr (std::is_same_v<Content, SetTimer>) {
            const auto now = monotonicNow();
            m_timer.start(content.at <= now ? Duration::zero() : std::min(LongestTimer, content.at - now));
        } else if constexpr (std::is_same_v<Content, LogLine>) {
            writeLog(content);
        } else if constexpr (std::is_same_v<Content, AuditRecord>) {
            logAudit(content);
        } else if constexpr (std::is_same_v<Content, Observation> || std::is_same_v<Content, Count>) {
            m_metrics.add(content);
        } else {
            m_task.carryOut(content);
        }
    }

    EventLoop &m_loop;
    Machine m_machine;
    MetricRegistry &m_metrics;
    std::function<std::uint64_t()> m_randomBits;
    Task &m_task;
    Timer m_timer;
    std::deque<Input> m_inputs;
    bool m_stepping = false;
    MonotonicTime m_roundBeganAt; ///< when the first input of this round came
    MonotonicTime m_decidedAt;    ///< when the last round was handled
    MonotonicTime m_roundEndedAt; ///< when its outputs had been carried out
};

} // namespace Sycamoremoor
