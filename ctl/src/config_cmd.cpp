// Commands that change the configuration: check, diff, apply, rollback.
#include "clock_func.h"
#include "commands.h"
#include "config_print_func.h"
#include "config_store.h"
#include "options.h"

#include <sycamoremoor/core/config_func.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>

namespace Sycamoremoor
{

namespace
{

/** Returns the files that the operands name; a folder stands for its *.json files. */
std::vector<std::filesystem::path> recordFiles(const Options &options)
{
    std::vector<std::filesystem::path> files;
    for (const auto &operand : options.operands()) {
        if (!std::filesystem::is_directory(operand)) {
            files.emplace_back(operand);
            continue;
        }
        for (const auto &item : std::filesystem::directory_iterator(operand)) {
            if (item.path().extension() == ".json") {
                files.push_back(item.path());
            }
        }
    }
    std::sort(files.begin(), files.end());
    return files;
}

/** Reads the files' records as one set and checks it; tells every fault. */
std::optional<ConfigSet> readRecords(const Options &options)
{
    ConfigSet set;
    for (const auto &file : recordFiles(options)) {
        std::ifstream stream(file);
        if (!stream) {
            std::cerr << ConfigPrefix << file.string() << ": cannot be read\n";
            return std::nullopt;
        }
        const std::string text(std::istreambuf_iterator<char>(stream), {});
        if (const auto error = decodeConfigRecords(text, set)) {
            std::cerr << ConfigPrefix << file.string() << ": " << error->detail << "\n";
            return std::nullopt;
        }
    }
    const auto faults = validateConfig(set);
    for (const auto &[record, field, text] : faults) {
        std::cerr << ConfigPrefix << record << ": " << field << " " << text << "\n";
    }
    return faults.empty() ? std::optional(std::move(set)) : std::nullopt;
}

/** The newest revision, whole. */
struct NewestSet {
    HeadState head;
    ConfigSet set;
};

std::optional<NewestSet> readNewest(ConfigStore &store)
{
    std::string error;
    if (auto head = store.readHead(error)) {
        if (auto set = store.readSet(head->head.revision, error)) {
            return NewestSet{*head, *std::move(set)};
        }
    }
    std::cerr << ConfigPrefix << "platform: " << error << "\n";
    return std::nullopt;
}

std::string authorOf(const Options &options)
{
    if (options.isSet("author")) {
        return options.text("author");
    }
    const auto *user = std::getenv("USER"); // NOLINT(concurrency-mt-unsafe): before any thread
    return user == nullptr ? "unnamed" : user;
}

/** Says what another operator's change, which came first, changed and who made it. */
void tellConflict(ConfigStore &store, const ConfigSet &base, const ConfigHead &head)
{
    std::cerr << ConfigPrefix << "not applied: revision " << head.revision.value() << " by " << head.author << " at "
              << timeToText(head.changedAt) << " came first\n";
    std::string error;
    if (const auto theirs = store.readSet(head.revision, error)) {
        printDifferences(diffConfig(base, *theirs), false, std::cerr);
    }
}

ExitCode commitChange(const Options &options, ConfigStore &store, const NewestSet &newest, ConfigSet set)
{
    set.changeId = ChangeId(newSubmissionKey().toString());
    set.author = authorOf(options);
    set.changedAt = wallClockNow();
    const auto result = store.commit(set, newest.head);
    switch (result.outcome) {
    case CallOutcome::Done:
        std::cout << "revision " << newest.head.head.revision.value() + 1 << " is accepted\n";
        return ExitCode::Done;
    case CallOutcome::Conflict:
        tellConflict(store, newest.set, result.head);
        return ExitCode::Conflict;
    case CallOutcome::NoEffect:
        std::cerr << ConfigPrefix << "not applied: " << result.error << "\n";
        return ExitCode::Unreachable;
    default:
        std::cerr << ConfigPrefix << "may have been applied: " << result.error << "; see config history, change " << set.changeId.value()
                  << "\n";
        return ExitCode::Unknown;
    }
}

/** Commits @p set over the newest revision, or over --expect if that is given. */
ExitCode changeTo(const Options &options, ConfigStore &store, const NewestSet &newest, const ConfigSet &set)
{
    if (const auto expected = options.whole("expect");
        options.isSet("expect") && Revision(static_cast<std::uint64_t>(expected)) != newest.set.revision) {
        std::string error;
        const auto base = store.readSet(Revision(static_cast<std::uint64_t>(expected)), error);
        tellConflict(store, base.value_or(ConfigSet()), newest.head.head);
        return ExitCode::Conflict;
    }
    const auto differences = diffConfig(newest.set, set);
    printDifferences(differences, options.isSet("json"), std::cout);
    if (differences.empty()) {
        std::cout << "nothing changes from revision " << newest.set.revision.value() << "\n";
        return ExitCode::Done;
    }
    if (options.isSet("dry-run")) {
        return ExitCode::Done;
    }
    return commitChange(options, store, newest, set);
}

} // namespace

ExitCode configCheckCommand(const Options &options)
{
    const auto set = readRecords(options);
    if (!set) {
        return ExitCode::Usage;
    }
    std::cout << "valid: " << set->services.size() << " services, " << set->teams.size() << " teams, 1 policy\n";
    return ExitCode::Done;
}

ExitCode configDiffCommand(const Options &options)
{
    const auto set = readRecords(options);
    if (!set || !hasPlatform(options)) {
        return ExitCode::Usage;
    }
    ConfigStore store(platformSettings(options));
    const auto newest = readNewest(store);
    if (!newest) {
        return ExitCode::Unreachable;
    }
    printDifferences(diffConfig(newest->set, *set), options.isSet("json"), std::cout);
    return ExitCode::Done;
}

ExitCode configApplyCommand(const Options &options)
{
    const auto set = readRecords(options);
    if (!set || !hasPlatform(options)) {
        return ExitCode::Usage;
    }
    ConfigStore store(platformSettings(options));
    const auto newest = readNewest(store);
    return newest ? changeTo(options, store, *newest, *set) : ExitCode::Unreachable;
}

ExitCode configRollbackCommand(const Options &options)
{
    const auto revision = wholeOperand(options);
    if (!revision || !hasPlatform(options)) {
        return ExitCode::Usage;
    }
    ConfigStore store(platformSettings(options));
    const auto newest = readNewest(store);
    if (!newest) {
        return ExitCode::Unreachable;
    }
    std::string error;
    const auto former = store.readSet(*revision, error);
    if (!former) {
        std::cerr << ConfigPrefix << error << "\n";
        return ExitCode::NotFound;
    }
    return changeTo(options, store, *newest, *former);
}

} // namespace Sycamoremoor
