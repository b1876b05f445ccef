// One process with lowered limits, beside a store.
#include "limited_process.h"

#include "client_crowd.h"
#include "test_limits_type.h"

#include <sycamoremoor/wire/text_codec.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <string_view>
#include <thread>
#include <vector>

namespace Sycamoremoor
{

namespace
{

constexpr auto StartLimit = std::chrono::seconds(60); ///< beyond any delay of a busy machine

} // namespace

LimitedProcess::LimitedProcess(Door door)
    : m_doors(doorsBeside(door))
{
    const std::string role = rowOf(door).role;
    std::vector<std::string> flags{"--role=" + role, "--name=one", "--zone=z", "--region=r", "--log-format=json"};
    if (role == "agent") {
        const auto other = endpointToString(m_store.endpoint()); // answers, though not as an entry or an upstream does
        flags.insert(flags.end(), {"--upstream=" + other, "--entries=" + other, "--service=s"});
    } else {
        flags.push_back("--platform=" + endpointToString(m_store.endpoint()));
    }
    for (const auto each : m_doors) {
        auto &endpoint = m_endpoints.at(static_cast<std::size_t>(each));
        endpoint = freeEndpoint();
        flags.push_back(std::string(rowOf(each).flag) + "=" + endpointToString(endpoint));
    }
    // As variables, which processes that do not know them pass over.
    const std::map<std::string, std::string> limits{
        {"SYCAMOREMOOR_MAX_HEAD_BYTES", std::to_string(TestLimits::HeadBytes)},
        {"SYCAMOREMOOR_MAX_BODY_BYTES", std::to_string(TestLimits::BodyBytes)},
        {"SYCAMOREMOOR_MEMORY_LIMIT_MB", std::to_string(TestLimits::MemoryMegabytes)},
        {"SYCAMOREMOOR_DRAIN_TIMEOUT_MS", std::to_string(TestLimits::DrainTimeout.count())},
        {"SYCAMOREMOOR_DESCRIPTOR_LIMIT", std::to_string(TestLimits::Descriptors)},
    };
    m_process = std::make_unique<DaemonProcess>(flags, limits, TestLimits::Descriptors);
}

bool LimitedProcess::hasStarted() const
{
    const auto end = std::chrono::steady_clock::now() + StartLimit;
    for (const auto door : m_doors) {
        while (ask(door) != rowOf(door).answer) {
            if (std::chrono::steady_clock::now() > end) {
                return false;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }
    return true;
}

const Endpoint &LimitedProcess::endpoint(Door door) const
{
    return m_endpoints.at(static_cast<std::size_t>(door));
}

std::string LimitedProcess::ask(Door door) const
{
    return askOnce(endpoint(door), rowOf(door).ordinaryRequest);
}

std::size_t LimitedProcess::unreadBytes() const
{
    std::size_t bytes = 0;
    for (const auto door : m_doors) {
        bytes += unreadBytesAt(endpoint(door));
    }
    return bytes;
}

DaemonProcess &LimitedProcess::process()
{
    return *m_process;
}

} // namespace Sycamoremoor
