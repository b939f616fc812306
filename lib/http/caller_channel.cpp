#include "baobabloft/http/caller_channel.hpp"

#include "baobabloft/net/event_loop.hpp"

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
constexpr unsigned http_1_1 = 11;
/// Bytes of further requests kept while one is served; reading stops beyond.
constexpr std::size_t max_pipelined_bytes = std::size_t{64} * 1024;

/// Answers to errors of the parser; everything else is a 400.
unsigned status_of(const beast::error_code& error)
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
    : stream_(std::move(stream)), limits_(limits), since_(now)
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
    const auto told = closing_ ? handlers_.on_closed : handlers_.on_drained;
    if (told)
        told();
}

void caller_channel::on_data(std::string_view bytes)
{
    // What follows the last answer belongs to no request.
    if (closing_)
        return;
    input_ += bytes;
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
    if (parsing_ || serving_ || input_.empty() || !stream_->is_open())
        return;
    if (!parser_)
    {
        parser_.emplace();
        parser_->header_limit(limits_.header_bytes);
        parser_->body_limit(limits_.body_bytes);
        parser_->eager(true);
        continue_sent_ = false;
        // The idle time ends with the first byte.
        since_ = net::boot_now();
    }
    beast::error_code error;
    const auto used = parser_->put(
        boost::asio::const_buffer{input_.data(), input_.size()}, error);
    input_.erase(0, used);
    if (error && error != bhttp::error::need_more)
    {
        reject(status_of(error), error.message());
        return;
    }
    if (parser_->is_header_done() && has_unknown_coding())
    {
        reject(status_bad_request, "transfer coding is not chunked");
        return;
    }
    if (!parser_->is_done())
    {
        // An incomplete header stays in the input; the parser sees it again.
        if (!parser_->is_header_done() && input_.size() > limits_.header_bytes)
            reject(status_headers_too_large, "header limit exceeded");
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
    caller_keeps_ = message.keep_alive();
    chunked_ = message.version() >= http_1_1;
    is_head_ = message.method() == bhttp::verb::head;
    const auto self = shared_from_this();
    parsing_ = true;
    if (handlers_.on_request)
        handlers_.on_request(std::move(message));
    parsing_ = false;
    parse_input();
}

bool caller_channel::has_unknown_coding() const
{
    // The parser takes a coding that it does not know for no coding.
    const auto& message = parser_->get();
    const auto coding = message[bhttp::field::transfer_encoding];
    return message.count(bhttp::field::transfer_encoding) > 1 ||
           (!coding.empty() && !beast::iequals(coding, "chunked"));
}

void caller_channel::reject(unsigned status, std::string_view why)
{
    const auto self = shared_from_this();
    const auto describe = handlers_.on_rejected;
    auto message = describe ? describe(status, why) : response{};
    message.result(status);
    message.version(http_1_1);
    message.set(bhttp::field::connection, "close");
    message.prepare_payload();
    stream_->send(serialize_message(message));
    input_.clear();
    stream_->set_reading(false);
    close();
}

void caller_channel::add_connection_fields(fields& all, bool keep) const
{
    if (!keep)
    {
        all.set(bhttp::field::connection, "close");
        return;
    }
    all.set(bhttp::field::keep_alive,
            "timeout=" + std::to_string(limits_.idle_timeout / 1s));
}

void caller_channel::respond(time_point now, response message, bool keep)
{
    keep_ = keep && caller_keeps_;
    message.version(http_1_1);
    add_connection_fields(message, keep_);
    message.prepare_payload();
    if (is_head_)
        message.body().clear();
    stream_->send(serialize_message(message));
    finish_answer(now);
}

void caller_channel::start_streamed_response(response_head head, bool keep)
{
    // Without chunks only the connection's end can mark the answer's end.
    keep_ = keep && caller_keeps_ && chunked_;
    head.version(http_1_1);
    add_connection_fields(head, keep_);
    if (chunked_)
        head.chunked(true);
    stream_->send(serialize_head(head));
}

void caller_channel::send_body_part(std::string_view data)
{
    if (!data.empty())
        stream_->send(chunked_ ? serialize_chunk(data) : std::string{data});
}

void caller_channel::end_streamed_response(time_point now)
{
    if (chunked_)
        stream_->send(serialize_last_chunk());
    finish_answer(now);
}

void caller_channel::finish_answer(time_point now)
{
    const auto self = shared_from_this();
    serving_ = false;
    since_ = now;
    if (!keep_)
    {
        close();
        return;
    }
    stream_->set_reading(true);
    if (!input_.empty())
        parse_input();
}

void caller_channel::close()
{
    closing_ = true;
    unsent_before_ = stream_->unsent_bytes();
    since_ = net::boot_now();
    // The answer may still be on its way out.
    stream_->close_when_drained();
    if (!stream_->is_open() && handlers_.on_closed)
        handlers_.on_closed();
}

void caller_channel::abort()
{
    stream_->abort();
}

bool caller_channel::close_if_idle()
{
    if (serving_ || closing_ || parser_ || !input_.empty())
        return !stream_->is_open();
    const auto self = shared_from_this();
    close();
    return !stream_->is_open();
}

bool caller_channel::check_timeouts(time_point now)
{
    if (!stream_->is_open())
        return false;
    if (serving_)
        return true;
    if (closing_)
        return drains(now);
    if (parser_)
    {
        if (!parser_->is_header_done() && now - since_ > limits_.header_timeout)
            reject(status_request_timeout, "headers took too long");
        return stream_->is_open();
    }
    if (now - since_ > limits_.idle_timeout + limits_.idle_grace)
        stream_->close_when_drained();
    return stream_->is_open();
}

bool caller_channel::drains(time_point now)
{
    const auto unsent = stream_->unsent_bytes();
    if (unsent < unsent_before_)
        since_ = now;
    unsent_before_ = unsent;
    if (now - since_ > limits_.idle_timeout)
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

void caller_channel::set_limits(const caller_limits& limits)
{
    limits_ = limits;
}

} // namespace baobabloft::http
