// Straight line through measured points.
#pragma once

#include <string>
#include <vector>

namespace Sycamoremoor
{

/** One measurement: what it took at a size. */
struct SlopePoint {
    double size = 0;
    double value = 0;
};

/** The line value = intercept + slope * size, by least squares. */
struct LinearFit {
    double intercept = 0;
    double slope = 0;
    double slopeError = 0; ///< standard error of the slope
};

/** Fits a line. @param points at least three, of different sizes */
LinearFit fitLine(const std::vector<SlopePoint> &points);

/** A quantity measured at several sizes. */
struct Slope {
    std::string name;
    std::string unit; ///< of the value, per one of the size
    std::vector<SlopePoint> points;
};

} // namespace Sycamoremoor
