// One process with lowered limits, beside a store.
#pragma once

#include "daemon_process.h"
#include "door_type.h"
#include "store_stand_in.h"

#include <sycamoremoor/core/endpoint_type.h>

#include <array>
#include <cstddef>
#include <memory>
#include <string>

namespace Sycamoremoor
{

/** Starts a process of one role under the limits of the tests. */
class LimitedProcess
{
public:
    /** Starts the process that has @p door. */
    explicit LimitedProcess(Door door);

    /** Waits until each address answers as it should. */
    [[nodiscard]] bool hasStarted() const;

    [[nodiscard]] const Endpoint &endpoint(Door door) const;

    /** Sends the ordinary request of @p door. @return the first line of the answer, empty if none came */
    [[nodiscard]] std::string ask(Door door) const;

    /** Returns how many bytes its sockets have received and it has not read. */
    [[nodiscard]] std::size_t unreadBytes() const;

    [[nodiscard]] DaemonProcess &process();

private:
    StoreStandIn m_store;
    std::span<const Door> m_doors;
    std::array<Endpoint, DoorCount> m_endpoints;
    std::unique_ptr<DaemonProcess> m_process;
};

} // namespace Sycamoremoor
