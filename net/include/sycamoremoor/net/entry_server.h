// The HTTP interface of an entry: turns requests into inputs, and answers into replies.
#pragma once

#include <sycamoremoor/core/entry_input_type.h>
#include <sycamoremoor/core/entry_output_type.h>
#include <sycamoremoor/net/router.h>
#include <sycamoremoor/wire/caller_codec.h>

#include <sigc++/signal.h>

#include <map>
#include <string>

namespace Sycamoremoor
{

/** Keeps the open exchanges of callers, peers and agents, each answered once by its connection id. */
class EntryServer
{
public:
    EntryServer(Router &router, EntryName name, Incarnation incarnation, CallerLimits limits);

    /** Emitted for each thing that happened. */
    sigc::signal<void(EntryInput)> &signalInput();

    void carryOut(const AnswerJob &answer);
    void carryOut(const AnswerStatus &answer);
    void carryOut(const AnswerAccount &answer);
    void carryOut(const AnswerProcessStatus &answer);
    void carryOut(const AnswerAgentHeartbeat &answer);
    void carryOut(const AnswerLedgerReport &answer);
    void carryOut(const AnswerPeerHeartbeat &answer);
    void carryOut(const AnswerOwnerQuery &answer);
    void carryOut(const AnswerHandover &answer);

private:
    /** An exchange that waits for its answer. */
    struct Open {
        RoutedRequest request;
        bool isCaller = false; ///< else a process of ours
    };

    void addCallerRoutes(Router &router);
    void addInternalRoutes(Router &router);
    void submit(const RoutedRequest &request, bool singleRequest);
    void askStatus(const RoutedRequest &request, bool cancel);
    void askAccount(const RoutedRequest &request);
    void takeForward(const RoutedRequest &request);
    void takeReports(const RoutedRequest &request);

    ConnectionId open(const RoutedRequest &request, bool isCaller);
    std::optional<Open> take(ConnectionId connection);
    void gone(ConnectionId connection);
    void replyCaller(const Open &open, CallerAnswer answer);
    template<typename Message>
    void replyMessage(ConnectionId connection, const Message &message);
    template<typename Message, typename Input>
    void addMessage(Router &router, std::string_view path, Input makeInput);

    EntryName m_name;
    Incarnation m_incarnation;
    CallerLimits m_limits;
    sigc::signal<void(EntryInput)> m_input;
    std::uint64_t m_lastConnection = 0;
    std::map<ConnectionId, Open> m_open;
};

} // namespace Sycamoremoor
