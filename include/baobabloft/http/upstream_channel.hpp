// The client side of one HTTP/1.1 connection: sends one request at a time and
// parses its response strictly. Skips responses to other requests, and reports
// whether any byte of the request has been sent.
#pragma once

#include "baobabloft/http/message.hpp"
#include "baobabloft/http/tcp_stream.hpp"

#include <boost/beast/http/parser.hpp>

#include <optional>

namespace baobabloft::http
{

/// Why an exchange failed.
enum class exchange_failure : std::uint8_t
{
    connect_failed,
    connect_timed_out,
    /// The connection ended before the header of the response was complete.
    closed_without_response,
    /// The connection ended between the header and the end of the response.
    incomplete,
    /// The received bytes are not a valid HTTP response.
    malformed
};

inline constexpr std::array exchange_failure_names{
    enum_name<exchange_failure>{exchange_failure::connect_failed,
                                "connect_failed"},
    enum_name<exchange_failure>{exchange_failure::connect_timed_out,
                                "connect_timed_out"},
    enum_name<exchange_failure>{exchange_failure::closed_without_response,
                                "closed_without_answer"},
    enum_name<exchange_failure>{exchange_failure::incomplete, "incomplete"},
    enum_name<exchange_failure>{exchange_failure::malformed, "malformed"},
};

/// A request to send, and how to recognize its response.
struct outgoing_request
{
    request_head head;
    std::string body;
    /// Response header that repeats the request's id; empty if there is none.
    std::string id_header;
    /// Value of `id_header`; a response with another value belongs to another
    /// request.
    std::string id;
    /// Longest time to establish a new connection.
    duration connect_timeout = 1s;
};

/// One connection to an upstream or to the platform.
class upstream_channel : public std::enable_shared_from_this<upstream_channel>
{
public:
    struct handlers
    {
        std::function<void(const response_head&)> on_head;
        std::function<void(std::string_view)> on_body;
        /// The response is complete.
        std::function<void()> on_complete;
        std::function<void(exchange_failure)> on_failure;
    };

    /// Starts to connect to `peer`. Returns null if no socket can be created or
    /// the connect fails at once.
    static std::shared_ptr<upstream_channel>
    open(net::event_loop& loop, const endpoint& peer,
         const stream_options& options);

    upstream_channel(net::event_loop& loop, std::shared_ptr<tcp_stream> stream);
    ~upstream_channel();
    upstream_channel(const upstream_channel&) = delete;
    upstream_channel& operator=(const upstream_channel&) = delete;

    /// Sends a request. Requires is_reusable().
    void exchange(outgoing_request message, handlers callbacks);

    /// Cancels the exchange and closes the connection; no handler runs any
    /// more.
    void abandon();

    /// Cancels the exchange but reads its response to the end, so that the
    /// channel becomes reusable. No handler runs any more. Returns false if
    /// that is not possible, for example because the response has no header yet
    /// or ends only with the connection.
    bool discard_response();

    /// Resumes or pauses reading, for back-pressure.
    void set_reading(bool enabled);

    /// Returns true once the system has accepted a byte of the current request.
    [[nodiscard]] bool has_sent_bytes() const;
    /// Returns true if another request may be sent.
    [[nodiscard]] bool is_reusable() const;
    [[nodiscard]] bool is_open() const;
    /// Returns how long the peer keeps an idle connection open, if it has
    /// announced that in Keep-Alive.
    [[nodiscard]] std::optional<duration> announced_idle_timeout() const;
    /// Returns true if this exchange is not the connection's first.
    [[nodiscard]] bool was_reused() const;
    /// Returns the number of exchanges of this connection, with the current
    /// one.
    [[nodiscard]] std::uint32_t exchange_count() const;
    /// Returns how many bytes of the current request the system has accepted.
    [[nodiscard]] std::uint64_t sent_request_bytes() const;
    /// Returns true if an earlier exchange had the request id `id`: a late copy
    /// of its response would be taken for the response to another request with
    /// that id.
    [[nodiscard]] bool has_carried(std::string_view id) const;
    /// Returns the number of this connection, unique in this process.
    [[nodiscard]] std::uint64_t serial() const;

private:
    using parser_type =
        boost::beast::http::response_parser<boost::beast::http::string_body>;

    void set_stream_handlers();
    void on_data(std::string_view bytes);
    void on_end(stream_end_reason reason);
    void parse_input();
    /// Handles a received header. Returns false if it belongs to an interim
    /// (1xx) response.
    bool begin_response();
    void finish_exchange();
    void fail(exchange_failure reason);
    void reset_parser();
    void stop_connect_timer();

    net::event_loop& loop_;
    std::shared_ptr<tcp_stream> stream_;
    std::uint64_t serial_;
    /// Shared, so that a callback may cancel the exchange that runs it.
    std::shared_ptr<handlers> handlers_;
    std::string id_header_;
    std::string id_;
    std::string input_;
    std::optional<parser_type> parser_;
    /// An exchange is in progress, or its response is being discarded.
    bool busy_ = false;
    bool connected_ = false;
    /// The header of a final (not 1xx) response was received.
    bool head_received_ = false;
    /// The response being read belongs to another request.
    bool skipping_response_ = false;
    bool is_head_request_ = false;
    /// The channel must not carry another request.
    bool retired_ = false;
    /// Values of stream_->sent_bytes() before the current request and once it
    /// is sent completely.
    std::uint64_t request_start_offset_ = 0;
    std::uint64_t request_end_offset_ = 0;
    std::uint32_t exchange_count_ = 0;
    /// Hashes of the request ids of all exchanges.
    std::vector<std::uint64_t> carried_ids_;
    std::uint32_t interim_responses_ = 0;
    guint connect_timer_ = 0;
    std::optional<duration> announced_idle_timeout_;
};

} // namespace baobabloft::http
