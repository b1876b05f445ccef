// Feeds a decision machine with time, randomness and inputs, one at a time, and has its outputs carried out.
#include <sycamoremoor/net/machine_driver.h>

#include <array>
#include <string>

namespace Sycamoremoor
{

namespace
{

constexpr std::array<std::string_view, static_cast<std::size_t>(AuditKind::End)> AuditTexts{
    "configuration in force", "roster change", "drain", "ejection", "readmission", "takeover"};

} // namespace

void logAudit(const AuditRecord &record)
{
    std::string text(AuditTexts.at(static_cast<std::size_t>(record.kind)));
    text += " of " + record.subject + " by " + record.actor + ": " + record.reason;
    text += " (" + std::to_string(record.before) + " to " + std::to_string(record.after) + ")";
    writeLog({Severity::Info, "audit", text});
}

} // namespace Sycamoremoor
