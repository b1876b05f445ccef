// Configuration in force: learned from the platform and from peers, never an older one.
#pragma once

#include "entry_step.h"

#include <sycamoremoor/core/entry_input_type.h>
#include <sycamoremoor/core/entry_settings_type.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace Sycamoremoor
{

/** What an agent is to be told of the configuration. */
struct AgentConfig {
    std::shared_ptr<const ConfigSet> excerpt; ///< its service and the policy, if they changed
    Revision unchanged;                       ///< the newest revision, if they did not
};

/** Keeps the newest configuration that this entry has seen. */
class ConfigController
{
public:
    using ChangeHook = std::function<void(EntryStep &step)>;

    ConfigController(const EntrySettings &settings, ChangeHook changed);

    /** The platform told which revision is the newest. */
    void onHeadRead(EntryStep &step, Revision newest);

    /** A configuration arrived from the platform or a peer. One that is not newer is ignored. */
    void learn(EntryStep &step, const std::shared_ptr<const ConfigSet> &config, const std::string &source);

    /** Asks again for a revision that did not arrive. */
    void onTime(EntryStep &step);

    /** Returns the configuration in force, or nullptr. */
    [[nodiscard]] const std::shared_ptr<const ConfigSet> &config() const;

    /** Returns what an agent of @p service needs that has revision @p known in force. */
    [[nodiscard]] AgentConfig forAgent(const ServiceName &service, Revision known);

    [[nodiscard]] Revision revision() const;
    [[nodiscard]] WallTime since() const;
    [[nodiscard]] std::optional<MonotonicTime> nextWake() const;

private:
    /** The part of the configuration that agents of one service need. */
    struct Excerpt {
        std::shared_ptr<const ConfigSet> config;
        Revision changedAt; ///< the same in each revision since
    };

    void request(EntryStep &step);
    [[nodiscard]] std::shared_ptr<const ConfigSet> excerptFor(const ServiceName &service) const;
    void updateExcerpts(Revision before);

    const EntrySettings &m_settings;
    ChangeHook m_changed;
    std::shared_ptr<const ConfigSet> m_config;
    std::map<ServiceName, Excerpt> m_excerpts; ///< of services whose agents asked
    WallTime m_since{};
    Revision m_wanted;
    MonotonicTime m_requestedAt;
};

} // namespace Sycamoremoor
