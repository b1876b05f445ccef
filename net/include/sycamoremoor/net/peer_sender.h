// Sends messages of an entry to other entries.
#pragma once

#include <sycamoremoor/core/entry_input_type.h>
#include <sycamoremoor/core/entry_output_type.h>

#include <sigc++/signal.h>

namespace Sycamoremoor
{

class HttpClient;
class MetricRegistry;
struct ClientResult;

/** One call for each message; its answer becomes the input that fits. */
class PeerSender
{
public:
    PeerSender(HttpClient &client, MetricRegistry &metrics);

    /** Emitted for answers and failures. */
    sigc::signal<void(EntryInput)> &signalInput();

    void carryOut(const SendToPeer &output);

private:
    struct Origin {
        EntryName peer;
        std::optional<ConnectionId> connection;
    };

    template<typename Message>
    void send(const SendToPeer &output, const Message &message);
    void fail(const Origin &origin, Delivery delivery);

    HttpClient &m_client;
    MetricRegistry &m_metrics;
    sigc::signal<void(EntryInput)> m_input;
};

} // namespace Sycamoremoor
