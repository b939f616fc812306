// The server side of one connection: reads whole requests strictly, one at a
// time, and writes whole or streamed answers.
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

/// Bounds on what a caller may send, and how long it may take.
struct caller_limits
{
    std::uint32_t header_bytes = 16 * 1024;
    std::uint64_t body_bytes = 4 * 1024 * 1024;
    /// From a request's first byte to its last header line.
    duration header_timeout = 3s;
    /// Between two requests.
    duration idle_timeout = 15s;
    /// Added to the idle timeout that is announced, so that a request sent
    /// just within it still finds the connection open.
    duration idle_grace = 1s;
};

/// One caller's connection. Owned by shared ownership of its table; every
/// callback may drop it.
class caller_channel : public std::enable_shared_from_this<caller_channel>
{
public:
    struct handlers
    {
        /// A whole request is in; answer it before the next one is read.
        std::function<void(request&&)> on_request;
        /// The caller went away, or sent what cannot be read.
        std::function<void()> on_closed;
        /// Everything written has left.
        std::function<void()> on_drained;
        /// A request could not be read; returns the answer with `status`,
        /// without a body if this is not set.
        std::function<response(unsigned status, std::string_view why)>
            on_rejected;
    };

    caller_channel(std::shared_ptr<byte_stream> stream, caller_limits limits,
                   time_point now);
    ~caller_channel();
    caller_channel(const caller_channel&) = delete;
    caller_channel& operator=(const caller_channel&) = delete;

    /// Begins to read.
    void start(handlers callbacks);

    /// Answers the present request. With `keep` false, or if the caller asked
    /// for it, the connection closes afterwards.
    void respond(time_point now, response message, bool keep);

    /// Starts a streamed answer to the present request.
    void start_streamed_response(response_head head, bool keep);
    void send_body_part(std::string_view data);
    void end_streamed_response(time_point now);

    /// Ends the connection so that an answer in progress cannot look whole.
    void abort();

    /// Closes if no request is being read or served, once the answer before has
    /// left. Returns true if closed.
    bool close_if_idle();

    /// Applies timeouts; returns false once the connection is closed.
    bool check_timeouts(time_point now);

    [[nodiscard]] bool is_open() const;
    [[nodiscard]] std::size_t unsent_bytes() const;

    /// Applies changed limits to later requests.
    void set_limits(const caller_limits& limits);

private:
    using parser_type =
        boost::beast::http::request_parser<boost::beast::http::string_body>;

    void on_data(std::string_view bytes);
    void on_drained();
    void parse_input();
    [[nodiscard]] bool has_unknown_coding() const;
    void reject(unsigned status, std::string_view why);
    void finish_answer(time_point now);
    void add_connection_fields(fields& all, bool keep) const;
    /// Closes once the last answer has left.
    void close();
    /// Gives up a caller that takes nothing of its last answer; returns false
    /// once the connection is closed.
    bool drains(time_point now);

    std::shared_ptr<byte_stream> stream_;
    caller_limits limits_;
    handlers handlers_;
    std::string input_;
    std::optional<parser_type> parser_;
    bool serving_ = false;
    bool keep_ = true;
    bool caller_keeps_ = true;
    bool chunked_ = true;
    bool is_head_ = false;
    bool parsing_ = false;
    bool continue_sent_ = false;
    /// The last answer is written; the connection ends once it has left.
    bool closing_ = false;
    std::size_t unsent_before_ = 0;
    /// Start of the present request, of the idle time, or of the time without
    /// progress while closing.
    time_point since_;
};

} // namespace baobabloft::http
