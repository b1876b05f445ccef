// Learns how long tasks run, by service and kind.
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
 * Expects run times from those observed, instead of those declared.
 *
 * For each kind it keeps two predictors: the usual run time, and the usual ratio of run time to declaration.
 * The one with the lesser error so far is used. Kinds are bounded in number; the one unused for longest goes first.
 */
class RunTimeEstimator
{
public:
    /** Takes in an observed run time. @param declared by the caller */
    void learn(const ServiceName &service, const TaskKind &kind, Duration declared, Duration observed);

    /** Returns the mean run time to expect; the declaration while nothing is known. */
    [[nodiscard]] Duration expected(const ServiceName &service, const TaskKind &kind, Duration declared) const;

    /** Returns a run time that nearly all tasks reach or exceed; zero while little is known. */
    [[nodiscard]] Duration lowerBound(const ServiceName &service, const TaskKind &kind, Duration declared) const;

    /** Returns the number of kinds that are remembered. */
    [[nodiscard]] std::size_t size() const;

private:
    /** Moving mean and variance of a logarithm. */
    struct Predictor {
        double mean = 0;
        double variance = 0;

        void learn(double value, double weight);
    };

    /** What is known of a kind. */
    struct Kind {
        Predictor runTime;
        Predictor ratio; ///< of run time to declaration
        std::uint32_t samples = 0;
        std::list<const std::string *>::iterator lruPosition;
    };

    /** What to expect: the logarithm of microseconds. */
    struct Forecast {
        double mean = 0;
        double variance = 0;
        std::uint32_t samples = 0;
    };

    static std::string nameOf(const ServiceName &service, const TaskKind &kind);
    Kind &touch(const std::string &name);
    [[nodiscard]] Forecast forecast(const ServiceName &service, const TaskKind &kind, Duration declared) const;

    std::unordered_map<std::string, Kind> m_kinds;
    std::list<const std::string *> m_byRecency; ///< last used first
};

} // namespace Sycamoremoor
