// The property simulation: entries, agents, runners and a platform, driven through the machines' own inputs and outputs.
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

/** How a simulation is made; tests switch rules off here. */
struct SimulationOptions {
    std::uint64_t seed = 1;
    LedgerRules ledgerRules;
    bool comparesBeforeWrite = true; ///< the platform refuses a write on an old revision
    std::function<void(EntrySettings &)> adjustEntry;
    std::function<void(AgentSettings &)> adjustAgent;
};

/** Three entries, four agents with a runner each, one platform, and callers. */
class Simulation
{
public:
    explicit Simulation(SimulationOptions options);
    ~Simulation();

    Simulation(const Simulation &) = delete;
    Simulation &operator=(const Simulation &) = delete;

    /** Does one thing. */
    void apply(const SimulationEvent &event);

    /** Lets time pass. */
    void run(Duration time);

    /** Ends all faults; callers ask again until all have an answer. Reports to the checker who never gets one. */
    void finish();

    [[nodiscard]] const SimulationChecker &checker() const;

    /** Tells whether every caller has an answer that settles its submission. */
    [[nodiscard]] bool allAnswersFinal() const;

private:
    /** A decision machine with its clock. */
    template<typename Machine, typename Settings>
    struct Process {
        Settings settings;
        std::unique_ptr<Machine> machine;
        std::uint64_t incarnationNumber = 0;
        std::optional<MonotonicTime> timer; ///< by the simulation's clock
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

    /** A submission as one caller made it. */
    struct Call {
        JobSpecPointer job;
        std::optional<ConnectionId> openConnection; ///< waits for the answer
        bool hasFinalAnswer = false;
    };

    /** Tasks of one message to an agent that are not reported yet. */
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
    std::unordered_map<ConnectionId, std::size_t> m_callers; ///< open connections of callers
    std::unordered_map<ConnectionId, Exchange> m_exchanges;
    std::unordered_map<ConnectionId, ConnectionId> m_forwards; ///< from an exchange between entries to its caller's
    std::vector<AgentExchange> m_agentExchanges;
    std::uint64_t m_nextConnection = 1;
    std::uint64_t m_nextIncarnation = 1;
    bool m_finishing = false;
};

} // namespace Sycamoremoor
