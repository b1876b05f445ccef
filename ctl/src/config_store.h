// The configuration in the platform's service, as the command line reads and changes it.
#pragma once

#include "event_loop.h"

#include <sycamoremoor/core/config_type.h>
#include <sycamoremoor/gateway/key_value_client.h>
#include <sycamoremoor/wire/config_codec.h>

#include <optional>
#include <string>
#include <vector>

namespace Sycamoremoor
{

/** The newest revision and the store's own revision of its key. */
struct HeadState {
    ConfigHead head;               ///< revision zero if none was ever accepted
    StoreRevision modRevision = 0; ///< zero if none was ever accepted
};

/** How a change of the configuration ended. */
struct CommitResult {
    CallOutcome outcome = CallOutcome::Unknown;
    std::string error;
    ConfigHead head; ///< in force after a success; the change that came first after a conflict
};

/** Reads and writes configuration sets. Each function waits for its end. */
class ConfigStore
{
public:
    explicit ConfigStore(KeyValueSettings settings);

    /** Reads the head. @param error set if the platform did not answer */
    std::optional<HeadState> readHead(std::string &error);

    /** Reads the set of a revision; revision zero is the empty set. @param error set if there is none or no answer */
    std::optional<ConfigSet> readSet(Revision revision, std::string &error);

    /** Reads all sets that are kept, oldest first. */
    std::optional<std::vector<ConfigSet>> readHistory(std::string &error);

    /**
     * Makes @p set the newest revision if @p base is still the newest, by compare-and-swap.
     * A lost answer is settled by reading the head again: the change id tells whose write took effect.
     * @param set its revision is set here
     */
    CommitResult commit(ConfigSet set, const HeadState &base);

    /** Calls @p changed at each change of the head, until it returns false or the watch ends. */
    void watchHead(const std::function<bool(const ConfigHead &)> &changed);

private:
    template<typename Result, typename Start>
    Result await(Start start);
    CommitResult settle(const ConfigSet &set, const std::string &error);

    EventLoop m_loop;
    KeyValueClient m_client;
};

} // namespace Sycamoremoor
