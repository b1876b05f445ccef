// Straight line through measured points.
#include "linear_fit.h"

#include <gsl/gsl_fit.h>

#include <cmath>

namespace Sycamoremoor
{

LinearFit fitLine(const std::vector<SlopePoint> &points)
{
    constexpr std::size_t Stride = sizeof(SlopePoint) / sizeof(double);
    LinearFit fit;
    double varianceIntercept = 0;
    double covariance = 0;
    double varianceSlope = 0;
    double residuals = 0;
    gsl_fit_linear(&points.front().size,
                   Stride,
                   &points.front().value,
                   Stride,
                   points.size(),
                   &fit.intercept,
                   &fit.slope,
                   &varianceIntercept,
                   &covariance,
                   &varianceSlope,
                   &residuals);
    fit.slopeError = std::sqrt(varianceSlope);
    return fit;
}

} // namespace Sycamoremoor
