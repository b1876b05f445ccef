// The end of the log: a descriptor whose reader may be slow.
#include "patient_sink.h"

#include <poll.h>
#include <unistd.h>

#include <climits>
#include <utility>

namespace Sycamoremoor
{

PatientSink::PatientSink(int descriptor, TellLeftOut tellLeftOut)
    : m_descriptor(descriptor)
    , m_tellLeftOut(std::move(tellLeftOut))
{
}

void PatientSink::consume(const boost::log::record_view & /*record*/, const std::string &line)
{
    if (!isWritable()) {
        ++m_leftOut;
        return;
    }
    put(line);
    if (m_told < m_leftOut && isWritable()) {
        put(m_tellLeftOut(m_leftOut - m_told));
        m_told = m_leftOut;
    }
}

std::uint64_t PatientSink::leftOut() const
{
    return m_leftOut;
}

bool PatientSink::isWritable() const
{
    pollfd writable{m_descriptor, POLLOUT, 0};
    return poll(&writable, 1, 0) == 1 && (writable.revents & POLLOUT) != 0;
}

void PatientSink::put(std::string line) const
{
    // A pipe that is writable takes so much without waiting.
    if (line.size() >= PIPE_BUF) {
        line.resize(PIPE_BUF - 1);
    }
    line += '\n';
    if (write(m_descriptor, line.data(), line.size()) < 0) {
        return; // there is no other place to tell of a log that is gone
    }
}

} // namespace Sycamoremoor
