// Evacuated zones as a process last read them.
#pragma once

#include <sycamoremoor/core/evacuation_type.h>
#include <sycamoremoor/core/step_type.h>

#include <map>
#include <string>
#include <vector>

namespace Sycamoremoor
{

/** The evacuated zones, which stay as they were last read while the store cannot be reached. */
class EvacuatedZones
{
public:
    /** Takes what was read, unless something newer was. @return a log line for each evacuation that begins or ends */
    [[nodiscard]] std::vector<LogLine> update(const EvacuationsRead &read);

    [[nodiscard]] bool contains(const ZoneName &zone) const;

    /** Returns whether the zones were read at all. */
    [[nodiscard]] bool isKnown() const;

private:
    std::map<ZoneName, PlatformVersion> m_zones;
    PlatformVersion m_version;
    bool m_isKnown = false;
};

} // namespace Sycamoremoor
