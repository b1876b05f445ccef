// Settings: every wrong value is refused by flag, value and what is allowed.
#include "option_reader.h"
#include "table/option_table.h"

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

namespace Sycamoremoor
{

namespace
{

using Variables = std::map<std::string, std::string>;

const std::vector<std::string> entryFlags{
    "--role=entry", "--name=entry-1", "--listen=127.0.0.1:8001", "--zone=trnava-a", "--region=sk-west", "--platform=127.0.0.1:2379"};
const std::vector<std::string> agentFlags{"--role=agent",
                                          "--name=agent-1",
                                          "--listen=127.0.0.1:8002",
                                          "--zone=trnava-a",
                                          "--region=sk-west",
                                          "--entries=127.0.0.1:8001",
                                          "--upstream=127.0.0.1:8003",
                                          "--service=reclaim-desk"};

const std::vector<std::string> schedulerFlags{"--role=scheduler",
                                              "--name=front-1",
                                              "--listen=127.0.0.1:8004",
                                              "--callers=127.0.0.1:8005",
                                              "--readiness=127.0.0.1:8006",
                                              "--zone=trnava-a",
                                              "--region=sk-west",
                                              "--platform=127.0.0.1:2379"};
const std::vector<std::string> guardFlags{"--role=guard",
                                          "--name=side-1",
                                          "--listen=127.0.0.1:8007",
                                          "--announcements=127.0.0.1:8008",
                                          "--zone=trnava-a",
                                          "--region=sk-west",
                                          "--platform=127.0.0.1:2379"};

std::vector<std::string> readArguments(std::vector<std::string> arguments, const Variables &variables, DaemonSettings &settings)
{
    arguments.insert(arguments.begin(), "sycamoremoord");
    std::vector<char *> pointers;
    pointers.reserve(arguments.size());
    for (auto &argument : arguments) {
        pointers.push_back(argument.data());
    }
    const auto environment = [&variables](const std::string &name) {
        const auto found = variables.find(name);
        return found == variables.end() ? std::nullopt : std::optional<std::string>(found->second);
    };
    return readSettings(static_cast<int>(pointers.size()), pointers.data(), environment, settings);
}

std::string joined(const std::vector<std::string> &errors)
{
    std::string text;
    for (const auto &error : errors) {
        text += error + "\n";
    }
    return text;
}

struct WrongSetting {
    const char *name;
    const char *flag;    ///< added to those of an agent
    const char *message; ///< part of what is told
};

constexpr std::array WrongSettings{
    WrongSetting{"Role", "--role=owner", "--role: \"owner\" is not allowed; it must be entry, agent, scheduler or guard."},
    WrongSetting{"EmptyName", "--name=", "--name: \"\" is not allowed; it must be 1 to 128 letters"},
    WrongSetting{"NameWithBlank", "--name=a b", "--name: \"a b\" is not allowed"},
    WrongSetting{"HostName", "--listen=localhost:80", "--listen: \"localhost:80\" is not allowed; it must be IP:PORT"},
    WrongSetting{"EmptyEntry", "--entries=127.0.0.1:1,", "--entries: \"127.0.0.1:1,\" is not allowed"},
    WrongSetting{
        "FollowedZero", "--followed-workers=0", "--followed-workers: \"0\" is not allowed; it must be a whole number from 1 to 100000."},
    WrongSetting{"FollowedNegative", "--followed-workers=-1", "--followed-workers: \"-1\" is not allowed"},
    WrongSetting{"SlotsZero", "--slots=0", "--slots: \"0\" is not allowed; it must be a whole number from 1 to 100000."},
    WrongSetting{"SlotsText", "--slots=8x", "--slots: \"8x\" is not allowed"},
    WrongSetting{"CoresHuge", "--cores=99999999999999999999", "is not allowed; it must be a whole number from 1 to 4096."},
    WrongSetting{"Heartbeat", "--heartbeat-ms=0", "--heartbeat-ms: \"0\" is not allowed; it must be a whole number of milliseconds"},
    WrongSetting{"Order", "--failure-timeout-ms=500", "--failure-timeout-ms must be larger than --heartbeat-ms."},
    WrongSetting{"Ledger", "--ledger-retention-ms=1000", "--ledger-retention-ms must be larger than --start-max-age-ms."},
    WrongSetting{"ResubmitText", "--resubmit-after-ms=1.3s", "--resubmit-after-ms: \"1.3s\" is not allowed"},
    WrongSetting{"ResubmitTooSoon",
                 "--resubmit-after-ms=549",
                 "--resubmit-after-ms: \"549\" is not allowed; it must be a whole number of milliseconds from 550 to 86400000, as less "
                 "leaves no time to renew the lease of runs, or empty for 1300."},
    WrongSetting{"ResubmitTooLate", "--resubmit-after-ms=86400001", "--resubmit-after-ms: \"86400001\" is not allowed"},
    WrongSetting{"EvacuateNever",
                 "--evacuate-within-ms=0",
                 "--evacuate-within-ms: \"0\" is not allowed; it must be a whole number of milliseconds from 1 to 86400000, or empty if "
                 "zones are not evacuated."},
    WrongSetting{"EvacuateText", "--evacuate-within-ms=5s", "--evacuate-within-ms: \"5s\" is not allowed"},
    WrongSetting{"DrainNegative",
                 "--drain-within-ms=-1",
                 "--drain-within-ms: \"-1\" is not allowed; it must be a whole number of milliseconds from 1 to 86400000, or empty to "
                 "leave its runs there."},
    WrongSetting{"Shedding", "--shedding=price", "--shedding: \"price\" is not allowed; it must be latest-start or value."},
    WrongSetting{"LogLevel", "--log-level=loud", "it must be debug, info, warning or error."},
    WrongSetting{"LogFormat", "--log-format=xml", "it must be text or json."},
    WrongSetting{"Unknown", "--colour=red", "--colour=red is no flag"},
    WrongSetting{"NoFlag", "start", "start is not understood"},
};

} // namespace

class WrongSettingTest : public testing::TestWithParam<WrongSetting>
{
};

TEST_P(WrongSettingTest, IsRefusedByName)
{
    auto flags = agentFlags;
    flags.emplace_back(GetParam().flag);
    DaemonSettings settings;
    const auto errors = joined(readArguments(flags, {}, settings));
    EXPECT_NE(errors.find(GetParam().message), std::string::npos) << errors;
}

INSTANTIATE_TEST_SUITE_P(Settings, WrongSettingTest, testing::ValuesIn(WrongSettings), [](const auto &test) { return test.param.name; });

TEST(OptionReaderTest, EachRequiredFlagIsMissedByName)
{
    for (const auto &flags : {entryFlags, agentFlags, schedulerFlags, guardFlags}) {
        DaemonSettings whole;
        EXPECT_EQ(joined(readArguments(flags, {}, whole)), "");
        for (std::size_t left = 0; left < flags.size(); ++left) {
            auto some = flags;
            some.erase(some.begin() + static_cast<std::ptrdiff_t>(left));
            DaemonSettings settings;
            const auto errors = joined(readArguments(some, {}, settings));
            const auto name = flags[left].substr(0, flags[left].find('='));
            EXPECT_NE(errors.find(name + " is missing"), std::string::npos) << name << "\n" << errors;
        }
    }
}

TEST(OptionReaderTest, VariablesStandInForFlagsAndFlagsGoFirst)
{
    const Variables variables{{"SYCAMOREMOOR_NAME", "from-variable"}, {"SYCAMOREMOOR_FAILURE_TIMEOUT_MS", "4000"}};
    DaemonSettings settings;
    auto flags = agentFlags;
    flags.erase(flags.begin() + 1);
    EXPECT_EQ(joined(readArguments(flags, variables, settings)), "");
    EXPECT_EQ(settings.name, "from-variable");
    EXPECT_EQ(settings.agent.failureTimeout, std::chrono::seconds(4));
    EXPECT_EQ(joined(readArguments(agentFlags, variables, settings)), "");
    EXPECT_EQ(settings.name, "agent-1");
}

TEST(OptionReaderTest, ASchedulerIsToldWhenItsCallersSubmitAgain)
{
    DaemonSettings settings;
    EXPECT_EQ(joined(readArguments(schedulerFlags, {}, settings)), "");
    EXPECT_EQ(settings.scheduler.resubmitAfter, std::chrono::milliseconds(1'300));
    auto unknown = schedulerFlags;
    unknown.emplace_back("--resubmit-after-ms=");
    EXPECT_EQ(joined(readArguments(unknown, {}, settings)), "") << "a deployment may not say";
    EXPECT_EQ(settings.scheduler.resubmitAfter, std::chrono::milliseconds(1'300));
    for (const auto *value : {"550", "2000", "86400000"}) {
        auto flags = schedulerFlags;
        flags.push_back(std::string("--resubmit-after-ms=") + value);
        EXPECT_EQ(joined(readArguments(flags, {}, settings)), "");
        EXPECT_EQ(settings.scheduler.resubmitAfter, std::chrono::milliseconds(std::stoi(value)));
    }
}

/** Guards against calls of the store in deployments whose settings name no bound for evacuations, and against a role without them. */
TEST(OptionReaderTest, EvacuationsAreSwitchedOnByTheirBound)
{
    for (const auto &flags : {schedulerFlags, guardFlags}) {
        for (const auto &[flag, within] : std::map<std::string, Duration>{{"", Duration::zero()},
                                                                          {"--evacuate-within-ms=", Duration::zero()},
                                                                          {"--evacuate-within-ms=5000", std::chrono::seconds(5)}}) {
            auto all = flags;
            if (!flag.empty()) {
                all.push_back(flag);
            }
            DaemonSettings settings;
            EXPECT_EQ(joined(readArguments(all, {}, settings)), "");
            EXPECT_EQ(settings.evacuateWithin, within) << flag;
        }
    }
}

/** Guards against runs that are stopped in deployments whose settings name no bound for leaving upstreams. */
TEST(OptionReaderTest, RunsMoveOffALeavingUpstreamOnlyWhereItsBoundIsSet)
{
    for (const auto &[value, within] : std::map<std::string, Duration>{{"", Duration::zero()}, {"3000", std::chrono::seconds(3)}}) {
        DaemonSettings settings;
        auto flags = guardFlags;
        flags.push_back("--drain-within-ms=" + value);
        EXPECT_EQ(joined(readArguments(flags, {}, settings)), "");
        EXPECT_EQ(settings.guard.drainWithin, within);
    }
}

TEST(OptionReaderTest, LimitsOnClientsAreReadAndMayBeEmptyWhereADeploymentDoesNotSay)
{
    for (auto flags : {schedulerFlags, guardFlags}) {
        flags.insert(flags.end(), {"--memory-limit-mb=", "--descriptor-limit="});
        DaemonSettings settings;
        EXPECT_EQ(joined(readArguments(flags, {}, settings)), "");
        EXPECT_EQ(settings.limits.memoryMegabytes, 120U);
        EXPECT_EQ(settings.limits.descriptors, 3'075U);
        flags.insert(flags.end(), {"--memory-limit-mb=512", "--descriptor-limit=20000", "--max-head-bytes=16384", "--max-head-fields=100"});
        EXPECT_EQ(joined(readArguments(flags, {}, settings)), "");
        EXPECT_EQ(settings.limits.memoryMegabytes, 512U);
        EXPECT_EQ(settings.limits.descriptors, 20'000U);
        EXPECT_EQ(settings.limits.headBytes, 16'384U);
        EXPECT_EQ(settings.limits.headFields, 100U);
    }
}

struct WrongLimit {
    const char *name;
    const std::vector<std::string> &flags; ///< of the role
    std::vector<std::string> limits;
    const char *message; ///< part of what is told
};

class WrongLimitTest : public testing::TestWithParam<WrongLimit>
{
};

// Guards against limits that no request fits in, or that the machine cannot hold.
TEST_P(WrongLimitTest, IsRefusedByName)
{
    auto flags = GetParam().flags;
    flags.insert(flags.end(), GetParam().limits.begin(), GetParam().limits.end());
    DaemonSettings settings;
    const auto errors = joined(readArguments(flags, {}, settings));
    EXPECT_NE(errors.find(GetParam().message), std::string::npos) << errors;
}

INSTANTIATE_TEST_SUITE_P(
    Limits,
    WrongLimitTest,
    testing::Values(WrongLimit{"Memory", schedulerFlags, {"--memory-limit-mb=47"}, "--memory-limit-mb: \"47\" is not allowed"},
                    WrongLimit{"Descriptors", guardFlags, {"--descriptor-limit=many"}, "--descriptor-limit: \"many\" is not allowed"},
                    WrongLimit{"Head", guardFlags, {"--max-head-bytes=0"}, "--max-head-bytes: \"0\" is not allowed"},
                    WrongLimit{"Fields", schedulerFlags, {"--max-head-fields="}, "--max-head-fields: \"\" is not allowed"},
                    WrongLimit{"HeadBeyondMemory",
                               schedulerFlags,
                               {"--memory-limit-mb=60", "--max-head-bytes=8000000"},
                               "--max-head-bytes must be at most 5242880, by --memory-limit-mb."},
                    WrongLimit{
                        "BodyBeyondMemory", schedulerFlags, {"--max-body-bytes=60000000"}, "--max-body-bytes must be at most 10485760"},
                    WrongLimit{"AnnouncementBeyondMemory",
                               guardFlags,
                               {"--max-announcement-bytes=60000000"},
                               "--max-announcement-bytes must be at most 10485760"}),
    [](const auto &test) { return test.param.name; });

TEST(OptionReaderTest, ASchedulerShedsByLatestStartUnlessToldOtherwise)
{
    DaemonSettings settings;
    EXPECT_EQ(joined(readArguments(schedulerFlags, {}, settings)), "");
    EXPECT_EQ(settings.scheduler.shedding, SheddingMode::LatestStart);
    auto flags = schedulerFlags;
    flags.emplace_back("--shedding=value");
    EXPECT_EQ(joined(readArguments(flags, {}, settings)), "");
    EXPECT_EQ(settings.scheduler.shedding, SheddingMode::Value);
}

TEST(OptionReaderTest, WrongVariableIsRefusedByItsName)
{
    DaemonSettings settings;
    const auto errors = joined(readArguments(agentFlags, {{"SYCAMOREMOOR_SLOTS", "many"}}, settings));
    EXPECT_NE(errors.find("SYCAMOREMOOR_SLOTS: \"many\" is not allowed"), std::string::npos) << errors;
}

TEST(OptionReaderTest, HelpNamesEveryFlag)
{
    const auto help = helpText();
    for (const auto &option : OptionTable) {
        EXPECT_NE(help.find("--" + std::string(option.flag) + "="), std::string::npos) << option.flag;
    }
}

} // namespace Sycamoremoor
