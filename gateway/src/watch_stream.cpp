// One watch: lines of JSON on an answer that does not end.
#include "watch_stream.h"

#include "gateway_codec.h"

#include <utility>

namespace Sycamoremoor
{

WatchStream::WatchStream(std::unique_ptr<HttpConnection> connection, WatchHooks hooks)
    : m_connection(std::move(connection))
    , m_hooks(std::move(hooks))
{
}

void WatchStream::start(const std::string &body)
{
    m_connection->send({.path = "/v3/watch", .body = body},
                       Duration::zero(),
                       {.ended = [this](const HttpReply &) { end("the connection ended"); },
                        .chunk =
                            [this](const std::string &chunk) {
                                takeChunk(chunk);
                            }});
}

void WatchStream::silence()
{
    m_hooks = {};
}

void WatchStream::takeChunk(const std::string &chunk)
{
    m_buffer += chunk;
    std::size_t begin = 0;
    for (auto end = m_buffer.find('\n'); end != std::string::npos; end = m_buffer.find('\n', begin)) {
        takeLine(m_buffer.substr(begin, end - begin));
        begin = end + 1;
    }
    m_buffer.erase(0, begin);
}

void WatchStream::takeLine(const std::string &line)
{
    if (line.empty()) {
        return;
    }
    WatchEvents events;
    bool canceled = false;
    if (!decodeWatch(line, events, canceled)) {
        end("the answer is not of the documented shape");
    } else if (canceled) {
        end("the service ended the watch");
    } else if (const auto delivered = m_hooks.delivered) {
        delivered(events);
    }
}

void WatchStream::end(const std::string &error)
{
    if (const auto ended = std::exchange(m_hooks, {}).ended) {
        ended(error);
    }
}

} // namespace Sycamoremoor
