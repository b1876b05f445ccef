// The end of the log: a descriptor whose reader may be slow.
#pragma once

#include <boost/log/sinks/basic_sink_backend.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace Sycamoremoor
{

/** A backend of Boost.Log that writes lines to a descriptor and leaves out those that would have to wait. */
class PatientSink : public boost::log::sinks::basic_formatted_sink_backend<char>
{
public:
    /** Returns the line that tells of a number of lines that were left out. */
    using TellLeftOut = std::function<std::string(std::uint64_t lines)>;

    PatientSink(int descriptor, TellLeftOut tellLeftOut);

    /** Called by the library with each line, one at a time. */
    void consume(const boost::log::record_view &record, const std::string &line);

    /** Returns how many lines were left out. */
    [[nodiscard]] std::uint64_t leftOut() const;

private:
    [[nodiscard]] bool isWritable() const;
    void put(std::string line) const;

    int m_descriptor;
    TellLeftOut m_tellLeftOut;
    std::uint64_t m_leftOut = 0;
    std::uint64_t m_told = 0; ///< of those left out, how many the log tells of
};

} // namespace Sycamoremoor
