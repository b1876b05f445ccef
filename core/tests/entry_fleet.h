// Entries driven directly, with a fake platform and fake agents between them. For tests only.
#pragma once

#include <sycamoremoor/core/entry_machine.h>
#include <sycamoremoor/core/roster_func.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Sycamoremoor
{

/** The platform's service: two heads and the agents of each slot. */
struct FakePlatform {
    std::shared_ptr<const RosterRecord> roster;
    std::int64_t rosterModRevision = 0;
    std::shared_ptr<const ConfigSet> config;
    std::map<OwnerSlotIndex, std::pair<std::vector<AgentName>, std::int64_t>> slotAgents;
    bool down = false;
    bool losesWriteAnswers = false;
};

/** An agent that starts what it is given, remembers it, and ends tasks when told to. */
struct FakeAgent {
    AgentName name;
    Incarnation incarnation{1};
    WallTime startedAt{};
    std::int64_t stamp = 0;
    bool alive = true;
    bool dropsStarts = false; ///< starts vanish, as on a silent connection
    bool reportsLedgers = true;
    bool holds = false; ///< tasks run until the test lets them end
    TaskState outcome = TaskState::Succeeded;
    Epoch token;
    std::map<EntryName, std::uint64_t> sequence;
    std::map<TaskId, TaskReport> ledger;
    std::vector<TaskId> starts;
    std::shared_ptr<const RosterRecord> roster; ///< as the entries told it
    Revision configRevision;
    bool wanders = false; ///< the newest answer named no home
    std::size_t seed = 0; ///< which entry to try next while no home answers
};

/** One answer that a caller got. */
struct CallerAnswer {
    ConnectionId connection;
    JobAnswerPointer answer;
};

/** A few entries, agents and a platform, with messages that arrive in order and at once. */
class EntryFleet
{
public:
    explicit EntryFleet(std::size_t entries, std::size_t agents);

    /** Starts an entry, or starts it again as another life. */
    void start(const std::string &name);

    /** Ends an entry without a word. */
    void kill(const std::string &name);

    /** An entry neither steps nor answers until resumed; messages to it wait. */
    void pause(const std::string &name);
    void resume(const std::string &name);

    /** Cuts or restores the path between two processes, by name; "platform" is one. */
    void cut(const std::string &one, const std::string &other, bool isCut = true);

    /** Restarts an agent with an empty ledger. */
    void restartAgent(std::size_t index);

    /** Lets time pass, with timers, heartbeats and messages. */
    void run(Duration duration);

    /** Runs until @p done holds. @return false if it did not within @p limit */
    bool runUntil(const std::function<bool()> &done, Duration limit);

    /** A caller submits at an entry. Returns its connection. */
    ConnectionId submit(const std::string &entry, const JobSpecPointer &job);
    void input(const std::string &entry, EntryInput input);

    /** Ends the tasks that an agent holds. @param owner who is told; by default the owner that the agent knows */
    void release(std::size_t agent, const std::optional<EntryName> &owner = std::nullopt);

    [[nodiscard]] JobAnswerPointer answerTo(ConnectionId connection) const;
    [[nodiscard]] EntryMachine &machine(const std::string &name);
    [[nodiscard]] std::string ownerName() const;
    [[nodiscard]] std::size_t startsOf(const SubmissionKey &key) const;
    [[nodiscard]] std::size_t mostStarts() const; ///< of any task
    [[nodiscard]] bool isStopped(const std::string &name) const;

    SubmissionKey newKey();
    JobSpecPointer newJob(std::size_t tasks, std::uint64_t digest = 1);

    FakePlatform platform;
    std::vector<FakeAgent> agents;
    std::vector<CallerAnswer> answers;
    std::vector<AnswerStatus> statusAnswers;
    std::vector<AnswerAccount> accountAnswers;
    std::vector<AnswerProcessStatus> processAnswers;
    std::vector<Stopped> stops;
    std::vector<std::string> trace; ///< every input and output, if tracing
    bool tracing = false;
    MonotonicTime now{std::chrono::seconds(1'000)};
    WallTime wall{std::chrono::seconds(1'780'000'000)};
    EntrySettings settings; ///< of every entry, but name and incarnation
    std::uint64_t startMessages = 0;
    std::uint64_t queryMessages = 0;

private:
    struct Node {
        EntrySettings settings;
        std::unique_ptr<EntryMachine> machine;
        std::optional<MonotonicTime> timer;
        bool paused = false;
        bool stopped = false;
        std::vector<EntryInput> backlog; ///< arrived while paused
    };
    struct Event {
        EntryName to;
        Incarnation incarnation; ///< zero: whoever lives there
        EntryInput input;
    };

    void step(const EntryName &name, EntryInput input);
    void deliver();
    void perform(const EntryName &from, EntryOutput &output);
    void performPeer(const EntryName &from, const SendToPeer &send);
    void performPlatform(const EntryName &from, EntryOutput &output);
    void agentReceives(const EntryName &from, const SendToAgent &send);
    void agentStarts(FakeAgent &agent, const EntryName &from, const StartTasks &message);
    void agentTells(FakeAgent &agent, const EntryName &to, std::vector<TaskReport> reports);
    void heartbeats();
    void heartbeat(std::size_t index);
    void learnRoster(FakeAgent &agent, const std::shared_ptr<const RosterRecord> &roster);
    TaskReport &endTask(FakeAgent &agent, const TaskId &task);
    [[nodiscard]] bool isCut(const std::string &one, const std::string &other) const;
    [[nodiscard]] EntryName homeOf(const FakeAgent &agent) const;
    [[nodiscard]] bool reaches(const std::string &from, const EntryName &to) const;
    ConnectionId open();
    void post(const EntryName &to, EntryInput input);

    std::map<EntryName, Node> m_nodes;
    std::deque<Event> m_events;
    std::set<std::pair<std::string, std::string>> m_cuts;
    std::map<ConnectionId, std::pair<EntryName, ConnectionId>> m_relays; ///< at the owner: whose caller it is
    std::map<ConnectionId, std::size_t> m_heartbeats;                    ///< open heartbeat exchanges, by agent
    std::map<ConnectionId, EntryName> m_peerExchanges;                   ///< open exchanges between entries: who asked
    std::uint64_t m_nextConnection = 1'000;
    std::uint64_t m_nextIncarnation = 1;
    std::uint64_t m_entropy = 1;
    std::uint64_t m_nextKey = 1;
    MonotonicTime m_nextHeartbeat{};
};

} // namespace Sycamoremoor
