// Command losses: how the jobs of schedulers ended, by cause, from their logs.
#include "commands.h"
#include "loss_count.h"
#include "options.h"
#include "text_table.h"

#include <nlohmann/json.hpp>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iostream>

namespace Sycamoremoor
{

namespace
{

void readLines(std::istream &stream, LossCount &count)
{
    for (std::string line; std::getline(stream, line);) {
        count.add(line);
    }
}

void printJson(const LossCount &count)
{
    nlohmann::json queues = nlohmann::json::object();
    for (const auto &[queue, fates] : count.byQueue()) {
        for (std::size_t fate = 0; fate < JobFates; ++fate) {
            queues[queue][std::string(jobFateText(static_cast<JobFate>(fate)))] = fates.at(fate);
        }
    }
    std::cout << nlohmann::json{{"queues", queues}, {"lines_left_out", count.leftOut()}}.dump(2) << "\n";
}

void printTable(const LossCount &count)
{
    std::vector<std::string> titles{"how jobs ended"};
    for (const auto &[queue, fates] : count.byQueue()) {
        titles.push_back(queue.empty() ? "(no queue)" : queue);
    }
    titles.emplace_back("all");
    TextTable table(titles);
    for (std::size_t fate = 0; fate < JobFates; ++fate) {
        std::uint64_t sum = 0;
        std::vector<std::string> cells{std::string(jobFateText(static_cast<JobFate>(fate)))};
        for (const auto &[queue, fates] : count.byQueue()) {
            sum += fates.at(fate);
            cells.push_back(std::to_string(fates.at(fate)));
        }
        cells.push_back(std::to_string(sum));
        table.add(cells);
    }
    table.print(std::cout);
    if (count.leftOut() > 0) {
        std::cout << "The logs left out " << count.leftOut() << " lines; jobs that they told of are missing above.\n";
    }
}

} // namespace

ExitCode lossesCommand(const Options &options)
{
    LossCount count;
    for (const auto &name : options.operands()) {
        if (name == "-") {
            readLines(std::cin, count);
            continue;
        }
        std::ifstream file(name);
        if (!file) {
            std::cerr << "sycamorectl losses: " << name << ": " << std::strerror(errno) << "\n"; // NOLINT(concurrency-mt-unsafe)
            return ExitCode::Usage;
        }
        readLines(file, count);
    }
    if (options.isSet("json")) {
        printJson(count);
    } else {
        printTable(count);
    }
    return ExitCode::Done;
}

} // namespace Sycamoremoor
