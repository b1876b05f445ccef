// Calls of an agent to the upstream beside it.
#pragma once

#include <sycamoremoor/core/agent_input_type.h>
#include <sycamoremoor/core/agent_output_type.h>

#include <sigc++/signal.h>

namespace Sycamoremoor
{

class HttpClient;

/** Starts tasks, stops them, asks about them and checks the upstream's health. */
class UpstreamClient
{
public:
    UpstreamClient(HttpClient &client, Endpoint upstream);

    /** Emitted for answers and failures. */
    sigc::signal<void(AgentInput)> &signalInput();

    void carryOut(const StartOnUpstream &output);
    void carryOut(const StopOnUpstream &output);
    void carryOut(const QueryUpstream &output);
    void carryOut(const ProbeUpstream &output);

private:
    HttpClient &m_client;
    Endpoint m_upstream;
    Incarnation m_life; ///< of the upstream, as it told at its last health check
    sigc::signal<void(AgentInput)> m_input;
};

} // namespace Sycamoremoor
