// Evacuated zones as a process last read them.
#include "evacuated_zones.h"

#include <utility>

namespace Sycamoremoor
{

namespace
{

LogLine lineOf(Severity severity, const char *text, const ZoneName &zone, PlatformVersion version)
{
    return {severity, "evacuation", text, {{"zone", zone.value()}, {"store_version", std::to_string(version.value())}}};
}

} // namespace

std::vector<LogLine> EvacuatedZones::update(const EvacuationsRead &read)
{
    if (m_isKnown && read.version < m_version) {
        return {};
    }
    std::vector<LogLine> lines;
    for (const auto &[zone, version] : read.zones) {
        if (!m_zones.contains(zone)) {
            lines.push_back(lineOf(Severity::Warning, "The evacuation of a zone begins; no run is started on its workers.", zone, version));
        }
    }
    for (const auto &[zone, version] : m_zones) {
        if (!read.zones.contains(zone)) {
            lines.push_back(lineOf(Severity::Info, "The evacuation of a zone ends.", zone, read.version));
        }
    }
    m_zones = read.zones;
    m_version = read.version;
    m_isKnown = true;
    return lines;
}

bool EvacuatedZones::contains(const ZoneName &zone) const
{
    return m_zones.contains(zone);
}

bool EvacuatedZones::isKnown() const
{
    return m_isKnown;
}

} // namespace Sycamoremoor
