// Implements HTTP/1.1 request parsing and response writing on one connection.
#include "baobabloft/http/caller_channel.hpp"

#include "baobabloft/net/event_loop.hpp"

#include <algorithm>

namespace baobabloft::http
{

namespace
{

namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

constexpr unsigned status_bad_request = 400;
constexpr unsigned status_request_timeout = 408;
constexpr unsigned status_too_large = 413;
constexpr unsigned status_headers_too_large = 431;
constexpr unsigned status_unavailable = 503;
constexpr unsigned http_1_1 = 11;
/// Bytes of pipelined requests buffered while a request is served; reading
/// pauses beyond that.
/// A request body that brings fewer bytes than this within the idle timeout has
/// stalled.
constexpr std::size_t min_body_progress_bytes = 1024;
/// Callers send their first request well within this time.
constexpr duration first_request_grace = 1s;
constexpr std::size_t max_pipelined_bytes = std::size_t{64} * 1024;

/// Largest limits that are applied. The parser's headers hold less than 64 kB
/// per field, and it allocates a body's announced length at once.
constexpr std::uint32_t max_header_bytes = std::uint32_t{64} * 1024;
constexpr std::uint64_t max_body_bytes = std::uint64_t{64} * 1024 * 1024;

caller_limits applicable(caller_limits limits)
{
    limits.header_bytes = std::min(limits.header_bytes, max_header_bytes);
    limits.body_bytes = std::min(limits.body_bytes, max_body_bytes);
    return limits;
}

/// Returns the response status for a parser error; 400 unless a limit was
/// exceeded.
unsigned status_for_error(const beast::error_code& error)
{
    if (error == bhttp::error::header_limit)
        return status_headers_too_large;
    if (error == bhttp::error::body_limit)
        return status_too_large;
    return status_bad_request;
}

} // namespace

caller_channel::caller_channel(std::shared_ptr<byte_stream> stream,
                               caller_limits limits, time_point now)
    : stream_(std::move(stream)), limits_(applicable(limits)),
      promised_idle_timeout_(limits.idle_timeout), phase_start_(now)
{
}

caller_channel::~caller_channel() = default;

void caller_channel::start(handlers callbacks)
{
    handlers_ = std::move(callbacks);
    const std::weak_ptr<caller_channel> weak = weak_from_this();
    stream_->set_handlers({.on_connected = nullptr,
                           .on_data =
                               [weak](std::string_view bytes)
                           {
                               if (const auto self = weak.lock())
                                   self->on_data(bytes);
                           },
                           .on_end =
                               [weak](stream_end_reason)
                           {
                               if (const auto self = weak.lock();
                                   self && self->handlers_.on_closed)
                                   self->handlers_.on_closed();
                           },
                           .on_drained =
                               [weak]
                           {
                               if (const auto self = weak.lock())
                                   self->on_drained();
                           }});
}

void caller_channel::on_drained()
{
    // A response that the caller reads slowly takes nothing from its idle time.
    if (!closing_ && !serving_)
        phase_start_ = net::boot_now();
    const auto callback = closing_ ? handlers_.on_closed : handlers_.on_drained;
    if (callback)
        callback();
}

void caller_channel::on_data(std::string_view bytes)
{
    // No request is served after the last response; ignore further bytes.
    if (closing_)
        return;
    input_ += bytes;
    if (parser_ && parser_->is_header_done())
        record_body_progress(bytes.size());
    if (serving_)
    {
        if (input_.size() > max_pipelined_bytes)
            stream_->set_reading(false);
        return;
    }
    parse_input();
}

void caller_channel::parse_input()
{
    if (in_request_handler_ || serving_ || closing_ || input_.empty() ||
        !stream_->is_open())
        return;
    if (!parser_)
    {
        parser_.emplace();
        request_limits_ = limits_;
        parser_->header_limit(request_limits_.header_bytes);
        parser_->body_limit(request_limits_.body_bytes);
        parser_->eager(true);
        continue_sent_ = false;
        has_received_request_ = true;
        body_progress_bytes_ = 0;
        // The first byte ends the idle time.
        phase_start_ = net::boot_now();
    }
    beast::error_code error;
    const auto consumed = parser_->put(
        boost::asio::const_buffer{input_.data(), input_.size()}, error);
    input_.erase(0, consumed);
    if (error && error != bhttp::error::need_more)
    {
        reject(status_for_error(error), error.message());
        return;
    }
    if (parser_->is_header_done() && has_unsupported_transfer_coding())
    {
        reject(status_bad_request, "transfer coding is not chunked");
        return;
    }
    if (!parser_->is_done())
    {
        // The parser does not consume an incomplete header. It stays in the
        // input and is parsed again with the next bytes.
        // It does not consume an incomplete chunk header either.
        if (input_.size() > request_limits_.header_bytes)
            reject(parser_->is_header_done() ? status_bad_request
                                             : status_headers_too_large,
                   "header limit exceeded");
        else if (parser_->is_header_done() && !continue_sent_ &&
                 beast::iequals(parser_->get()[bhttp::field::expect],
                                "100-continue"))
        {
            continue_sent_ = true;
            response_head head{bhttp::status::continue_, http_1_1};
            stream_->send(serialize_head(head));
        }
        return;
    }
    auto message = parser_->release();
    parser_.reset();
    serving_ = true;
    caller_allows_keep_alive_ = message.keep_alive();
    uses_chunked_coding_ = message.version() >= http_1_1;
    is_head_request_ = message.method() == bhttp::verb::head;
    const auto self = shared_from_this();
    in_request_handler_ = true;
    if (handlers_.on_request)
        handlers_.on_request(std::move(message));
    in_request_handler_ = false;
    parse_input();
}

bool caller_channel::has_unsupported_transfer_coding() const
{
    // The parser treats an unknown transfer coding as none.
    const auto& message = parser_->get();
    const auto coding = message[bhttp::field::transfer_encoding];
    return message.count(bhttp::field::transfer_encoding) > 1 ||
           (!coding.empty() && !beast::iequals(coding, "chunked"));
}

void caller_channel::reject(unsigned status, std::string_view reason)
{
    const auto self = shared_from_this();
    const auto make_response = handlers_.on_rejected;
    auto message = make_response ? make_response(status, reason) : response{};
    message.result(status);
    message.version(http_1_1);
    message.set(bhttp::field::connection, "close");
    message.prepare_payload();
    stream_->send(serialize_message(message));
    input_.clear();
    stream_->set_reading(false);
    close_after_response();
}

void caller_channel::add_connection_fields(fields& headers, bool keep_alive)
{
    if (!keep_alive)
    {
        headers.set(bhttp::field::connection, "close");
        return;
    }
    promised_idle_timeout_ = limits_.idle_timeout;
    headers.set(bhttp::field::keep_alive,
                "timeout=" + std::to_string(limits_.idle_timeout / 1s));
}

bool caller_channel::has_next_request() const
{
    return !input_.empty() || stream_->has_unread_bytes();
}

void caller_channel::respond(time_point now, response message, bool keep_alive)
{
    keep_alive_ =
        (keep_alive || has_next_request()) && caller_allows_keep_alive_;
    message.version(http_1_1);
    add_connection_fields(message, keep_alive_);
    message.prepare_payload();
    if (is_head_request_)
        message.body().clear();
    stream_->send(serialize_message(message));
    finish_response(now);
}

void caller_channel::start_streamed_response(response_head head,
                                             bool keep_alive)
{
    // Without chunked coding only the end of the connection can mark the end of
    // the response.
    keep_alive_ = (keep_alive || has_next_request()) &&
                  caller_allows_keep_alive_ && uses_chunked_coding_;
    head.version(http_1_1);
    add_connection_fields(head, keep_alive_);
    if (uses_chunked_coding_)
        head.chunked(true);
    response_ends_with_connection_ = !uses_chunked_coding_;
    stream_->send(serialize_head(head));
}

void caller_channel::send_body_part(std::string_view data)
{
    if (!data.empty())
        stream_->send(uses_chunked_coding_ ? serialize_chunk(data)
                                           : std::string{data});
}

void caller_channel::end_streamed_response(time_point now)
{
    if (uses_chunked_coding_)
        stream_->send(serialize_last_chunk());
    finish_response(now);
}

void caller_channel::finish_response(time_point now)
{
    const auto self = shared_from_this();
    serving_ = false;
    phase_start_ = now;
    if (!keep_alive_)
    {
        close_after_response();
        return;
    }
    stream_->set_reading(true);
    if (!input_.empty())
        parse_input();
}

void caller_channel::close_after_response()
{
    // The caller may still be sending.
    stream_->discard_and_close_when_drained();
    close();
}

void caller_channel::close()
{
    closing_ = true;
    last_unsent_bytes_ = stream_->unsent_bytes();
    phase_start_ = net::boot_now();
    // The response may still be in the send queue.
    stream_->close_when_drained();
    if (!stream_->is_open() && handlers_.on_closed)
        handlers_.on_closed();
}

void caller_channel::abort()
{
    if (response_ends_with_connection_)
        stream_->abort();
    else
        stream_->shut_down();
}

bool caller_channel::close_if_idle(time_point now)
{
    const bool is_new =
        !has_received_request_ && now - phase_start_ < first_request_grace;
    if (serving_ || closing_ || parser_ || !input_.empty() || is_new ||
        stream_->has_unread_bytes())
        return !stream_->is_open();
    const auto self = shared_from_this();
    close();
    return !stream_->is_open();
}

void caller_channel::refuse_unfinished()
{
    if (parser_ && !closing_ && stream_->is_open())
        reject(status_unavailable, "shutting down");
}

bool caller_channel::check_timeouts(time_point now)
{
    if (!stream_->is_open())
        return false;
    if (serving_)
        return true;
    if (closing_)
        return check_drain_progress(now);
    // While the loop was busy, bytes may have arrived in time that the handler
    // of the socket has not read yet.
    if (stream_->has_unread_bytes())
        return true;
    if (parser_)
    {
        if (!parser_->is_header_done() &&
            now - phase_start_ > request_limits_.header_timeout)
            reject(status_request_timeout, "headers took too long");
        else if (parser_->is_header_done() &&
                 now - phase_start_ > request_limits_.idle_timeout)
            reject(status_request_timeout, "body stalled");
        return stream_->is_open();
    }
    const auto limit = std::max(limits_.idle_timeout, promised_idle_timeout_) +
                       limits_.idle_grace;
    if (now - phase_start_ <= limit || stream_->unsent_bytes() > 0)
        return true;
    if (handlers_.on_idle_timeout)
        handlers_.on_idle_timeout(
            {.idle_time = now - phase_start_, .limit = limit});
    stream_->close_when_drained();
    return stream_->is_open();
}

void caller_channel::record_body_progress(std::size_t bytes)
{
    body_progress_bytes_ += bytes;
    if (body_progress_bytes_ < min_body_progress_bytes)
        return;
    body_progress_bytes_ = 0;
    phase_start_ = net::boot_now();
}

bool caller_channel::check_drain_progress(time_point now)
{
    const auto unsent = stream_->unsent_bytes();
    if (unsent < last_unsent_bytes_)
        phase_start_ = now;
    last_unsent_bytes_ = unsent;
    if (now - phase_start_ > limits_.idle_timeout)
        stream_->abort();
    return stream_->is_open();
}

bool caller_channel::is_open() const
{
    return stream_->is_open();
}

std::size_t caller_channel::unsent_bytes() const
{
    return stream_->unsent_bytes();
}

std::size_t caller_channel::buffered_bytes() const
{
    return stream_->queue_capacity() + input_.capacity() +
           (parser_ ? parser_->get().body().capacity() : 0);
}

void caller_channel::set_limits(const caller_limits& limits)
{
    limits_ = applicable(limits);
}

} // namespace baobabloft::http
