// JSON of the upstream's own interface.
#include <sycamoremoor/wire/upstream_codec.h>

#include "json_text.h"

#include <sycamoremoor/wire/json_parse_func.h>
#include <sycamoremoor/wire/text_codec.h>

#include <nlohmann/json.hpp>

#include <cmath>

namespace Sycamoremoor
{

namespace
{

using Json = nlohmann::json;

constexpr double MilliCoresPerCore = 1000;

/** Returns the object that @p json is, or null. */
Json parseObject(std::string_view json)
{
    auto tree = parseJson(json);
    return tree.is_object() ? tree : Json(nullptr);
}

std::string textField(const Json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

double numberField(const Json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_number() ? found->get<double>() : 0;
}

bool flagField(const Json &object, const char *name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_boolean() && found->get<bool>();
}

std::optional<Incarnation> lifeField(const Json &object)
{
    const auto found = object.find("incarnation");
    if (found == object.end() || !found->is_number_unsigned()) {
        return std::nullopt;
    }
    return Incarnation(found->get<std::uint64_t>());
}

} // namespace

std::string encodeUpstreamStart(const TaskId &task, const TaskSpec &spec)
{
    std::string body = R"({"id":")" + taskIdToString(task) + R"(","kind":)";
    appendJsonString(body, spec.kind.value());
    body += R"(,"payload":)";
    appendJsonString(body, spec.payload);
    body += R"(,"cores":)" + Json(static_cast<double>(spec.size.cores.value()) / MilliCoresPerCore).dump();
    body += R"(,"memory_mb":)" + std::to_string(spec.size.memory.value());
    body += R"(,"accelerators":)" + std::to_string(spec.size.accelerators.value()) + "}";
    return body;
}

std::optional<UpstreamTaskEnded> decodeUpstreamEnd(const TaskId &task, std::string_view json)
{
    const auto object = parseObject(json);
    const auto state = textField(object, "state");
    if (state != "succeeded" && state != "failed" && state != "stopped") {
        return std::nullopt;
    }
    return UpstreamTaskEnded{task, state == "succeeded", state == "stopped", textField(object, "result")};
}

std::optional<UpstreamTaskState> decodeUpstreamState(const TaskId &task, std::string_view json, Incarnation lastLife)
{
    const auto object = parseObject(json);
    if (!object.is_object()) {
        return std::nullopt;
    }
    const auto state = textField(object, "state");
    const bool known = object.contains("known") ? flagField(object, "known") : !state.empty();
    const auto life = lifeField(object).value_or(lastLife);
    return UpstreamTaskState{task, known, state == "running", state == "succeeded", textField(object, "result"), life};
}

std::optional<UpstreamHealth> decodeUpstreamHealth(std::string_view json)
{
    const auto object = parseObject(json);
    const auto life = lifeField(object);
    if (!life) {
        return std::nullopt;
    }
    UpstreamHealth health;
    health.upstream = *life;
    health.leaving = flagField(object, "leaving");
    health.usage.cores = MilliCores(std::llround(numberField(object, "cores_used") * MilliCoresPerCore));
    health.usage.memory = Megabytes(std::llround(numberField(object, "memory_mb_used")));
    return health;
}

} // namespace Sycamoremoor
