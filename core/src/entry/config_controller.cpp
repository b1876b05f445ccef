// Learns configurations.
#include "config_controller.h"

#include <utility>

namespace Sycamoremoor
{

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
    updateExcerpts(before);
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

AgentConfig ConfigController::forAgent(const ServiceName &service, Revision known)
{
    if (known >= revision()) {
        return {};
    }
    const auto [found, added] = m_excerpts.try_emplace(service);
    auto &excerpt = found->second;
    if (added) {
        excerpt = Excerpt{excerptFor(service), revision()};
    }
    if (known >= excerpt.changedAt) {
        return AgentConfig{nullptr, revision()};
    }
    return AgentConfig{excerpt.config, Revision()};
}

std::shared_ptr<const ConfigSet> ConfigController::excerptFor(const ServiceName &service) const
{
    auto excerpt = std::make_shared<ConfigSet>();
    excerpt->revision = m_config->revision;
    excerpt->changeId = m_config->changeId;
    excerpt->author = m_config->author;
    excerpt->changedAt = m_config->changedAt;
    excerpt->policy = m_config->policy;
    if (const auto found = m_config->services.find(service); found != m_config->services.end()) {
        excerpt->services.insert(*found);
    }
    return excerpt;
}

void ConfigController::updateExcerpts(Revision before)
{
    // A revision that was not seen here may have differed, and an agent may have it in force from another entry.
    const auto isNext = revision().value() == before.value() + 1;
    for (auto &[service, excerpt] : m_excerpts) {
        const auto earlier = std::exchange(excerpt.config, excerptFor(service));
        const auto same = earlier->services == excerpt.config->services && earlier->policy == excerpt.config->policy;
        if (!isNext || !same) {
            excerpt.changedAt = revision();
        }
    }
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
