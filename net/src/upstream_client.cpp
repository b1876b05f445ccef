// Calls of an agent to the upstream beside it.
#include <sycamoremoor/net/upstream_client.h>

#include <sycamoremoor/net/http_client.h>
#include <sycamoremoor/net/path_type.h>
#include <sycamoremoor/wire/http_status.h>
#include <sycamoremoor/wire/text_codec.h>
#include <sycamoremoor/wire/upstream_codec.h>

#include <string>
#include <utility>

namespace Sycamoremoor
{

namespace
{

constexpr Duration StartLimit = std::chrono::hours(2); ///< the machine stops tasks long before
constexpr Duration ControlLimit = std::chrono::seconds(2);

std::string taskPath(const TaskId &task)
{
    return std::string(Path::UpstreamTasks) + "/" + taskIdToString(task);
}

} // namespace

UpstreamClient::UpstreamClient(HttpClient &client, Endpoint upstream)
    : m_client(client)
    , m_upstream(std::move(upstream))
{
}

sigc::signal<void(AgentInput)> &UpstreamClient::signalInput()
{
    return m_input;
}

void UpstreamClient::carryOut(const StartOnUpstream &output)
{
    ClientCall call;
    call.endpoint = m_upstream;
    call.path = Path::UpstreamTasks;
    call.body = encodeUpstreamStart(output.task, output.spec);
    call.timeLimit = StartLimit;
    m_client.send(std::move(call), [this, task = output.task](const ClientResult &result) {
        const auto end = result.status == HttpStatus::Ok ? decodeUpstreamEnd(task, result.body) : std::nullopt;
        if (end) {
            m_input.emit(*end);
        } else {
            m_input.emit(UpstreamStartFailed{task, result.answered ? Delivery::Unknown : result.delivery});
        }
    });
}

void UpstreamClient::carryOut(const StopOnUpstream &output)
{
    ClientCall call;
    call.endpoint = m_upstream;
    call.method = RequestMethod::Delete;
    call.path = taskPath(output.task);
    call.timeLimit = ControlLimit;
    m_client.send(std::move(call), [](const ClientResult & /*result*/) {
        // The answer to the start tells.
    });
}

void UpstreamClient::carryOut(const QueryUpstream &output)
{
    ClientCall call;
    call.endpoint = m_upstream;
    call.method = RequestMethod::Get;
    call.path = taskPath(output.task);
    call.timeLimit = ControlLimit;
    call.newConnection = true;
    m_client.send(std::move(call), [this, task = output.task](const ClientResult &result) {
        const auto state = result.status == HttpStatus::Ok ? decodeUpstreamState(task, result.body, m_life) : std::nullopt;
        if (state) {
            m_input.emit(*state);
        } else {
            m_input.emit(UpstreamUnreachable{result.delivery});
        }
    });
}

void UpstreamClient::carryOut(const ProbeUpstream & /*output*/)
{
    ClientCall call;
    call.endpoint = m_upstream;
    call.method = RequestMethod::Get;
    call.path = Path::UpstreamHealth;
    call.timeLimit = ControlLimit;
    m_client.send(std::move(call), [this](const ClientResult &result) {
        const auto health = result.status == HttpStatus::Ok ? decodeUpstreamHealth(result.body) : std::nullopt;
        if (health) {
            m_life = health->upstream;
            m_input.emit(*health);
        } else {
            m_input.emit(UpstreamUnreachable{result.delivery});
        }
    });
}

} // namespace Sycamoremoor
