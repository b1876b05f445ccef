// Roster of entries: joining, removal of silent members, proof that this entry may act as an owner.
#pragma once

#include "entry_step.h"
#include "peer_directory.h"
#include "roster_plan_func.h"

#include <sycamoremoor/core/entry_input_type.h>
#include <sycamoremoor/core/entry_settings_type.h>

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace Sycamoremoor
{

/** What the entry wants to be in the roster. */
enum class MembershipIntent {
    Member,  ///< join, and stay
    Leaving, ///< hand the owner slots to others
    Gone,    ///< be removed, everything was handed over
    End,
};

/** An owner slot that the roster gives to this life of the entry. */
struct Tenure {
    OwnerSlotIndex slot;
    Epoch token;
    MonotonicTime learnedAt;
    std::vector<FormerOwner> former;
    std::optional<MonotonicTime> provenAt;   ///< when the newest linearizable read that names us was sent
    std::optional<MonotonicTime> majorityAt; ///< when enough members were found to know the token
    bool exclusive = false;                  ///< no former owner can act any more
    MonotonicTime exclusiveAt;
    WallTime exclusiveSince{}; ///< the same moment by the wall clock
};

/** Keeps the roster and decides whether this entry may act for its owner slots. */
class RosterController
{
public:
    /** Told after a newer roster came into force here. */
    using ChangeHook = std::function<void(EntryStep &step)>;

    RosterController(const EntrySettings &settings, ChangeHook changed);

    void onHeadRead(EntryStep &step, const HeadRead &read);
    void onHeadReadFailed(EntryStep &step, const HeadReadFailed &failure);
    void onWriteEnded(EntryStep &step, const RosterWriteEnded &ended);

    /** A peer's heartbeat arrived. Returns the answer without the configuration. */
    PeerHeartbeatReply onPeerHeartbeat(EntryStep &step, const PeerHeartbeat &heartbeat);
    void onPeerReply(EntryStep &step, const PeerHeartbeatReply &reply);

    /** Sends what is due. @param configRevision in force here */
    void onTime(EntryStep &step, Revision configRevision);

    /** Forgets silence that this process did not listen to, after it stood still. */
    void forgiveSilence(MonotonicTime now);

    /** Takes a roster that is newer than the one in force. */
    void learn(EntryStep &step, const std::shared_ptr<const RosterRecord> &roster);

    /** Reads the head at the next chance, not at the next interval. */
    void hurry();

    void setIntent(MembershipIntent intent, bool clean);

    /** Sets what must hold when the owner slots are given to others. */
    void setMoveGuard(std::function<bool()> mayMove);

    /** Tells whether a write of the roster is on its way. */
    [[nodiscard]] bool isWriting() const;

    /** Tells whether this life of the entry is in the roster. */
    [[nodiscard]] bool isSelfMember() const;

    [[nodiscard]] const std::shared_ptr<const RosterRecord> &roster() const;
    [[nodiscard]] Epoch epoch() const;
    [[nodiscard]] Incarnation incarnation() const;
    [[nodiscard]] const std::vector<Tenure> &tenures() const;
    [[nodiscard]] const Tenure *tenure(OwnerSlotIndex slot) const;

    /** Tells whether this entry may accept and start for @p slot now. */
    [[nodiscard]] bool mayServe(MonotonicTime now, OwnerSlotIndex slot) const;

    /** Tells whether a former owner is a member that hands over as planned and so still answers for its submissions. */
    [[nodiscard]] bool isLeavingMember(const FormerOwner &former) const;

    /** Tells whether a former owner's life is still in the roster. */
    [[nodiscard]] bool isMember(const FormerOwner &former) const;

    [[nodiscard]] std::vector<EntryName> silentMembers(MonotonicTime now) const;
    [[nodiscard]] MonotonicTime nextWake() const;

private:
    [[nodiscard]] RosterMember self() const;
    [[nodiscard]] RosterPlanContext planContext(const EntryStep &step) const;
    [[nodiscard]] std::optional<RosterRecord> plan(EntryStep &step) const;
    [[nodiscard]] std::optional<EntryName> memberToRemove(MonotonicTime now) const;
    [[nodiscard]] bool majorityKnows(const RosterRecord &roster) const;
    [[nodiscard]] bool majorityHeard(MonotonicTime now) const;
    [[nodiscard]] bool majorityKnowsToken(const Tenure &tenure) const;
    [[nodiscard]] std::optional<MonotonicTime> peerProof() const;
    void write(EntryStep &step);
    void proveByHead(MonotonicTime requestedAt, const RosterRecord &roster);
    void updateTenures(EntryStep &step);
    void updateExclusivity(EntryStep &step);
    void beginNewLife(EntryStep &step);
    void sendHeartbeats(EntryStep &step, Revision configRevision);

    const EntrySettings &m_settings;
    ChangeHook m_changed;
    PeerDirectory m_peers;
    Incarnation m_incarnation;
    bool m_wasMember = false;
    MembershipIntent m_intent = MembershipIntent::Member;
    bool m_leavesClean = false;
    std::function<bool()> m_mayMove;
    std::shared_ptr<const RosterRecord> m_roster;
    std::vector<Tenure> m_tenures;

    std::shared_ptr<const RosterRecord> m_writeBase; ///< what the newest read found; empty if unusable for a write
    bool m_baseIsNone = false;                       ///< the newest read found that no roster was ever written
    std::int64_t m_baseModRevision = 0;
    std::shared_ptr<const RosterRecord> m_writing;
    MonotonicTime m_writeSentAt;
    std::optional<MonotonicTime> m_readSentAt;
    MonotonicTime m_nextRead;
    MonotonicTime m_nextHeartbeat;
};

} // namespace Sycamoremoor
