// Property simulation: entries, agents, runners and a platform, driven through the inputs and outputs of the machines.
#pragma once

#include "simulation_checker.h"
#include "simulation_network.h"
#include "simulation_platform.h"
#include "simulation_runner.h"

#include <sycamoremoor/core/agent_machine.h>
#include <sycamoremoor/core/entry_machine.h>
#include <sycamoremoor/core/ledger_rules_type.h>

#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Sycamoremoor
{

/** Settings of a simulation; tests use them to switch single rules off. */
struct SimulationOptions {
    std::uint64_t seed = 1;
    LedgerRules ledgerRules;
    bool comparesBeforeWrite = true; ///< whether the platform refuses a write with an outdated revision
    std::function<void(EntrySettings &)> adjustEntry;
    std::function<void(AgentSettings &)> adjustAgent;
};

/** Simulates three entries, four agents with a runner each, one platform, and callers. */
class Simulation
{
public:
    explicit Simulation(SimulationOptions options);
    ~Simulation();

    Simulation(const Simulation &) = delete;
    Simulation &operator=(const Simulation &) = delete;

    /** Applies one event. */
    void apply(const SimulationEvent &event);

    /** Advances the clock by @p time and delivers what is due until then. */
    void run(Duration time);

    /** Ends all faults and resubmits until every caller has a final answer. Records a violation for each caller without one. */
    void finish();

    [[nodiscard]] const SimulationChecker &checker() const;

    /** Returns whether every caller has a final answer to its submission. */
    [[nodiscard]] bool allAnswersFinal() const;

private:
    /** A decision machine and its clock, which differs from the simulation's by an offset and a skew. */
    template<typename Machine, typename Settings>
    struct Process {
        Settings settings;
        std::unique_ptr<Machine> machine;
        std::uint64_t incarnationNumber = 0;
        std::optional<MonotonicTime> timer; ///< in simulation time
        std::uint64_t timerNumber = 0;
        Duration clockOffset{};
        Duration clockSkew{};
    };
    using EntryProcess = Process<EntryMachine, EntrySettings>;
    using AgentProcess = Process<AgentMachine, AgentSettings>;

    /** A request that waits for its answer. */
    struct Exchange {
        SimulationPeer client;
        std::uint64_t clientIncarnationNumber = 0;
        SimulationPeer server;
        std::uint64_t serverIncarnationNumber = 0;
        std::function<void(Delivery)> fail;
    };

    /** A submission by one caller. */
    struct Call {
        JobSpecPointer job;
        std::optional<ConnectionId> openConnection; ///< on which the caller waits for the answer
        bool hasFinalAnswer = false;
    };

    /** Tasks of one message to an agent for which no final report was delivered yet. */
    struct AgentExchange {
        std::size_t entry = 0;
        std::uint64_t entryIncarnationNumber = 0;
        std::size_t agent = 0;
        Incarnation agentIncarnation;
        std::vector<TaskId> tasks;
    };

    // simulation.cpp
    void begin(std::size_t entry);
    void startEntry(std::size_t index);
    void startAgent(std::size_t index);
    void endProcess(SimulationPeer peer, bool notifyPeers);
    void restart(SimulationPeer peer);
    [[nodiscard]] SimulationPeer processOf(std::uint32_t choice) const;
    [[nodiscard]] std::uint64_t incarnationNumberOf(SimulationPeer peer) const;
    [[nodiscard]] bool isUp(SimulationPeer peer) const;
    [[nodiscard]] bool isCurrent(SimulationPeer peer, std::uint64_t incarnationNumber) const;
    void drain(SimulationPeer peer);
    void breakAgentConnections(std::size_t agent);
    void failExchangesOf(SimulationPeer server);

    // simulation_callers.cpp
    JobSpecPointer makeJob(std::uint32_t shape);
    JobSpecPointer makeConflict(const JobSpec &job);
    void submit(std::size_t entry, std::size_t position);
    void addCall(std::size_t entry, JobSpecPointer job);
    void answerCall(std::size_t call, const JobAnswer &answer);
    void cancel(std::size_t entry, const SubmissionKey &key);
    void retryCalls();

    // simulation_entry.cpp
    void feedEntry(std::size_t index, EntryInput input);
    void carryOut(std::size_t entry, EntryOutput &output);
    void sendToAgent(std::size_t entry, const SendToAgent &output);
    void sendToPeer(std::size_t entry, const SendToPeer &output);
    void receiveFromPeer(std::size_t from, std::size_t to, const SendToPeer &output, ConnectionId connection);
    void answerExchange(ConnectionId connection, const std::function<void(SimulationPeer client)> &deliver);
    void answerJob(ConnectionId connection, const JobAnswerPointer &answer);
    void answerStatus(const AnswerStatus &output);
    template<typename PlatformCall>
    void callPlatform(std::size_t entry, bool isWrite, PlatformCall call, const std::optional<EntryInput> &failure);

    // simulation_agent.cpp
    void feedAgent(std::size_t index, AgentInput input);
    void carryOut(std::size_t agent, AgentOutput &output);
    void sendHeartbeat(std::size_t agent, const SendHeartbeat &output);
    void sendLedger(std::size_t agent, const SendLedgerReport &output);
    void sendReports(std::size_t agent, const ReportToOwner &output);
    void startOnRunner(std::size_t agent, const StartOnUpstream &output);
    void reportTaskEnd(std::size_t agent, std::uint64_t agentIncarnationNumber, std::uint64_t runnerIncarnationNumber, const TaskId &task);
    template<typename RunnerCall>
    void callRunner(std::size_t agent, RunnerCall runnerCall, const std::function<void(Delivery)> &fail);

    ConnectionId openExchange(Exchange exchange, Duration timeout);
    void request(SimulationPeer from, SimulationPeer to, std::function<void()> deliver, std::function<void(Delivery)> fail);
    template<typename Machine, typename Settings>
    StepContext context(Process<Machine, Settings> &process);
    void setTimer(SimulationPeer peer, MonotonicTime at);
    void wake(SimulationPeer peer, std::uint64_t incarnationNumber, std::uint64_t timerNumber);

    SimulationOptions m_options;
    SimulationNetwork m_network;
    SimulationChecker m_checker;
    SimulationPlatform m_platform;
    MonotonicTime m_now{std::chrono::hours(10)};
    std::vector<EntryProcess> m_entries;
    std::vector<AgentProcess> m_agents;
    std::vector<SimulationRunner> m_runners;
    std::deque<Call> m_calls;
    std::unordered_map<ConnectionId, std::size_t> m_callers; ///< index in m_calls by the caller's connection
    std::unordered_map<ConnectionId, Exchange> m_exchanges;
    std::unordered_map<ConnectionId, ConnectionId> m_forwards; ///< caller's connection by the connection between the entries
    std::vector<AgentExchange> m_agentExchanges;
    std::uint64_t m_nextConnection = 1;
    std::uint64_t m_nextIncarnation = 1;
    bool m_finishing = false;
};

} // namespace Sycamoremoor
