// One watch on a connection of its own.
#pragma once

#include <sycamoremoor/gateway/http_connection.h>

#include <sycamoremoor/gateway/key_value_type.h>

#include <memory>
#include <string>

namespace Sycamoremoor
{

/** Reads the lines of a watch and hands on their events. */
class WatchStream
{
public:
    WatchStream(std::unique_ptr<HttpConnection> connection, WatchHooks hooks);

    /** Sends the request that creates the watch. */
    void start(const std::string &body);

    /** Calls no hook from now on. */
    void silence();

private:
    void takeChunk(const std::string &chunk);
    void takeLine(const std::string &line);
    void end(const std::string &error);

    std::unique_ptr<HttpConnection> m_connection;
    WatchHooks m_hooks;
    std::string m_buffer; ///< the start of a line
};

} // namespace Sycamoremoor
