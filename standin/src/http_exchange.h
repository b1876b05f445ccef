// One HTTP request to a stand-in, answered now, later, piece by piece or never.
#pragma once

#include <memory>
#include <string>

struct evhttp_request;

namespace Sycamoremoor
{

/** A request that was received whole. If it is destroyed without an answer its connection is closed. */
class HttpExchange
{
public:
    explicit HttpExchange(evhttp_request *request);
    ~HttpExchange();

    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    [[nodiscard]] const std::string &method() const;
    /** Returns the path without query, percent-decoded. */
    [[nodiscard]] const std::string &path() const;
    [[nodiscard]] const std::string &body() const;

    /** Answers; no call may follow. */
    void reply(int status, const std::string &body);

    /** Begins an answer without end. */
    void startStream();

    /** Sends a piece of the answer. @return false if the other end is gone */
    bool sendChunk(const std::string &chunk);

private:
    evhttp_request *m_request;
    bool m_streaming = false;
    std::string m_method;
    std::string m_path;
    std::string m_body;
};

using HttpExchangePointer = std::shared_ptr<HttpExchange>;

} // namespace Sycamoremoor
