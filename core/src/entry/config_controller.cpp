// Learns configurations.
#include "config_controller.h"

namespace Sycamoremoor {

ConfigController::ConfigController(const EntrySettings &settings, ChangeHook changed)
    : m_settings(settings)
    , m_changed(std::move(changed))
{
}

void ConfigController::onHeadRead(EntryStep &step, Revision newest)
{
    if (newest > m_wanted) {
        m_wanted = newest;
        if (m_wanted > revision()) {
            request(step);
        }
    }
}

void ConfigController::learn(EntryStep &step, const std::shared_ptr<const ConfigSet> &config, const std::string &source)
{
    if (config == nullptr || config->revision <= revision()) {
        return;
    }
    const auto before = revision();
    m_config = config;
    m_since = step.wall();
    step.count(CounterMetric::ConfigChanges);
    step.log(Severity::Info, "config", "revision " + std::to_string(revision().value()) + " is in force");
    AuditRecord record;
    record.at = step.wall();
    record.kind = AuditKind::ConfigInForce;
    record.actor = config->author;
    record.subject = "configuration";
    record.reason = "learned from " + source;
    record.before = before.value();
    record.after = revision().value();
    step.emit(std::move(record));
    m_changed(step);
}

void ConfigController::onTime(EntryStep &step)
{
    if (const auto wake = nextWake(); wake && step.now() >= *wake) {
        request(step);
    }
}

const std::shared_ptr<const ConfigSet> &ConfigController::config() const
{
    return m_config;
}

Revision ConfigController::revision() const
{
    return m_config == nullptr ? Revision() : m_config->revision;
}

WallTime ConfigController::since() const
{
    return m_since;
}

std::optional<MonotonicTime> ConfigController::nextWake() const
{
    if (m_wanted <= revision()) {
        return std::nullopt;
    }
    return m_requestedAt + m_settings.headReadInterval;
}

void ConfigController::request(EntryStep &step)
{
    m_requestedAt = step.now();
    step.emit(ReadConfig{m_wanted});
}

} // namespace Sycamoremoor
