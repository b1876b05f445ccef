// Estimates the run time of tasks by service and kind.
#pragma once

#include <sycamoremoor/core/id_type.h>
#include <sycamoremoor/core/time_type.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <unordered_map>

namespace Sycamoremoor
{

/**
 * Estimates run times from observed ones, since declared ones may be far off.
 *
 * It has two predictors for each kind: the mean run time, and the mean ratio of run time to declaration. The one with the
 * smaller variance so far is used. The number of kinds is bounded; the least recently used one is dropped first.
 */
class RunTimeEstimator
{
public:
    /** Updates the estimate by an observed run time. @param declared run time that the caller declared */
    void learn(const ServiceName &service, const TaskKind &kind, Duration declared, Duration observed);

    /** Returns the expected run time: the mean of the observed ones, weighted with @p declared while samples are few. */
    [[nodiscard]] Duration expected(const ServiceName &service, const TaskKind &kind, Duration declared) const;

    /** Returns a run time that nearly all tasks reach or exceed; zero while there are too few samples. */
    [[nodiscard]] Duration lowerBound(const ServiceName &service, const TaskKind &kind, Duration declared) const;

    /** Returns the number of kinds with an estimate. */
    [[nodiscard]] std::size_t size() const;

private:
    /** Moving mean and variance of a logarithm of microseconds or of a ratio. */
    struct Predictor {
        double mean = 0;
        double variance = 0;

        void learn(double value, double weight);
    };

    /** Estimate of one kind. */
    struct Kind {
        Predictor runTime;
        Predictor ratio; ///< of run time to declaration
        std::uint32_t samples = 0;
        std::list<const std::string *>::iterator lruPosition;
    };

    /** Predicted logarithm of the run time in microseconds. */
    struct Forecast {
        double mean = 0;
        double variance = 0;
        std::uint32_t samples = 0;
    };

    static std::string nameOf(const ServiceName &service, const TaskKind &kind);
    Kind &touch(const std::string &name);
    [[nodiscard]] Forecast forecast(const ServiceName &service, const TaskKind &kind, Duration declared) const;

    std::unordered_map<std::string, Kind> m_kinds;
    std::list<const std::string *> m_byRecency; ///< names of the kinds, most recently used first
};

} // namespace Sycamoremoor
