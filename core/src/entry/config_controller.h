// Configuration in force: learned from the platform and from peers, never an older one.
#pragma once

#include "entry_step.h"

#include <sycamoremoor/core/entry_input_type.h>
#include <sycamoremoor/core/entry_settings_type.h>

#include <functional>
#include <memory>
#include <optional>

namespace Sycamoremoor {

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

    [[nodiscard]] Revision revision() const;
    [[nodiscard]] WallTime since() const;
    [[nodiscard]] std::optional<MonotonicTime> nextWake() const;

private:
    void request(EntryStep &step);

    const EntrySettings &m_settings;
    ChangeHook m_changed;
    std::shared_ptr<const ConfigSet> m_config;
    WallTime m_since{};
    Revision m_wanted;
    MonotonicTime m_requestedAt;
};

} // namespace Sycamoremoor
