// Clients outside the limits against real processes: they live, their memory and descriptors are bounded, and others are answered.
#include "client_crowd.h"
#include "daemon_process.h"

#include <sycamoremoor/net/event_loop.h>
#include <sycamoremoor/net/http_exchange.h>
#include <sycamoremoor/net/http_server.h>
#include <sycamoremoor/wire/base64_func.h>
#include <sycamoremoor/wire/text_codec.h>

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Sycamoremoor
{

namespace
{

// The limits of the processes under test.
constexpr std::size_t HeadBytes = 16'384;
constexpr std::size_t BodyBytes = 262'144;
constexpr std::size_t AnnouncementBytes = std::size_t{4} << 20U;
constexpr std::size_t MemoryMegabytes = 64;
constexpr std::size_t Descriptors = 256;

constexpr std::size_t CrowdConnections = 16;
constexpr std::size_t ManyConnections = 400;                  ///< more than there are descriptors
constexpr std::size_t CrowdBytes = std::size_t{24} << 20U;    ///< of each connection
constexpr std::size_t AllocatorBytes = std::size_t{3} << 20U; ///< fragments, and pages that are first touched under load
constexpr std::size_t ReadAheadBytes = 16'384;                ///< one read
constexpr std::size_t AnswerBytes = 16'384;                   ///< one unread answer, of any size that these paths have
constexpr std::size_t SmallestMachineBytes = 120'000'000;
constexpr std::size_t ConnectionShare = 6;            ///< connections hold at most a sixth of the memory
constexpr auto StartLimit = std::chrono::seconds(60); ///< beyond any delay of a busy machine

constexpr std::size_t CrowdBound = CrowdConnections * (HeadBytes + ReadAheadBytes + BodyBytes + AnswerBytes) + AllocatorBytes;
constexpr std::size_t ShareBound = (MemoryMegabytes << 20U) / ConnectionShare + AllocatorBytes;

#if defined(__SANITIZE_ADDRESS__)
constexpr bool ChecksMemory = false; // freed memory is quarantined, so that resident memory tells nothing of what is held
#else
constexpr bool ChecksMemory = true;
#endif

/** Which address of a process the crowd comes to. */
enum class Door {
    SchedulerCallers,
    SchedulerListen,
    SchedulerReadiness,
    GuardListen,
    GuardAnnouncements,
    End,
};

struct DoorRow {
    const char *name;
    const char *ordinaryRequest;
    const char *answer; ///< its first line
};

constexpr std::array<DoorRow, static_cast<std::size_t>(Door::End)> Doors{{
    {"SchedulerCallers", "GET /p/ HTTP/1.1\r\nHost: a.example\r\n\r\n", "HTTP/1.1 200 OK"},
    {"SchedulerListen", "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 200 OK"},
    {"SchedulerReadiness", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 503 Service Unavailable"},
    {"GuardListen", "GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 200 OK"},
    {"GuardAnnouncements", "DELETE /sycamoremoor/instances/none HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 200 OK"},
}};

const DoorRow &rowOf(Door door)
{
    return Doors.at(static_cast<std::size_t>(door));
}

bool isScheduler(Door door)
{
    return door < Door::GuardListen;
}

std::string repeated(const std::string &part, std::size_t bytes)
{
    std::string text;
    text.reserve(bytes + part.size());
    while (text.size() < bytes) {
        text += part;
    }
    return text;
}

std::string unfinishedBody(std::size_t bytes)
{
    return "POST /nowhere HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n"
        + std::string(bytes - 1, 'x');
}

struct CrowdKind {
    const char *name;
    std::size_t connections;
    std::function<std::string(Door)> bytes; ///< what each connection sends
    std::size_t memoryBound;                ///< by how much the most resident memory may grow
};

const std::array crowds{
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
    CrowdKind{"UnreadAnswers",
              CrowdConnections,
              [](Door /*door*/) { return repeated("GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n", CrowdBytes); },
              CrowdBound},
    // Guards against bodies that are within the limit one by one and beyond the memory together.
    CrowdKind{"UnfinishedBodies",
              CrowdConnections * 4,
              [](Door door) { return unfinishedBody(door == Door::GuardAnnouncements ? AnnouncementBytes : BodyBytes); },
              ShareBound},
    // Guards against a process that runs out of descriptors and takes no connection any more.
    CrowdKind{"IdleConnections", ManyConnections, [](Door /*door*/) { return ""; }, CrowdBound},
    CrowdKind{"HalfRequests", ManyConnections, [](Door /*door*/) { return "GET / HTTP/1.1\r\nHost: a\r\n"; }, CrowdBound},
};

/** Answers as the platform's store does that holds one configuration, on a thread of its own. */
class StoreStandIn
{
public:
    StoreStandIn()
        : m_server(m_loop, {"127.0.0.1", 0}, {}, [this](const HttpExchangePointer &exchange) { answer(exchange); })
        , m_thread([this] { m_loop.run(); })
    {
    }

    ~StoreStandIn()
    {
        m_loop.post([this] { m_loop.stop(); });
        m_thread.join();
        m_watches.clear();
    }

    StoreStandIn(const StoreStandIn &) = delete;
    StoreStandIn &operator=(const StoreStandIn &) = delete;

    [[nodiscard]] const Endpoint &endpoint() const
    {
        return m_server.endpoint();
    }

private:
    void answer(const HttpExchangePointer &exchange)
    {
        const auto &request = exchange->request();
        if (request.path == "/sycamoremoor/kv-watch") {
            m_watches.push_back(exchange); // nothing ever changes
            return;
        }
        std::string items;
        if (const auto prefix = request.parameters.find("prefix"); prefix != request.parameters.end() && prefix->second == "op/config") {
            const std::string config
                = R"({"version":1,"routes":[{"name":"quick","host":"a.example","prefix":"/p/","service":"s","priority":0,"maxAttempts":3}]})";
            items = R"({"key":"op/config","revision":1,"value":")" + toBase64(config) + R"("})";
        }
        exchange->reply({200, R"({"currentRev":1,"morePages":false,"items":[)" + items + "]}"});
    }

    EventLoop m_loop;
    std::vector<HttpExchangePointer> m_watches;
    HttpServer m_server;
    std::thread m_thread;
};

struct CrowdCase {
    const CrowdKind *crowd;
    Door door;

    friend std::ostream &operator<<(std::ostream &out, const CrowdCase &shown)
    {
        return out << shown.crowd->name << " at " << rowOf(shown.door).name;
    }
};

std::vector<CrowdCase> allCases()
{
    std::vector<CrowdCase> cases;
    for (const auto &crowd : crowds) {
        for (int door = 0; door < static_cast<int>(Door::End); ++door) {
            cases.push_back({&crowd, static_cast<Door>(door)});
        }
    }
    return cases;
}

} // namespace

class ClientLimitsTest : public testing::TestWithParam<CrowdCase>
{
protected:
    ClientLimitsTest()
    {
        for (auto &endpoint : m_endpoints) {
            endpoint = freeEndpoint();
        }
        const bool scheduler = isScheduler(GetParam().door);
        std::vector<std::string> flags{
            "--name=one", "--zone=z", "--region=r", "--log-format=json", "--platform=" + endpointToString(m_store.endpoint())};
        if (scheduler) {
            flags.insert(flags.end(),
                         {"--role=scheduler",
                          "--callers=" + textOf(Door::SchedulerCallers),
                          "--listen=" + textOf(Door::SchedulerListen),
                          "--readiness=" + textOf(Door::SchedulerReadiness)});
        } else {
            flags.insert(flags.end(),
                         {"--role=guard", "--listen=" + textOf(Door::GuardListen), "--announcements=" + textOf(Door::GuardAnnouncements)});
        }
        // As variables, which processes that do not know them pass over.
        const std::map<std::string, std::string> limits{{"SYCAMOREMOOR_MAX_HEAD_BYTES", std::to_string(HeadBytes)},
                                                        {"SYCAMOREMOOR_MAX_BODY_BYTES", std::to_string(BodyBytes)},
                                                        {"SYCAMOREMOOR_MEMORY_LIMIT_MB", std::to_string(MemoryMegabytes)},
                                                        {"SYCAMOREMOOR_DESCRIPTOR_LIMIT", std::to_string(Descriptors)}};
        m_process = std::make_unique<DaemonProcess>(flags, limits, Descriptors);
    }

    [[nodiscard]] std::string textOf(Door door) const
    {
        return endpointToString(endpointOf(door));
    }

    [[nodiscard]] const Endpoint &endpointOf(Door door) const
    {
        return m_endpoints.at(static_cast<std::size_t>(door));
    }

    [[nodiscard]] std::string ask(Door door) const
    {
        return askOnce(endpointOf(door), rowOf(door).ordinaryRequest);
    }

    /** Returns the addresses of the process under test. */
    static std::vector<Door> doors()
    {
        return isScheduler(GetParam().door) ? std::vector{Door::SchedulerCallers, Door::SchedulerListen, Door::SchedulerReadiness}
                                            : std::vector{Door::GuardListen, Door::GuardAnnouncements};
    }

    /** Waits until each address answers as it should. */
    [[nodiscard]] bool hasStarted() const
    {
        const auto end = std::chrono::steady_clock::now() + StartLimit;
        for (const auto door : doors()) {
            while (ask(door) != rowOf(door).answer) {
                if (std::chrono::steady_clock::now() > end) {
                    return false;
                }
                std::this_thread::sleep_for(std::chrono::milliseconds(20));
            }
        }
        return true;
    }

    StoreStandIn m_store;
    std::array<Endpoint, static_cast<std::size_t>(Door::End)> m_endpoints;
    std::unique_ptr<DaemonProcess> m_process;
};

TEST_P(ClientLimitsTest, OthersAreServedBesideTheCrowd)
{
    const auto &[kind, door] = GetParam();
    ASSERT_TRUE(hasStarted());
    const auto usualBytes = m_process->peakResidentBytes();
    const auto usualDescriptors = m_process->openDescriptors();

    ClientCrowd crowd(endpointOf(door), kind->connections);
    crowd.send(kind->bytes(door));
    ASSERT_TRUE(m_process->isAlive());
    const auto openDescriptors = m_process->openDescriptors();
    for (const auto each : doors()) {
        EXPECT_EQ(ask(each), rowOf(each).answer) << "at " << rowOf(each).name << ", beside the crowd";
    }

    ASSERT_TRUE(m_process->isAlive());
    EXPECT_LE(openDescriptors, std::min(usualDescriptors + kind->connections + doors().size(), Descriptors * 7 / 8));
    const auto peakBytes = m_process->peakResidentBytes();
    RecordProperty("usualKilobytes", static_cast<int>(usualBytes >> 10U));
    RecordProperty("peakKilobytes", static_cast<int>(peakBytes >> 10U));
    std::cout << "resident: " << (usualBytes >> 10U) << " KB before, " << (peakBytes >> 10U)
              << " KB at most; descriptors: " << usualDescriptors << " before, " << openDescriptors << " beside the crowd\n";
    if (ChecksMemory) {
        EXPECT_LE(peakBytes, usualBytes + kind->memoryBound);
        EXPECT_LE(peakBytes, SmallestMachineBytes);
    }
}

INSTANTIATE_TEST_SUITE_P(Crowds, ClientLimitsTest, testing::ValuesIn(allCases()), [](const auto &test) {
    return std::string(test.param.crowd->name) + "At" + rowOf(test.param.door).name;
});

} // namespace Sycamoremoor
