// Reading and answering requests between processes.
#pragma once

#include <sycamoremoor/net/http_exchange.h>
#include <sycamoremoor/net/router.h>
#include <sycamoremoor/wire/message_codec.h>

namespace Sycamoremoor
{

/** Reads the body of @p request, or answers it with the error. */
template<typename Message>
bool decodeOrRefuse(const RoutedRequest &request, Message &message)
{
    if (const auto error = decode(request.exchange->request().body, message)) {
        replyError(request, error->kind, error->detail);
        return false;
    }
    return true;
}

} // namespace Sycamoremoor
