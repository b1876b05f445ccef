// Driver of one agent machine for tests.
#include "agent_driver.h"

#include <utility>

namespace Sycamoremoor
{

namespace
{

AgentSettings testSettings(const std::function<void(AgentSettings &)> &adjust)
{
    AgentSettings settings;
    settings.name = AgentName("A1");
    settings.incarnation = Incarnation(7);
    settings.endpoint = {"127.0.0.1", 2001};
    settings.upstream = {"127.0.0.1", 3001};
    settings.zone = ZoneName("trnava-a");
    settings.region = RegionName("sk-west");
    settings.service = ServiceName("reclaim-desk");
    settings.capacity.slots = Slots(2);
    settings.entrySeeds = {{"127.0.0.1", 1001}, {"127.0.0.1", 1002}};
    if (adjust) {
        adjust(settings);
    }
    return settings;
}

} // namespace

AgentDriver::AgentDriver(const LedgerRules &rules, const std::function<void(AgentSettings &)> &adjust)
    : settings(testSettings(adjust))
    , key(SubmissionKey::create(wall, 1, 1))
    , machine(std::make_unique<AgentMachine>(settings, rules))
{
}

void AgentDriver::collect(AgentInput input)
{
    AgentOutputs step;
    machine->step({now, wall, 0}, std::move(input), step);
    for (auto &output : step) {
        if (const auto *set = std::get_if<SetTimer>(&output)) {
            timer = set->at;
        }
        startsSeen += std::holds_alternative<StartOnUpstream>(output) ? 1 : 0;
        outputs.push_back(std::move(output));
    }
}

AgentDriver &AgentDriver::feed(AgentInput input)
{
    outputs.clear();
    collect(std::move(input));
    return *this;
}

AgentDriver &AgentDriver::advance(Duration time)
{
    outputs.clear();
    const auto until = now + time;
    const auto wallUntil = wall + time;
    while (timer && *timer <= until) {
        wall += *timer - now;
        now = *timer;
        collect(Tick{});
    }
    now = until;
    wall = wallUntil;
    return *this;
}

AgentDriver &AgentDriver::makeReady()
{
    feed(Tick{});
    feed(UpstreamHealth{Incarnation(1), false, {}});
    AgentHeartbeatReply reply;
    reply.entry = EntryName("E1");
    reply.incarnation = Incarnation(11);
    reply.roster = roster(EntryName("E1"), Epoch(5));
    return feed(HeartbeatReplyReceived{reply});
}

std::shared_ptr<RosterRecord> AgentDriver::roster(const EntryName &owner, Epoch token)
{
    auto record = std::make_shared<RosterRecord>();
    record->epoch = token;
    for (std::uint16_t index = 1; index <= 2; ++index) {
        RosterMember member;
        member.name = EntryName("E" + std::to_string(index));
        member.incarnation = Incarnation(10U + index);
        member.endpoint = {"127.0.0.1", static_cast<std::uint16_t>(1000U + index)};
        member.zone = ZoneName("trnava-a");
        member.region = RegionName("sk-west");
        record->members.push_back(member);
    }
    OwnerSlot slot;
    slot.owner = owner;
    slot.incarnation = Incarnation(owner == EntryName("E1") ? 11 : 12);
    slot.token = token;
    if (owner != EntryName("E1")) {
        slot.former.push_back({EntryName("E1"), Incarnation(11), {}, false});
    }
    record->slots.push_back(slot);
    return record;
}

OwnerClaim AgentDriver::claim(std::uint64_t token, const char *owner) const
{
    OwnerClaim value;
    value.owner = EntryName(owner);
    value.incarnation = Incarnation(value.owner == EntryName("E1") ? 11 : 12);
    value.token = Epoch(token);
    return value;
}

AgentStamp AgentDriver::stampNow() const
{
    return AgentStamp(now.time_since_epoch().count());
}

StartTasks AgentDriver::start(const std::vector<std::uint32_t> &indexes) const
{
    StartTasks message;
    message.claim = claim();
    message.agent = settings.name;
    message.agentIncarnation = settings.incarnation;
    message.stamp = stampNow();
    for (const auto index : indexes) {
        StartTask entry;
        entry.task = task(index);
        entry.deadline = std::chrono::seconds(20);
        entry.spec.payload = "p" + std::to_string(index);
        message.tasks.push_back(entry);
    }
    return message;
}

TaskId AgentDriver::task(std::uint32_t index) const
{
    return {key, TaskIndex(index)};
}

std::optional<TaskReport> AgentDriver::report(std::uint32_t index) const
{
    std::optional<TaskReport> found;
    for (const auto &sent : all<ReportToOwner>()) {
        for (const auto &entry : sent.reports.reports) {
            if (entry.task == task(index)) {
                found = entry;
            }
        }
    }
    return found;
}

} // namespace Sycamoremoor
