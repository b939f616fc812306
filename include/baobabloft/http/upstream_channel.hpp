// The client side of one connection: sends one request at a time and reads its
// answer strictly. Answers to other requests are skipped, and it is always
// known whether a byte of the request left the process.
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
    /// The connection ended before the answer's first byte.
    closed_without_answer,
    /// The answer broke off.
    incomplete,
    /// What came is no answer in the protocol.
    malformed
};

inline constexpr std::array exchange_failure_names{
    enum_name<exchange_failure>{exchange_failure::connect_failed,
                                "connect_failed"},
    enum_name<exchange_failure>{exchange_failure::connect_timed_out,
                                "connect_timed_out"},
    enum_name<exchange_failure>{exchange_failure::closed_without_answer,
                                "closed_without_answer"},
    enum_name<exchange_failure>{exchange_failure::incomplete, "incomplete"},
    enum_name<exchange_failure>{exchange_failure::malformed, "malformed"},
};

/// A request as it goes out.
struct outgoing_request
{
    request_head head;
    std::string body;
    /// Header that names a request in its answer; empty if there is none.
    std::string id_header;
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
        /// The answer is whole.
        std::function<void()> on_complete;
        std::function<void(exchange_failure)> on_failure;
    };

    /// Connects to `peer`; null if the system gives no socket.
    static std::shared_ptr<upstream_channel>
    open(net::event_loop& loop, const endpoint& peer,
         const stream_options& options);

    upstream_channel(net::event_loop& loop, std::shared_ptr<tcp_stream> stream);
    ~upstream_channel();
    upstream_channel(const upstream_channel&) = delete;
    upstream_channel& operator=(const upstream_channel&) = delete;

    /// Sends a request; only on a channel that is_reusable().
    void exchange(outgoing_request message, handlers callbacks);

    /// Drops the exchange and closes; no handler runs any more.
    void abandon();

    /// Drops the exchange but reads its answer to the end, so that the channel
    /// may carry another. Returns false if that cannot be.
    bool discard_response();

    void set_reading(bool enabled);

    /// Returns true once a byte of the present request left the process.
    [[nodiscard]] bool has_sent_bytes() const;
    /// Returns true if another request may be sent.
    [[nodiscard]] bool is_reusable() const;
    [[nodiscard]] bool is_open() const;
    /// How long the peer keeps the connection while idle, if it said.
    [[nodiscard]] std::optional<duration> announced_idle_timeout() const;
    /// Returns true if this exchange is not the connection's first.
    [[nodiscard]] bool was_reused() const;

private:
    using parser_type =
        boost::beast::http::response_parser<boost::beast::http::string_body>;

    void attach();
    void on_data(std::string_view bytes);
    void on_end(stream_end_reason how);
    void parse_input();
    bool begin_answer();
    void finish();
    void fail(exchange_failure why);
    void reset_parser();
    void stop_connect_timer();

    net::event_loop& loop_;
    std::shared_ptr<tcp_stream> stream_;
    /// Shared, so that a callback may drop the exchange that runs it.
    std::shared_ptr<handlers> handlers_;
    std::string id_header_;
    std::string id_;
    std::string input_;
    std::optional<parser_type> parser_;
    bool busy_ = false;
    bool connected_ = false;
    bool head_seen_ = false;
    /// The answer being read belongs to another request.
    bool skipping_ = false;
    bool is_head_request_ = false;
    /// The channel must not carry another request.
    bool spent_ = false;
    std::uint64_t sent_before_ = 0;
    std::uint64_t queued_ = 0;
    std::uint32_t exchanges_ = 0;
    guint connect_timer_ = 0;
    std::optional<duration> announced_idle_timeout_;
};

} // namespace baobabloft::http
