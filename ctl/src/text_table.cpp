// Tables for people.
#include "text_table.h"

#include <algorithm>
#include <iomanip>
#include <ostream>
#include <utility>

namespace Sycamoremoor
{

TextTable::TextTable(std::vector<std::string> titles)
    : m_rows{std::move(titles)}
{
}

void TextTable::add(std::vector<std::string> cells)
{
    m_rows.push_back(std::move(cells));
}

void TextTable::print(std::ostream &stream) const
{
    std::vector<std::size_t> widths(m_rows.front().size());
    for (const auto &row : m_rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    for (const auto &row : m_rows) {
        std::string line;
        for (std::size_t column = 0; column < row.size(); ++column) {
            line += row[column] + std::string(widths[column] - row[column].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        stream << line << "\n";
    }
}

} // namespace Sycamoremoor
