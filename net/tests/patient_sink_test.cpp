// A log whose reader is slow.
#include "../src/patient_sink.h"

#include <boost/log/core/record_view.hpp>

#include <gtest/gtest.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <string>

namespace Sycamoremoor
{

TEST(PatientSinkTest, LeavesLinesOutInsteadOfWaiting)
{
    std::array<int, 2> ends{};
    ASSERT_EQ(pipe(ends.data()), 0);
    constexpr int PipeBytes = 8'192;
    fcntl(ends[1], F_SETPIPE_SZ, PipeBytes);
    PatientSink sink(ends[1], [](std::uint64_t lines) { return std::to_string(lines) + " lines were left out"; });
    const std::string line(1'000, 'x');
    constexpr int Lines = 100;
    for (int number = 0; number < Lines; ++number) {
        sink.consume({}, line); // would hang in a write to a full pipe
    }
    const auto leftOut = sink.leftOut();
    EXPECT_GT(leftOut, 0U);
    std::string read(PipeBytes, '\0');
    read.resize(static_cast<std::size_t>(::read(ends[0], read.data(), read.size())));
    EXPECT_EQ(std::ranges::count(read, '\n'), static_cast<std::ptrdiff_t>(Lines - leftOut));
    sink.consume({}, line);
    std::string later(PipeBytes, '\0');
    later.resize(static_cast<std::size_t>(::read(ends[0], later.data(), later.size())));
    EXPECT_NE(later.find(std::to_string(leftOut) + " lines were left out"), std::string::npos) << later;
    close(ends[0]);
    close(ends[1]);
}

} // namespace Sycamoremoor
