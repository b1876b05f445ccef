// Checks that docs/CONFIGURATION.md lists every configuration field with its unit, range and default.
#include <sycamoremoor/core/table/config_table.h>

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <string>

namespace Sycamoremoor
{

namespace
{

std::string configurationPage()
{
    std::ifstream file(SYCAMOREMOOR_GOLDEN_DIR "/../../../docs/CONFIGURATION.md");
    return {std::istreambuf_iterator<char>(file), {}};
}

template<typename Record, typename Table>
void expectRows(const std::string &page, const Table &table)
{
    for (const auto &row : table) {
        const auto line = "| `" + std::string(row.name) + "` | " + std::string(row.unit) + " | " + std::to_string(row.least) + " | "
            + std::to_string(row.most) + " | " + std::to_string(row.read(Record())) + " | " + std::string(row.help) + " |\n";
        EXPECT_NE(page.find(line), std::string::npos) << "not in docs/CONFIGURATION.md: " << line;
    }
}

} // namespace

TEST(ConfigTableTest, EveryFieldIsDocumentedAndItsDefaultIsInRange)
{
    const auto page = configurationPage();
    expectRows<ServiceRecord>(page, ServiceFieldTable);
    expectRows<TeamRecord>(page, TeamFieldTable);
    expectRows<PolicyRecord>(page, PolicyFieldTable);
}

} // namespace Sycamoremoor
