// What this entry knows of its peers: who is heard, at which epoch, and who does not hear whom.
#pragma once

#include <sycamoremoor/core/peer_message_type.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Sycamoremoor
{

/** Peers by name, from heartbeats in both directions. */
class PeerDirectory
{
public:
    /** Starts the clock of a member's silence; a life that the roster names replaces one known before. */
    void watch(MonotonicTime now, const EntryName &name, Incarnation incarnation);

    /** Stops watching everyone who is not in @p roster. Lives of former owners are kept. */
    void retain(const RosterRecord &roster);

    /** A message of a peer arrived. */
    void heard(MonotonicTime now, const EntryName &name, Incarnation incarnation, Epoch epoch);

    /** Notes that a heartbeat leaves. Returns its sequence number. */
    std::uint64_t sending(MonotonicTime now, const EntryName &name);

    /** The answer to a heartbeat arrived. */
    void replied(MonotonicTime now, const PeerHeartbeatReply &reply);

    /** Gives everyone the benefit of the doubt after this process itself stood still. */
    void forgive(MonotonicTime now);

    /** Tells whether a peer was heard within @p timeout. */
    [[nodiscard]] bool isHeard(MonotonicTime now, const EntryName &name, Duration timeout) const;

    /** Tells whether the life @p incarnation of a peer told an epoch of at least @p epoch. */
    [[nodiscard]] bool hasTold(const EntryName &name, Incarnation incarnation, Epoch epoch) const;

    /** Tells whether a peer knows @p epoch, or restarted and so forgot every lower one. */
    [[nodiscard]] bool knowsOrForgot(const EntryName &name, Incarnation incarnation, Epoch epoch) const;

    /** Tells whether a peer's newest answer says that it does not hear @p other. */
    [[nodiscard]] bool reportsSilent(const EntryName &name, const EntryName &other) const;

    /** Returns when the newest heartbeat was sent that a life of a peer answered at exactly @p epoch. */
    [[nodiscard]] std::optional<MonotonicTime> confirmedAt(const EntryName &name, Incarnation incarnation, Epoch epoch) const;

private:
    /** A heartbeat without its answer yet. */
    struct Sent {
        std::uint64_t sequence = 0;
        MonotonicTime at;
    };

    struct Peer {
        Incarnation incarnation;
        Epoch epoch;
        MonotonicTime heardAt;
        bool everHeard = false;
        std::set<Incarnation> past;
        std::vector<Sent> sent;
        std::vector<EntryName> silent;
        Epoch confirmedEpoch;
        MonotonicTime confirmedAt;
        bool confirmed = false;
    };

    void beginLife(Peer &peer, MonotonicTime now, Incarnation incarnation);

    std::map<EntryName, Peer> m_peers;
    std::uint64_t m_nextSequence = 1;
};

} // namespace Sycamoremoor
