// Switches for each rule of the agent's ledger; only tests switch one off, to show that it is needed.
#pragma once

namespace Sycamoremoor
{

/** Which rules of docs/ONCE.md an agent keeps. The product keeps all. */
struct LedgerRules {
    bool checkIncarnation = true;        ///< rule 1: a start meant for another life is refused
    bool checkToken = true;              ///< rule 2: a start with a lower token is refused
    bool checkStamp = true;              ///< rule 3: a start that is too old, or has no stamp of this life, is refused
    bool checkLedger = true;             ///< rule 4: a task that is known is not started again
    bool checkCapacity = true;           ///< rule 5: a start beyond slots and queue is refused
    bool checkLeaving = true;            ///< rule 5: a start while leaving is refused
    bool checkDeadline = true;           ///< rule 5: a start after its deadline is refused
    bool tombstoneRefused = true;        ///< rule 5: a refused task can never start later
    bool tombstoneQueried = true;        ///< a task that was asked about and is not known can never start later
    bool unknownAfterForgetting = true;  ///< a task that may have been forgotten is unknown, not "never started"
    bool unknownAfterBrokenStart = true; ///< a task whose start may have reached the upstream is never "not run"
    bool fenceByLedgerReport = true;     ///< a ledger report raises the token before it is sent
    bool unknownAfterRestart = true;     ///< a start for an earlier life is answered as unknown, not as "never started"
    bool unknownToFencedOwner = true;    ///< a fenced owner is told "unknown" in place of "never started"
    bool retainBeyondStartMaxAge = true; ///< entries outlive the age at which starts are refused
};

} // namespace Sycamoremoor
