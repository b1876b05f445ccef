// Serves an entry's reads and writes of the platform's key-value service.
#include <sycamoremoor/net/platform_task.h>

#include <sycamoremoor/gateway/key_value_client.h>
#include <sycamoremoor/net/clock_func.h>
#include <sycamoremoor/net/log_func.h>
#include <sycamoremoor/wire/config_codec.h>
#include <sycamoremoor/wire/json_parse_func.h>
#include <sycamoremoor/wire/message_codec.h>

#include <nlohmann/json.hpp>

#include <memory>
#include <string>
#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr std::string_view HeadPrefix = "sycamoremoor/v1/head/";
constexpr std::string_view RosterKey = "sycamoremoor/v1/head/roster";

std::string slotAgentsKey(OwnerSlotIndex slot)
{
    return "sycamoremoor/v1/slots/" + std::to_string(slot.value()) + "/agents";
}

void logUnreadable(std::string_view key, const DecodeError &error)
{
    writeLog({Severity::Error, "platform", "The value of " + std::string(key) + " cannot be read: " + error.detail + "."});
}

/** Reads roster and configuration head; nothing if one of them is there and cannot be read. */
std::optional<HeadRead> readHead(MonotonicTime requestedAt, const RangeResult &result)
{
    HeadRead head;
    head.requestedAt = requestedAt;
    for (const auto &entry : result.values) {
        if (entry.key == RosterKey) {
            auto roster = std::make_shared<RosterRecord>();
            if (const auto error = decode(entry.value, *roster)) {
                logUnreadable(entry.key, *error);
                return std::nullopt;
            }
            head.roster = std::move(roster);
            head.rosterModRevision = entry.modRevision;
        } else if (entry.key == ConfigHeadKey) {
            ConfigHead config;
            if (const auto error = decodeConfigHead(entry.value, config)) {
                logUnreadable(entry.key, *error);
                return std::nullopt;
            }
            head.configRevision = config.revision;
        }
    }
    return head;
}

/** Reads a list of names; nothing if @p text is something else. */
std::optional<std::vector<AgentName>> readAgents(const std::string &text)
{
    const auto json = parseJson(text);
    if (!json.is_array()) {
        return std::nullopt;
    }
    std::vector<AgentName> agents;
    for (const auto &name : json) {
        if (!name.is_string()) {
            return std::nullopt;
        }
        agents.emplace_back(name.get<std::string>());
    }
    return agents;
}

std::string writeAgents(const std::vector<AgentName> &agents)
{
    auto json = nlohmann::json::array();
    for (const auto &agent : agents) {
        json.push_back(agent.value());
    }
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

WriteOutcome outcomeOf(const WriteResult &result)
{
    switch (result.outcome) {
    case CallOutcome::Done:
        return WriteOutcome::Written;
    case CallOutcome::Conflict:
        return WriteOutcome::Conflict;
    default:
        // A write without effect may be tried again like one whose effect is not known.
        return WriteOutcome::Unknown;
    }
}

/** Returns the transaction that writes one key if it was last written at @p expected. */
TransactionCall swapCall(const std::string &key, std::string value, std::int64_t expected)
{
    TransactionCall call;
    call.comparisons.push_back({key, expected});
    call.puts.push_back({key, std::move(value), 0});
    return call;
}

} // namespace

PlatformTask::PlatformTask(KeyValueClient &client)
    : m_client(client)
{
}

sigc::signal<void(EntryInput)> &PlatformTask::signalInput()
{
    return m_input;
}

void PlatformTask::carryOut(const ReadHead & /*output*/)
{
    RangeCall call;
    call.key = HeadPrefix;
    call.rangeEnd = prefixRangeEnd(std::string(HeadPrefix));
    const auto requestedAt = monotonicNow();
    m_client.range(call, [this, requestedAt](const RangeResult &result) {
        const auto head = result.outcome == CallOutcome::Done ? readHead(requestedAt, result) : std::nullopt;
        if (head) {
            m_input.emit(*head);
        } else {
            m_input.emit(HeadReadFailed{requestedAt});
        }
    });
}

void PlatformTask::carryOut(const WriteRoster &output)
{
    const auto epoch = output.roster->epoch;
    const auto call = swapCall(std::string(RosterKey), encode(*output.roster), output.expectedModRevision);
    m_client.transact(call, [this, epoch](const WriteResult &result) { m_input.emit(RosterWriteEnded{epoch, outcomeOf(result)}); });
}

void PlatformTask::carryOut(const ReadConfig &output)
{
    RangeCall call;
    call.key = configKey(output.revision);
    m_client.range(call, [this, key = call.key](const RangeResult &result) {
        if (result.outcome != CallOutcome::Done || result.values.empty()) {
            return; // the machine asks again
        }
        auto config = std::make_shared<ConfigSet>();
        if (const auto error = decodeConfigSet(result.values.front().value, *config)) {
            logUnreadable(key, *error);
            return;
        }
        m_input.emit(ConfigRead{std::move(config)});
    });
}

void PlatformTask::carryOut(const ReadSlotAgents &output)
{
    RangeCall call;
    call.key = slotAgentsKey(output.slot);
    m_client.range(call, [this, slot = output.slot](const RangeResult &result) {
        if (result.outcome != CallOutcome::Done) {
            return; // the machine asks again
        }
        if (result.values.empty()) {
            m_input.emit(SlotAgentsRead{slot, {}, 0});
        } else if (const auto agents = readAgents(result.values.front().value)) {
            m_input.emit(SlotAgentsRead{slot, *agents, result.values.front().modRevision});
        }
    });
}

void PlatformTask::carryOut(const WriteSlotAgents &output)
{
    const auto call = swapCall(slotAgentsKey(output.slot), writeAgents(output.agents), output.expectedModRevision);
    m_client.transact(call, [this, slot = output.slot](const WriteResult &result) {
        m_input.emit(SlotAgentsWriteEnded{slot, outcomeOf(result), result.revision});
    });
}

} // namespace Sycamoremoor
