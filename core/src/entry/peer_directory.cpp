// Bookkeeping of heartbeats between entries.
#include "peer_directory.h"

#include <sycamoremoor/core/roster_func.h>

#include <algorithm>

namespace Sycamoremoor
{

namespace
{

constexpr std::size_t MaxUnansweredHeartbeats = 16;
constexpr std::size_t MaxPastLives = 64;
constexpr std::size_t MaxPeers = 1'024;

} // namespace

void PeerDirectory::beginLife(Peer &peer, MonotonicTime now, Incarnation incarnation)
{
    // A life that only a roster named may be the one before or the one to come.
    if (peer.incarnation != Incarnation() && peer.everHeard) {
        if (peer.past.size() >= MaxPastLives) {
            peer.past.erase(peer.past.begin());
        }
        peer.past.insert(peer.incarnation);
    }
    peer.past.erase(incarnation);
    peer.incarnation = incarnation;
    peer.epoch = Epoch();
    peer.heardAt = now;
    peer.everHeard = false;
    peer.silent.clear();
    peer.confirmed = false;
}

void PeerDirectory::watch(MonotonicTime now, const EntryName &name, Incarnation incarnation)
{
    auto &peer = m_peers[name];
    if (peer.incarnation != incarnation && !peer.past.contains(incarnation)) {
        const auto former = peer.incarnation;
        beginLife(peer, now, incarnation);
        peer.past.erase(former); // the roster may be older than what was heard
    }
}

void PeerDirectory::retain(const RosterRecord &roster)
{
    std::set<EntryName> kept;
    for (const auto &member : roster.members) {
        kept.insert(member.name);
    }
    for (const auto &slot : roster.slots) {
        for (const auto &former : slot.former) {
            kept.insert(former.name);
        }
    }
    std::erase_if(m_peers, [&](const auto &item) { return !kept.contains(item.first); });
}

void PeerDirectory::heard(MonotonicTime now, const EntryName &name, Incarnation incarnation, Epoch epoch)
{
    if (m_peers.size() >= MaxPeers && !m_peers.contains(name)) {
        return;
    }
    auto &peer = m_peers[name];
    if (peer.past.contains(incarnation)) {
        return;
    }
    if (peer.incarnation != incarnation) {
        beginLife(peer, now, incarnation);
    }
    peer.heardAt = now;
    peer.everHeard = true;
    peer.epoch = std::max(peer.epoch, epoch);
}

std::uint64_t PeerDirectory::sending(MonotonicTime now, const EntryName &name)
{
    const auto sequence = m_nextSequence++;
    if (const auto found = m_peers.find(name); found != m_peers.end()) {
        auto &sent = found->second.sent;
        sent.push_back(Sent{sequence, now});
        if (sent.size() > MaxUnansweredHeartbeats) {
            sent.erase(sent.begin());
        }
    }
    return sequence;
}

void PeerDirectory::replied(MonotonicTime now, const PeerHeartbeatReply &reply)
{
    heard(now, reply.from, reply.incarnation, reply.rosterEpoch);
    const auto found = m_peers.find(reply.from);
    if (found == m_peers.end()) {
        return;
    }
    auto &peer = found->second;
    const auto sent = std::ranges::find(peer.sent, reply.sequence, &Sent::sequence);
    if (peer.incarnation != reply.incarnation || sent == peer.sent.end()) {
        return;
    }
    const auto sentAt = sent->at;
    peer.sent.erase(sent);
    if (reply.rosterEpoch > peer.confirmedEpoch || !peer.confirmed) {
        peer.confirmedEpoch = reply.rosterEpoch;
        peer.confirmedAt = sentAt;
        peer.confirmed = true;
    } else if (reply.rosterEpoch == peer.confirmedEpoch) {
        peer.confirmedAt = std::max(peer.confirmedAt, sentAt);
    }
    peer.silent = reply.silent;
}

void PeerDirectory::forgive(MonotonicTime now)
{
    for (auto &[name, peer] : m_peers) {
        peer.heardAt = std::max(peer.heardAt, now);
        peer.silent.clear();
    }
}

bool PeerDirectory::isHeard(MonotonicTime now, const EntryName &name, Duration timeout) const
{
    const auto found = m_peers.find(name);
    return found != m_peers.end() && now - found->second.heardAt <= timeout;
}

bool PeerDirectory::hasTold(const EntryName &name, Incarnation incarnation, Epoch epoch) const
{
    const auto found = m_peers.find(name);
    return found != m_peers.end() && found->second.incarnation == incarnation && found->second.epoch >= epoch;
}

bool PeerDirectory::knowsOrForgot(const EntryName &name, Incarnation incarnation, Epoch epoch) const
{
    const auto found = m_peers.find(name);
    if (found == m_peers.end() || !found->second.everHeard) {
        return false;
    }
    return found->second.incarnation != incarnation || found->second.epoch >= epoch;
}

bool PeerDirectory::reportsSilent(const EntryName &name, const EntryName &other) const
{
    const auto found = m_peers.find(name);
    return found != m_peers.end() && std::ranges::find(found->second.silent, other) != found->second.silent.end();
}

std::optional<MonotonicTime> PeerDirectory::confirmedAt(const EntryName &name, Incarnation incarnation, Epoch epoch) const
{
    const auto found = m_peers.find(name);
    if (found == m_peers.end()) {
        return std::nullopt;
    }
    const auto &peer = found->second;
    if (!peer.confirmed || peer.incarnation != incarnation || peer.confirmedEpoch != epoch) {
        return std::nullopt;
    }
    return peer.confirmedAt;
}

} // namespace Sycamoremoor
