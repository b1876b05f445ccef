// Random faults over a fleet of entries: at most one start, whole and truthful answers, an end for every job.
#include "entry_fleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace Sycamoremoor
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t Entries = 3;
constexpr std::size_t Agents = 3;

/** A submission and who waits for it. */
struct Waiting {
    ConnectionId caller;
    JobSpecPointer job;
    std::string entry;
    std::uint64_t life = 0; ///< of the entry; a caller of an entry that was killed waits in vain
};

/** What is broken at present. */
struct Faults {
    std::array<std::uint64_t, Entries> lives{};
    std::array<bool, Entries> paused{};
    std::array<bool, Entries> killed{};
};

std::string entryName(std::size_t index)
{
    return "entry-" + std::to_string(index + 1);
}

void breakOrMend(EntryFleet &fleet, Faults &faults, std::size_t index)
{
    const auto name = entryName(index);
    const auto other = entryName((index + 1) % Entries);
    switch (*rc::gen::inRange(0, 10)) {
    case 0:
        if (!faults.killed[index] && std::ranges::count(faults.killed, true) == 0) {
            fleet.kill(name);
            faults.killed[index] = true;
            faults.paused[index] = false;
            ++faults.lives[index];
        }
        break;
    case 1:
        if (faults.killed[index]) {
            fleet.start(name);
            faults.killed[index] = false;
        }
        break;
    case 2:
        if (!faults.killed[index]) {
            fleet.pause(name);
            faults.paused[index] = true;
        }
        break;
    case 3:
        if (faults.paused[index]) {
            fleet.resume(name);
            faults.paused[index] = false;
        }
        break;
    case 4:
        fleet.cut(name, *rc::gen::element(other, std::string("platform"), std::string("agent-1")), *rc::gen::arbitrary<bool>());
        break;
    case 5:
        fleet.platform.down = !fleet.platform.down;
        break;
    case 6:
        fleet.restartAgent(index % Agents);
        break;
    case 7:
        fleet.agents[index % Agents].dropsStarts = !fleet.agents[index % Agents].dropsStarts;
        break;
    case 8:
        fleet.agents[index % Agents].holds = true;
        break;
    default:
        fleet.release(index % Agents);
        break;
    }
}

void mendAll(EntryFleet &fleet, Faults &faults)
{
    fleet.platform.down = false;
    for (std::size_t index = 0; index < Entries; ++index) {
        for (const auto *other : {"entry-1", "entry-2", "entry-3", "platform", "agent-1"}) {
            fleet.cut(entryName(index), other, false);
        }
        if (faults.killed[index]) {
            fleet.start(entryName(index));
        } else if (faults.paused[index]) {
            fleet.resume(entryName(index));
        }
    }
    for (auto &agent : fleet.agents) {
        agent.dropsStarts = false;
    }
}

bool hasStarted(const EntryFleet &fleet, const TaskId &task)
{
    return std::ranges::any_of(fleet.agents,
                               [&](const FakeAgent &agent) { return std::ranges::find(agent.starts, task) != agent.starts.end(); });
}

void checkAnswer(const EntryFleet &fleet, const Waiting &waiting, const JobAnswer &answer)
{
    const auto &key = waiting.job->key;
    RC_ASSERT(answer.key == key);
    RC_ASSERT(answer.results.size() == (answer.error == ErrorKind::None ? waiting.job->tasks.size() : 0));
    for (std::size_t index = 0; index < answer.results.size(); ++index) {
        RC_ASSERT(answer.results[index] == "result " + std::to_string(index) + " of " + key.toString());
    }
    for (std::uint32_t index = 0; index < waiting.job->tasks.size(); ++index) {
        const auto line = answer.account.empty() ? answer.ran : answer.account[index].ran;
        RC_ASSERT(line != RunState::NotRun || !hasStarted(fleet, TaskId{key, TaskIndex(index)}));
    }
}

} // namespace

RC_GTEST_PROP(EntryProperty, KeepsItsPromisesUnderRandomFaults, ())
{
    EntryFleet fleet(Entries, Agents);
    Faults faults;
    fleet.run(seconds(6));
    std::vector<Waiting> waiting;
    const auto steps = *rc::gen::inRange(5, 40);
    for (int step = 0; step < steps; ++step) {
        const auto index = *rc::gen::inRange<std::size_t>(0, Entries);
        if (*rc::gen::inRange(0, 3) == 0) {
            if (!faults.killed[index]) {
                const auto repeat = !waiting.empty() && *rc::gen::arbitrary<bool>();
                const auto job = repeat ? (*rc::gen::elementOf(waiting)).job : fleet.newJob(*rc::gen::inRange<std::size_t>(1, 6));
                waiting.push_back(Waiting{fleet.submit(entryName(index), job), job, entryName(index), faults.lives[index]});
            }
        } else {
            breakOrMend(fleet, faults, index);
        }
        fleet.run(milliseconds(*rc::gen::element(1, 20, 300, 2'000, 6'000)));
        RC_ASSERT(fleet.mostStarts() <= 1U);
    }
    mendAll(fleet, faults);
    for (std::size_t index = 0; index < Agents; ++index) {
        fleet.release(index);
    }
    fleet.run(seconds(60));
    RC_ASSERT(fleet.mostStarts() <= 1U);
    for (const auto &one : waiting) {
        const auto entry = static_cast<std::size_t>(one.entry.back() - '1');
        const auto answer = fleet.answerTo(one.caller);
        RC_ASSERT(answer != nullptr || faults.lives[entry] != one.life);
        RC_ASSERT(std::ranges::count(fleet.answers, one.caller, &CallerAnswer::connection) <= 1);
        if (answer != nullptr) {
            checkAnswer(fleet, one, *answer);
        }
    }
    const auto last = fleet.submit("entry-2", fleet.newJob(3));
    fleet.run(seconds(1));
    RC_ASSERT(fleet.answerTo(last) != nullptr);
    RC_ASSERT(fleet.answerTo(last)->error == ErrorKind::None);
}

} // namespace Sycamoremoor
