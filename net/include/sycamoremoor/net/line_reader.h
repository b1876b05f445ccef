// Cuts a streamed answer into lines.
#pragma once

#include <string>
#include <string_view>

namespace Sycamoremoor
{

/** Keeps the beginning of a line until its end has come. */
class LineReader
{
public:
    /** Takes @p part in and calls @p line for every line that is whole, without its line break. */
    template<typename Line>
    void take(std::string_view part, const Line &line)
    {
        for (auto end = part.find('\n'); end != std::string_view::npos; end = part.find('\n')) {
            m_begun.append(part.substr(0, end));
            part.remove_prefix(end + 1);
            line(std::string_view(m_begun));
            m_begun.clear();
        }
        m_begun.append(part);
    }

private:
    std::string m_begun;
};

} // namespace Sycamoremoor
