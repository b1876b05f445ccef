// The configuration in the platform's service, as the command line reads and changes it.
#include "config_store.h"

#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr std::string_view ConfigKeyPrefix = "sycamoremoor/v1/config/";

/** Reads that settle a lost answer are repeated so often while the platform does not answer. */
constexpr int SettleAttempts = 5;

} // namespace

ConfigStore::ConfigStore(KeyValueSettings settings)
    : m_client(m_loop.base(), std::move(settings))
{
}

template<typename Result, typename Start>
Result ConfigStore::await(Start start)
{
    std::optional<Result> result;
    start([&result](Result ended) { result = std::move(ended); });
    m_loop.runWhile([&result] { return !result; });
    return *std::move(result);
}

std::optional<HeadState> ConfigStore::readHead(std::string &error)
{
    const auto result = await<RangeResult>([this](auto done) { m_client.range({.key = std::string(ConfigHeadKey)}, done); });
    if (result.outcome != CallOutcome::Done) {
        error = result.error;
        return std::nullopt;
    }
    HeadState state;
    if (result.values.empty()) {
        return state;
    }
    state.modRevision = result.values.front().modRevision;
    if (const auto fault = decodeConfigHead(result.values.front().value, state.head)) {
        error = fault->detail;
        return std::nullopt;
    }
    return state;
}

std::optional<ConfigSet> ConfigStore::readSet(Revision revision, std::string &error)
{
    ConfigSet set;
    if (revision == Revision()) {
        return set;
    }
    const auto result = await<RangeResult>([&](auto done) { m_client.range({.key = configKey(revision)}, done); });
    if (result.outcome != CallOutcome::Done) {
        error = result.error;
        return std::nullopt;
    }
    if (result.values.empty()) {
        error = "there is no revision " + std::to_string(revision.value());
        return std::nullopt;
    }
    if (const auto fault = decodeConfigSet(result.values.front().value, set)) {
        error = fault->detail;
        return std::nullopt;
    }
    return set;
}

std::optional<std::vector<ConfigSet>> ConfigStore::readHistory(std::string &error)
{
    const std::string prefix(ConfigKeyPrefix);
    const auto result = await<RangeResult>([&](auto done) { m_client.range({.key = prefix, .rangeEnd = prefixRangeEnd(prefix)}, done); });
    if (result.outcome != CallOutcome::Done) {
        error = result.error;
        return std::nullopt;
    }
    std::vector<ConfigSet> history;
    for (const auto &value : result.values) {
        if (const auto fault = decodeConfigSet(value.value, history.emplace_back())) {
            error = value.key + ": " + fault->detail;
            return std::nullopt;
        }
    }
    return history;
}

CommitResult ConfigStore::commit(ConfigSet set, const HeadState &base)
{
    set.revision = Revision(base.head.revision.value() + 1);
    const ConfigHead head{set.revision, set.changeId, set.author, set.changedAt};
    const TransactionCall call{.comparisons = {{std::string(ConfigHeadKey), base.modRevision}},
                               .puts
                               = {{std::string(ConfigHeadKey), encodeConfigHead(head)}, {configKey(set.revision), encodeConfigSet(set)}},
                               .deletes = {}};
    const auto result = await<WriteResult>([&](auto done) { m_client.transact(call, done); });
    if (result.outcome == CallOutcome::Done) {
        return {CallOutcome::Done, "", head};
    }
    if (result.outcome == CallOutcome::NoEffect) {
        return {CallOutcome::NoEffect, result.error, base.head};
    }
    return settle(set, result.error);
}

CommitResult ConfigStore::settle(const ConfigSet &set, const std::string &error)
{
    std::string readError = error;
    for (int attempt = 0; attempt < SettleAttempts; ++attempt) {
        const auto now = readHead(readError);
        if (!now) {
            continue;
        }
        if (now->head.changeId == set.changeId) {
            return {CallOutcome::Done, "", now->head};
        }
        if (now->head.revision < set.revision) {
            // Not written yet; a write that is still on its way can only fail once another one came first.
            return {CallOutcome::Unknown, "the answer was lost and the change is not there yet", now->head};
        }
        // Another change is the newest: ours may have come before it.
        const auto ours = readSet(set.revision, readError);
        if (!ours) {
            continue;
        }
        return {ours->changeId == set.changeId ? CallOutcome::Done : CallOutcome::Conflict, "", now->head};
    }
    return {CallOutcome::Unknown, readError, {}};
}

void ConfigStore::watchHead(const std::function<bool(const ConfigHead &)> &changed)
{
    bool goesOn = true;
    const auto delivered = [&](const WatchEvents &delivery) {
        for (const auto &event : delivery.events) {
            ConfigHead head;
            if (goesOn && !event.deleted && !decodeConfigHead(event.value.value, head)) {
                goesOn = changed(head);
            }
        }
    };
    const auto watch = m_client.watch({.key = std::string(ConfigHeadKey)}, {.delivered = delivered, .ended = [&](const std::string &) {
                                                                                goesOn = false;
                                                                            }});
    m_loop.runWhile([&goesOn] { return goesOn; });
    m_client.cancelWatch(watch);
}

} // namespace Sycamoremoor
