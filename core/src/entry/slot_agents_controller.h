// Agents recorded for each owner slot in the platform, before their first task.
#pragma once

#include "entry_step.h"
#include "roster_controller.h"

#include <sycamoremoor/core/entry_input_type.h>
#include <sycamoremoor/core/entry_settings_type.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Sycamoremoor
{

/** Reads and extends the record of agents that owners of a slot may have given tasks to. */
class SlotAgentsController
{
public:
    explicit SlotAgentsController(const EntrySettings &settings);

    /** Follows the owner slots of this entry. A record is read once no former owner can add to it any more. */
    void follow(EntryStep &step, const std::vector<Tenure> &tenures);

    void onRead(EntryStep &step, const SlotAgentsRead &read);
    void onWriteEnded(EntryStep &step, const SlotAgentsWriteEnded &ended);

    /** Wants @p agent recorded for every slot of this entry. */
    void want(EntryStep &step, const AgentName &agent);

    /** Tells whether @p agent is recorded for every slot of this entry. */
    [[nodiscard]] bool isRecorded(const AgentName &agent) const;

    /** Returns who was recorded when this entry took the slot, or nullptr while that is not known. */
    [[nodiscard]] const std::vector<AgentName> *inherited(OwnerSlotIndex slot) const;

    void onTime(EntryStep &step);
    [[nodiscard]] std::optional<MonotonicTime> nextWake() const;

private:
    struct Record {
        Epoch token;
        std::optional<std::vector<AgentName>> inherited;
        std::set<AgentName> recorded;
        std::int64_t modRevision = 0;
        bool current = false; ///< recorded and modRevision are what the platform holds
        bool writing = false;
        std::vector<AgentName> written;
        MonotonicTime retryAt;
    };

    void read(EntryStep &step, OwnerSlotIndex slot, Record &record);
    void write(EntryStep &step, OwnerSlotIndex slot, Record &record);

    const EntrySettings &m_settings;
    std::map<OwnerSlotIndex, Record> m_records;
    std::set<AgentName> m_wanted;
};

} // namespace Sycamoremoor
