// That PoolOnceTest would notice the absence of each rule by which no task runs twice at the same time.
#include "pool_once_faults.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <ostream>
#include <string>

namespace Sycamoremoor
{

namespace
{

constexpr Duration CheckInterval = std::chrono::seconds(1);
constexpr Duration GuardRestart = std::chrono::milliseconds(700); ///< longer than a guard that was killed is down
constexpr Duration KillDelay = std::chrono::milliseconds(100);    ///< from the start of a fault until the guard is killed within it
constexpr Duration Straggling = std::chrono::milliseconds(1'500);
constexpr Duration ShortestLapse = std::chrono::milliseconds(1'200); ///< of a silence: until the guard takes the runs for ended
constexpr Duration LongestLapse = std::chrono::milliseconds(1'600);

void killGuardSoon(PoolSimulation &simulation, std::uint32_t worker)
{
    simulation.at(simulation.time() + KillDelay, [&simulation, worker] { simulation.killGuard(worker); });
}

void holdUpBatchesOfAll(PoolSimulation &simulation, std::uint32_t worker, Duration duration)
{
    for (std::uint32_t scheduler = 0; scheduler < Schedulers; ++scheduler) {
        simulation.holdUpBatches(scheduler, worker, duration);
    }
}

/** Faults that PoolOnceTest does not play and that some rules answer. */
constexpr std::array RuleFaults{
    OnceFault{"GuardIsKilled",
              0.08,
              [](PoolSimulation &simulation, std::uint32_t worker, std::uint32_t) {
                  simulation.killGuard(worker);
              }},
    OnceFault{"BatchIsOvertakenByRecall",
              0,
              [](PoolSimulation &simulation, std::uint32_t worker, std::uint32_t) {
                  holdUpBatchesOfAll(simulation, worker, randomDuration(simulation));
              }},
    OnceFault{"BatchArrivesAfterGuardWasKilled",
              0,
              [](PoolSimulation &simulation, std::uint32_t worker, std::uint32_t) {
                  holdUpBatchesOfAll(simulation, worker, GuardRestart);
                  killGuardSoon(simulation, worker);
              }},
    OnceFault{"AnswersOfRunnerAreLost",
              0,
              [](PoolSimulation &simulation, std::uint32_t worker, std::uint32_t) {
                  simulation.muteRunner(worker, randomDuration(simulation));
              }},
    OnceFault{"StartArrivesAfterGuardWasKilled",
              0,
              [](PoolSimulation &simulation, std::uint32_t worker, std::uint32_t) {
                  simulation.silenceRunner(worker, GuardRestart, Straggling);
                  killGuardSoon(simulation, worker);
              }},
    OnceFault{"StartArrivesAfterSilentRunnerAnswersAgain",
              0,
              [](PoolSimulation &simulation, std::uint32_t worker, std::uint32_t) {
                  std::uniform_int_distribution<std::int64_t> duration(ShortestLapse.count(), LongestLapse.count());
                  simulation.silenceRunner(worker, Duration(duration(simulation.random())), Straggling);
              }},
    OnceFault{"OrderIsLostAtSilentRunner",
              0.2,
              [](PoolSimulation &simulation, std::uint32_t worker, std::uint32_t) {
                  simulation.silenceRunner(worker, randomDuration(simulation));
              }},
};

const OnceFault &faultOf(const std::string &name)
{
    const auto hasName = [&](const OnceFault &fault) {
        return fault.name == name;
    };
    if (const auto own = std::ranges::find_if(RuleFaults, hasName); own != RuleFaults.end()) {
        return *own;
    }
    return *std::ranges::find_if(OnceFaults, hasName);
}

bool hasSecondRun(const PoolSimulation &simulation)
{
    return std::ranges::any_of(simulation.violations(), [](const std::string &violation) {
        return violation.find("runs on two workers at once") != std::string::npos;
    });
}

/** What comes of a fault while rules are switched off. */
enum class RuleEffect {
    SecondRun,
    None, ///< another rule closes the way, or none leads to a second run
};

struct RuleRow {
    const char *name;
    PoolRules rulesOff;
    const char *fault;
    RuleEffect effect = RuleEffect::SecondRun;
    const char *closedBy = ""; ///< why there is no second run
};

const std::array ruleRows{
    RuleRow{"ReceiveBy",
            {PoolRule::ReceiveBy},
            "JobSentToOtherSchedulerWhileCancelIsHeldUp",
            RuleEffect::None,
            "BatchLease: a batch whose lease has ended starts nothing"},
    RuleRow{"BatchLease", {PoolRule::BatchLease}, "JobSentToOtherSchedulerAfterFirstVanished"},
    RuleRow{"RenewalTime", {PoolRule::RenewalTime}, "JobSentToOtherSchedulerAfterFirstVanished"},
    RuleRow{"ReportClock", {PoolRule::ReportClock}, "JobSentToOtherSchedulerAfterFirstVanished"},
    RuleRow{"HangUp",
            {PoolRule::HangUp},
            "JobSentToOtherSchedulerWhileFirstIsFrozen",
            RuleEffect::None,
            "RecallAnswer: the batches of a job that its callers left are recalled"},
    RuleRow{"HangUpAndRecallAnswer", {PoolRule::HangUp, PoolRule::RecallAnswer}, "JobSentToOtherSchedulerWhileFirstIsFrozen"},
    RuleRow{"RecallAnswerWhenSentAgainAtOnce", {PoolRule::RecallAnswer}, "JobSentAgainAtOnceToSameScheduler"},
    RuleRow{"RecallIncarnation", {PoolRule::RecallIncarnation}, "GuardIsKilled"},
    RuleRow{"RecallAnswer", {PoolRule::RecallAnswer}, "RunGoesOnAfterBreakThatOnlySchedulerSaw"},
    RuleRow{"RecallAnswerOfFrozenGuard", {PoolRule::RecallAnswer}, "GuardWakesAfterBatchWasGivenUp"},
    RuleRow{"RecallMemory", {PoolRule::RecallMemory}, "BatchIsOvertakenByRecall"},
    RuleRow{"RunnerLease", {PoolRule::RunnerLease}, "StartArrivesLateAtSilentRunner"},
    RuleRow{"LapseBound", {PoolRule::LapseBound}, "StartArrivesLateAtSilentRunner"},
    RuleRow{"SilenceEndsLease", {PoolRule::SilenceEndsLease}, "AnswersOfRunnerAreLost"},
    RuleRow{"StopConfirmed", {PoolRule::StopConfirmed}, "OrderIsLostAtSilentRunner"},
    RuleRow{"StopIsFinal", {PoolRule::StopIsFinal}, "StopArrivesLateAfterBreakThatBothSaw"},
    RuleRow{"CompleteList", {PoolRule::CompleteList}, "RunGoesOnAfterBreakThatGuardSawLate"},
    RuleRow{"ListAskedForAfter", {PoolRule::ListAskedForAfter}, "StopArrivesLateAfterBreakThatGuardSawLate"},
    RuleRow{"FencingToken", {PoolRule::FencingToken}, "StartArrivesAfterGuardWasKilled"},
    RuleRow{"RaisedToken", {PoolRule::RaisedToken}, "StartArrivesAfterSilentRunnerAnswersAgain"},
    RuleRow{"EarlierRuns", {PoolRule::EarlierRuns}, "GuardIsKilled"},
    RuleRow{"ProbeIsRefused",
            {PoolRule::ProbeIsRefused},
            "StartArrivesLateAtSilentRunner",
            RuleEffect::None,
            "RunnerLease: refused probes raise only a suspicion"},
    RuleRow{"RunnerLeaseBehindBrokenPath", {PoolRule::RunnerLease}, "RunGoesOnBehindPathThatResetsAndRefuses"},
    RuleRow{"LapseBoundBehindBrokenPath", {PoolRule::LapseBound}, "RunGoesOnBehindPathThatResetsAndRefuses"},
    RuleRow{"ProbeIsRefusedAfterGoodbye",
            {PoolRule::ProbeIsRefused},
            "GoodbyeOfEarlierBootArrivesWhileRunnerLives",
            RuleEffect::None,
            "refused probes raise only a suspicion"},
    RuleRow{"ProbeIsRefusedAfterAnnouncement",
            {PoolRule::ProbeIsRefused},
            "AnnouncementOfLaterBootArrivesWhileRunnerLives",
            RuleEffect::None,
            "refused probes raise only a suspicion"},
    RuleRow{"ListNamesBoot", {PoolRule::ListNamesBoot}, "AnnouncementOfLaterBootArrivesWhileRunnerLives"},
    RuleRow{"RefusalNamesBoot", {PoolRule::RefusalNamesBoot}, "StartArrivesLateAtSilentRunner"},
    RuleRow{"BatchIncarnation",
            {PoolRule::BatchIncarnation},
            "BatchArrivesAfterGuardWasKilled",
            RuleEffect::None,
            "ReceiveBy: a guard is down for longer than a batch may be on its way"},
    RuleRow{"BatchIncarnationAndReceiveBy", {PoolRule::BatchIncarnation, PoolRule::ReceiveBy}, "BatchArrivesAfterGuardWasKilled"},
    RuleRow{"ReceiveByAfterGuardWasKilled", {PoolRule::ReceiveBy}, "BatchArrivesAfterGuardWasKilled", RuleEffect::None, "BatchIncarnation"},
    RuleRow{"ReceiveByAfterRecall", {PoolRule::ReceiveBy}, "BatchIsOvertakenByRecall", RuleEffect::None, "RecallMemory"},
    RuleRow{"Expiry", {PoolRule::Expiry}, "JobSentToOtherSchedulerAfterFirstVanished", RuleEffect::None, "BatchLease"},
    RuleRow{"StartWithin", {PoolRule::StartWithin}, "JobSentToOtherSchedulerAfterFirstVanished", RuleEffect::None, "BatchLease"},
    RuleRow{"RunLimit", {PoolRule::RunLimit}, "JobSentToOtherSchedulerAfterFirstVanished", RuleEffect::None, "BatchLease"},
};

std::ostream &operator<<(std::ostream &stream, const RuleRow &row)
{
    return stream << row.name << " with " << row.fault;
}

} // namespace

class PoolOnceRuleFaultTest : public testing::TestWithParam<OnceFault>
{
};

TEST_P(PoolOnceRuleFaultTest, HoldsInvariantsWithAllRulesOn)
{
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        PoolSimulation simulation(onceSettingsOf(GetParam(), seed));
        addOnceFault(simulation, GetParam());
        simulation.runUntil(FaultTime + QuietTime);
        ASSERT_EQ(simulation.violations(), std::vector<std::string>()) << "seed " << seed;
        ASSERT_EQ(simulation.openCallerCount(), 0U) << "seed " << seed;
        for (std::uint32_t worker = 0; worker < Workers; ++worker) {
            ASSERT_EQ(simulation.runCount(worker), 0U) << "seed " << seed;
        }
    }
}

INSTANTIATE_TEST_SUITE_P(Faults, PoolOnceRuleFaultTest, testing::ValuesIn(RuleFaults), [](const auto &test) { return test.param.name; });

class PoolOnceRuleTest : public testing::TestWithParam<RuleRow>
{
};

TEST_P(PoolOnceRuleTest, ShowsSecondRunWithoutRule)
{
    const auto &row = GetParam();
    const auto &fault = faultOf(row.fault);
    bool secondRun = false;
    for (std::uint64_t seed = 1; seed <= Seeds && !secondRun; ++seed) {
        auto settings = onceSettingsOf(fault, seed);
        settings.rulesOff = row.rulesOff;
        PoolSimulation simulation(settings);
        addOnceFault(simulation, fault);
        for (auto time = CheckInterval; time <= FaultTime + QuietTime && !secondRun; time += CheckInterval) {
            simulation.runUntil(time);
            secondRun = hasSecondRun(simulation);
        }
        if (secondRun && row.effect == RuleEffect::None) {
            ADD_FAILURE() << "seed " << seed << ": a second run, although the way was closed by: " << row.closedBy;
        }
    }
    EXPECT_EQ(secondRun, row.effect == RuleEffect::SecondRun) << "with " << Seeds << " seeds";
}

INSTANTIATE_TEST_SUITE_P(Rules, PoolOnceRuleTest, testing::ValuesIn(ruleRows), [](const auto &test) { return test.param.name; });

} // namespace Sycamoremoor
