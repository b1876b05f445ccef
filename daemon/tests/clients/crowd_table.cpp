// Crowds of clients outside the limits.
#include "crowd_table.h"

#include "test_limits_type.h"

#include <array>
#include <utility>

namespace Sycamoremoor
{

namespace
{

using namespace TestLimits;

constexpr std::size_t AllocatorBytes = std::size_t{3} << 20U; ///< fragments, and pages that are first touched under load
constexpr std::size_t ReadAheadBytes = 16'384;                ///< one read
constexpr std::size_t AnswerBytes = 16'384;                   ///< one unread answer, of any size that these paths have
constexpr std::size_t ConnectionShare = 6;                    ///< connections hold at most a sixth of the memory

constexpr std::size_t CrowdBound = CrowdConnections * (HeadBytes + ReadAheadBytes + BodyBytes + AnswerBytes) + AllocatorBytes;
constexpr std::size_t ShareBound = MemoryBytes / ConnectionShare + AllocatorBytes;

std::string repeated(const std::string &part, std::size_t bytes)
{
    std::string text;
    text.reserve(bytes + part.size());
    while (text.size() < bytes) {
        text += part;
    }
    return text;
}

std::string requestsAhead(std::size_t bytes)
{
    return repeated("GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n", bytes);
}

std::string unfinishedBody(std::size_t bytes)
{
    return "POST /nowhere HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n"
        + std::string(bytes - 1, 'x');
}

const std::array crowdTable{
    // Guards against heads that are refused only after all of them is held.
    CrowdKind{"HeadAboveLimit",
              CrowdConnections,
              [](Door /*door*/) { return "GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(CrowdBytes, 'x') + "\r\n\r\n"; },
              CrowdBound},
    // Guards against lines without an end that are held for as long as they grow.
    CrowdKind{"EndlessLine", CrowdConnections, [](Door /*door*/) { return "GET /" + std::string(CrowdBytes, 'x'); }, CrowdBound},
    // Guards against many small fields, whose memory is a multiple of their bytes.
    CrowdKind{"EndlessFields",
              CrowdConnections,
              [](Door /*door*/) { return "GET / HTTP/1.1\r\n" + repeated("a:b\r\n", CrowdBytes); },
              CrowdBound},
    CrowdKind{"EndlessEmptyLines", CrowdConnections, [](Door /*door*/) { return repeated("\r\n", CrowdBytes); }, CrowdBound},
    // Guards against requests that are read ahead, or answers that pile up, while nobody reads.
    CrowdKind{"UnreadAnswers", CrowdConnections, [](Door /*door*/) { return requestsAhead(CrowdBytes); }, CrowdBound},
    // Guards against requests that are sent ahead and wait in the sockets, where the process does not read them.
    CrowdKind{"RequestsAhead", AheadConnections, [](Door /*door*/) { return requestsAhead(AheadBytes); }, ShareBound},
    // Guards against bodies that are within the limit one by one and beyond the memory together.
    CrowdKind{"UnfinishedBodies",
              CrowdConnections * 4,
              [](Door door) { return unfinishedBody(door == Door::GuardAnnouncements ? AnnouncementBytes : BodyBytes); },
              ShareBound},
    // Guards against a body that is within the limit, and beyond the memory when it is decoded.
    CrowdKind{"WideBody", 1, [](Door door) { return requestWithBody(door, wideJson(rowOf(door).bodyBytes)); }, MemoryBytes},
    // Guards against a process that runs out of descriptors and takes no connection any more.
    CrowdKind{"IdleConnections", ManyConnections, [](Door /*door*/) { return ""; }, CrowdBound},
    CrowdKind{"HalfRequests", ManyConnections, [](Door /*door*/) { return "GET / HTTP/1.1\r\nHost: a\r\n"; }, CrowdBound},
};

} // namespace

std::span<const CrowdKind> crowds()
{
    return crowdTable;
}

std::string wideJson(std::size_t bytes)
{
    constexpr std::size_t Closing = 3; // the last element and the bracket
    auto text = "[" + repeated("{},", bytes - 2 * Closing);
    return text + "0]";
}

std::string requestWithBody(Door door, const std::string &body)
{
    return std::string(rowOf(door).bodyRequest) + " HTTP/1.1\r\nHost: a.example\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace Sycamoremoor
