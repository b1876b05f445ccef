// Switches for the rules of the agent's ledger; only tests disable one, to show that it is needed.
#pragma once

namespace Sycamoremoor
{

/** The rules of docs/ONCE.md that an agent enforces. In production all are enabled. */
struct LedgerRules {
    bool checkIncarnation = true;        ///< rule 1: a start for another incarnation is refused
    bool checkToken = true;              ///< rule 2: a start with a lower token is refused
    bool checkStamp = true;              ///< rule 3: a start that is too old, or whose stamp is not from this incarnation, is refused
    bool checkLedger = true;             ///< rule 4: a task that is in the ledger is not started again
    bool checkCapacity = true;           ///< rule 5: a start beyond slots and queue is refused
    bool checkLeaving = true;            ///< rule 5: a start while the agent or its upstream shuts down is refused
    bool checkDeadline = true;           ///< rule 5: a start after its deadline is refused
    bool tombstoneRefused = true;        ///< rule 5: a refused task is tombstoned and can't start later
    bool tombstoneQueried = true;        ///< a queried task that is not in the ledger is tombstoned and can't start later
    bool unknownIfDropped = true;        ///< a task whose record may have been dropped is reported as unknown, not "never started"
    bool unknownAfterBrokenStart = true; ///< a task whose start may have reached the upstream is never reported as "not run"
    bool fenceByLedgerReport = true;     ///< the slot's token is raised before a ledger report is sent
    bool unknownAfterRestart = true;     ///< a start for an earlier incarnation is reported as unknown, not "never started"
    bool unknownToFencedOwner = true;    ///< a fenced owner receives "unknown" instead of "never started"
    bool retainBeyondStartMaxAge = true; ///< ledger records are retained longer than the age at which starts are refused
};

} // namespace Sycamoremoor
