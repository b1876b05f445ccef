// Rules by which no task runs twice at the same time, as the pool simulation can switch them off.
#pragma once

#include <set>

namespace Sycamoremoor
{

/** A rule of docs/PLATFORM.md, "One start at a time", and what the simulation does if it is switched off. */
enum class PoolRule {
    ReceiveBy,         ///< batches arrive without a time to be received by
    BatchLease,        ///< batches arrive with a lease that does not end
    RenewalTime,       ///< renewals arrive with a lease that does not end
    Expiry,            ///< batches arrive with a time to expire at that never comes
    StartWithin,       ///< runs may wait at the guard without limit
    RunLimit,          ///< runs arrive without a limit
    ReportClock,       ///< the clock in reports of capacity is ahead of that of the guard
    BatchIncarnation,  ///< batches for an earlier incarnation of a guard arrive as if for the live one
    RecallIncarnation, ///< recalls of batches for an earlier incarnation of a guard arrive as if for the live one
    RecallAnswer,      ///< recalls are answered on arrival, and the guard does not learn of them
    RecallMemory,      ///< recalls of batches that have not arrived yet are answered, and the guard does not learn of them
    HangUp,            ///< guards do not learn of the end of an exchange
    RunnerLease,       ///< leases at the runners do not end
    LapseBound,        ///< leases at the runners last longer than the guards know
    SilenceEndsLease,  ///< renewals without a lease extend it
    StopConfirmed,     ///< a stop without an answer is told as confirmed
    StopIsFinal,       ///< runners start runs that were stopped
    CompleteList,      ///< lists lack some of the runs
    ListAskedForAfter, ///< lists that are late are told as answers to the last renewal
    FencingToken,      ///< runners do not check tokens
    RaisedToken,       ///< all orders of a guard have its first token
    EarlierRuns,       ///< lists lack the runs that an earlier incarnation of the guard started
    ProbeIsRefused,    ///< probes tell that nothing listens although a runner lives
    ListNamesBoot,     ///< a list of the live boot is told as one of the boot that another writer announced
    RefusalNamesBoot,  ///< renewals without an answer are told as refused by another boot
};

using PoolRules = std::set<PoolRule>;

} // namespace Sycamoremoor
