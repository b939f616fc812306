// The server side of one HTTP/1.1 connection: parses complete requests
// strictly, one at a time, and writes complete or streamed responses.
#pragma once

#include "baobabloft/http/byte_stream.hpp"
#include "baobabloft/http/message.hpp"
#include "baobabloft/support/time.hpp"

#include <boost/beast/http/parser.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace baobabloft::http
{

/// Size and time limits for a caller's connection.
struct caller_limits
{
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = 4 * 1024 * 1024;
    /// Longest time from a request's first byte to the end of its header.
    duration header_timeout = 3s;
    /// Longest idle time between two requests, announced in Keep-Alive; also
    /// the longest time without progress while the last response is sent.
    duration idle_timeout = 15s;
    /// Added to the announced idle timeout before an idle connection is closed,
    /// so that a request sent just within it still finds the connection open.
    duration idle_grace = 1s;
};

/// How a connection ended that had been idle for too long.
struct idle_end
{
    duration idle_time;
    /// Longest idle time when the connection ended.
    duration limit;
};

/// One caller's connection. Its table holds the shared pointer that keeps it
/// alive, and every callback may release that pointer.
class caller_channel : public std::enable_shared_from_this<caller_channel>
{
public:
    struct handlers
    {
        /// A complete request was received. The next one is parsed only after
        /// the response to this one.
        std::function<void(request&&)> on_request;
        /// The connection has ended: the caller closed or reset it, or it was
        /// closed after its last response, such as that to a request that
        /// cannot be parsed.
        std::function<void()> on_closed;
        /// The system has accepted all bytes written so far.
        std::function<void()> on_drained;
        /// A request was rejected because it cannot be parsed or its header
        /// took too long. Returns the response for `status`; if this is not
        /// set, the response has no body.
        std::function<response(unsigned status, std::string_view reason)>
            on_rejected;
        /// The connection is about to be closed since no request arrived on it
        /// within the idle timeout.
        std::function<void(const idle_end&)> on_idle_timeout{};
    };

    caller_channel(std::shared_ptr<byte_stream> stream, caller_limits limits,
                   time_point now);
    ~caller_channel();
    caller_channel(const caller_channel&) = delete;
    caller_channel& operator=(const caller_channel&) = delete;

    /// Installs the handlers and starts to process requests.
    void start(handlers callbacks);

    /// Sends the response to the current request. The connection closes
    /// afterwards if the caller requested that, or if `keep_alive` is false and
    /// no part of another request has arrived.
    void respond(time_point now, response message, bool keep_alive);

    /// Starts a streamed response to the current request.
    void start_streamed_response(response_head head, bool keep_alive);
    /// Sends part of a streamed response's body.
    void send_body_part(std::string_view data);
    /// Ends a streamed response; the next request may follow.
    void end_streamed_response(time_point now);

    /// Ends the connection, so that the caller does not take a response in
    /// progress for complete. Resets it only if nothing else shows that:
    /// callers take a request that is reset without a response for unread.
    void abort();

    /// Closes the connection if no request is being read or served, once the
    /// previous response has been sent. A new connection has some time to send
    /// its first request. Returns true if it is closed.
    bool close_if_idle(time_point now);

    /// Refuses the request that has not arrived as a whole, if there is one.
    void refuse_unfinished();

    /// Closes the connection if a timeout has expired and no bytes wait to be
    /// read. Returns false if it is closed.
    bool check_timeouts(time_point now);

    [[nodiscard]] bool is_open() const;
    /// Returns the number of bytes written but not yet accepted by the system.
    [[nodiscard]] std::size_t unsent_bytes() const;

    /// Returns the memory of what has been received but not passed on, and of
    /// what has been written but not yet accepted by the system.
    [[nodiscard]] std::size_t buffered_bytes() const;

    /// Replaces the limits; they apply from the next request on, a lower idle
    /// timeout after the next response.
    void set_limits(const caller_limits& limits);

private:
    using parser_type =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

    void on_data(std::string_view bytes);
    void on_drained();
    void parse_input();
    [[nodiscard]] bool has_unsupported_transfer_coding() const;
    /// Returns true if bytes of another request have arrived.
    [[nodiscard]] bool has_next_request() const;
    void reject(unsigned status, std::string_view reason);
    void finish_response(time_point now);
    void add_connection_fields(fields& headers, bool keep_alive);
    /// Closes the connection once the last response has been sent. A request
    /// that arrives later is reset, which shows that it was not read.
    void close();
    /// As close(), but never resets the connection, so that the caller receives
    /// the whole response.
    void close_after_response();
    /// Restarts the time within which a request's body must make progress, once
    /// enough bytes have arrived.
    void record_body_progress(std::size_t bytes);
    /// Aborts the connection if the caller has accepted nothing of its last
    /// response for the idle timeout. Returns false if it is closed.
    bool check_drain_progress(time_point now);

    std::shared_ptr<byte_stream> stream_;
    caller_limits limits_;
    /// Limits of the request that is being received: those in force at its
    /// first byte.
    caller_limits request_limits_;
    /// Idle timeout announced with the last response, or in force when the
    /// connection was accepted. Callers rely on it.
    duration promised_idle_timeout_;
    handlers handlers_;
    std::string input_;
    /// Present while a request is being received.
    std::optional<parser_type> parser_;
    /// A request was passed on and its response is not finished.
    bool serving_ = false;
    /// The connection stays open after the current response.
    bool keep_alive_ = true;
    bool caller_allows_keep_alive_ = true;
    /// The caller speaks HTTP/1.1, so streamed bodies are sent in chunks.
    bool uses_chunked_coding_ = true;
    /// The current response is complete only once the connection ends.
    bool response_ends_with_connection_ = false;
    bool is_head_request_ = false;
    bool has_received_request_ = false;
    /// on_request is running; prevents recursive parsing of pipelined requests.
    bool in_request_handler_ = false;
    /// "100 Continue" has been sent for the current request.
    bool continue_sent_ = false;
    /// No further response follows; the connection closes once all bytes are
    /// sent.
    bool closing_ = false;
    /// Unsent bytes at the last check of the closing connection.
    std::size_t last_unsent_bytes_ = 0;
    /// Start of the current request or of the idle time, or, while closing, of
    /// the time without progress.
    time_point phase_start_;
    /// Bytes of the request's body since `phase_start_` was last set.
    std::size_t body_progress_bytes_ = 0;
};

} // namespace baobabloft::http
