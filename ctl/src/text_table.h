// Tables for people.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace Sycamoremoor
{

/** Rows of text in columns that are as wide as their widest cell. */
class TextTable
{
public:
    explicit TextTable(std::vector<std::string> titles);

    void add(std::vector<std::string> cells);
    void print(std::ostream &stream) const;

private:
    std::vector<std::vector<std::string>> m_rows; ///< the titles first
};

} // namespace Sycamoremoor
