// Prints the slopes behind docs/CAPACITY.md, with the points they were fitted to.
#include "slope_measures.h"

#include <cstdio>

using namespace Sycamoremoor;

namespace
{

void print(const Slope &slope)
{
    const auto fit = fitLine(slope.points);
    std::printf("| %s | %.2f ± %.2f %s | %.0f |", slope.name.c_str(), fit.slope, fit.slopeError, slope.unit.c_str(), fit.intercept);
    for (const auto &[size, value] : slope.points) {
        std::printf(" %.0f: %.0f", size, value);
    }
    std::printf(" |\n");
}

} // namespace

int main()
{
    std::printf("| quantity | slope and its standard error | at size 0 | size: value |\n| --- | --- | --- | --- |\n");
    for (const auto &slope : measureEntry()) {
        print(slope);
    }
    for (const auto &slope : measureAgent()) {
        print(slope);
    }
    return 0;
}
