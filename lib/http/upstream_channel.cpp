// Implements HTTP/1.1 exchanges on one client connection.
#include "baobabloft/http/upstream_channel.hpp"

#include "baobabloft/support/hash.hpp"
#include "baobabloft/support/numbers.hpp"

#include <algorithm>
#include <atomic>
#include <utility>

namespace baobabloft::http
{

namespace
{

namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

constexpr std::uint32_t max_response_header_bytes = 32 * 1024;
/// The parser consumes whole lines only, and does not limit a chunk's header.
constexpr std::size_t max_unparsed_bytes = max_response_header_bytes;
constexpr std::uint32_t max_interim_responses = 16;
constexpr std::uint64_t max_response_body_bytes =
    std::uint64_t{64} * 1024 * 1024;
constexpr unsigned first_status = 100;
constexpr unsigned status_switching_protocols = 101;
constexpr unsigned first_final_status = 200;
constexpr unsigned last_status = 599;
/// Number of request ids after which a connection carries no further request.
constexpr std::size_t max_carried_ids = 512;

/// Returns the value of "timeout=N" (seconds) in a Keep-Alive header, if any.
std::optional<duration> parse_keep_alive_timeout(std::string_view value)
{
    constexpr std::string_view name = "timeout=";
    const auto start = value.find(name);
    if (start == std::string_view::npos)
        return std::nullopt;
    value.remove_prefix(start + name.size());
    value = value.substr(0, value.find_first_of(", "));
    const auto seconds = parse_number<unsigned>(value);
    if (!seconds)
        return std::nullopt;
    return *seconds * 1s;
}

/// Returns a number that no other connection has.
std::uint64_t next_serial()
{
    static std::atomic<std::uint64_t> last{0};
    return ++last;
}

} // namespace

std::shared_ptr<upstream_channel>
upstream_channel::open(net::event_loop& loop, const endpoint& peer,
                       const stream_options& options)
{
    auto stream = tcp_stream::connect(loop, peer, options);
    if (!stream)
        return nullptr;
    auto channel = std::make_shared<upstream_channel>(loop, std::move(stream));
    channel->set_stream_handlers();
    return channel;
}

upstream_channel::upstream_channel(net::event_loop& loop,
                                   std::shared_ptr<tcp_stream> stream)
    : loop_(loop), stream_(std::move(stream)), serial_(next_serial())
{
}

upstream_channel::~upstream_channel()
{
    stop_connect_timer();
}

void upstream_channel::stop_connect_timer()
{
    loop_.cancel_timer(std::exchange(connect_timer_, 0));
}

void upstream_channel::set_stream_handlers()
{
    const std::weak_ptr<upstream_channel> weak = weak_from_this();
    stream_->set_handlers({.on_connected =
                               [weak]
                           {
                               if (const auto self = weak.lock())
                               {
                                   self->connected_ = true;
                                   self->stop_connect_timer();
                               }
                           },
                           .on_data =
                               [weak](std::string_view bytes)
                           {
                               if (const auto self = weak.lock())
                                   self->on_data(bytes);
                           },
                           .on_end =
                               [weak](stream_end_reason reason)
                           {
                               if (const auto self = weak.lock())
                                   self->on_end(reason);
                           },
                           .on_drained = nullptr});
}

void upstream_channel::reset_parser()
{
    parser_.emplace();
    parser_->header_limit(max_response_header_bytes);
    parser_->body_limit(max_response_body_bytes);
    // Stops after the header, so that trailers are not taken for a part of it.
    parser_->eager(false);
    parser_->skip(is_head_request_);
    head_received_ = false;
    skipping_response_ = false;
}

void upstream_channel::exchange(outgoing_request message, handlers callbacks)
{
    handlers_ = std::make_shared<handlers>(std::move(callbacks));
    id_header_ = std::move(message.id_header);
    id_ = std::move(message.id);
    is_head_request_ = message.head.method() == bhttp::verb::head;
    busy_ = true;
    ++exchange_count_;
    if (!id_header_.empty())
    {
        carried_ids_.push_back(hash_bytes(id_));
        // Nothing tells the response to a request without an id from another.
        if (id_.empty() || carried_ids_.size() >= max_carried_ids)
            retired_ = true;
    }
    interim_responses_ = 0;
    reset_parser();
    auto bytes = serialize_head(message.head);
    bytes += message.body;
    request_start_offset_ = stream_->sent_bytes();
    request_end_offset_ = request_start_offset_ + bytes.size();
    if (!connected_)
    {
        const std::weak_ptr<upstream_channel> weak = weak_from_this();
        connect_timer_ =
            loop_.run_after(message.connect_timeout,
                            [weak]
                            {
                                const auto self = weak.lock();
                                if (!self)
                                    return;
                                self->connect_timer_ = 0;
                                self->fail(exchange_failure::connect_timed_out);
                            });
    }
    stream_->send(std::move(bytes));
}

void upstream_channel::abandon()
{
    handlers_.reset();
    busy_ = false;
    retired_ = true;
    stop_connect_timer();
    stream_->abort();
}

bool upstream_channel::discard_response()
{
    handlers_.reset();
    return busy_ && !retired_ && head_received_ && !parser_->need_eof();
}

void upstream_channel::set_reading(bool enabled)
{
    stream_->set_reading(enabled);
}

bool upstream_channel::has_sent_bytes() const
{
    return sent_request_bytes() > 0;
}

bool upstream_channel::is_reusable() const
{
    return !busy_ && !retired_ && stream_->is_open();
}

bool upstream_channel::is_open() const
{
    return stream_->is_open();
}

std::optional<duration> upstream_channel::announced_idle_timeout() const
{
    return announced_idle_timeout_;
}

bool upstream_channel::was_reused() const
{
    return exchange_count_ > 1;
}

std::uint32_t upstream_channel::exchange_count() const
{
    return exchange_count_;
}

std::uint64_t upstream_channel::sent_request_bytes() const
{
    return stream_->sent_bytes() - request_start_offset_;
}

bool upstream_channel::has_carried(std::string_view id) const
{
    return std::ranges::find(carried_ids_, hash_bytes(id)) !=
           carried_ids_.end();
}

std::uint64_t upstream_channel::serial() const
{
    return serial_;
}

void upstream_channel::on_data(std::string_view bytes)
{
    if (!busy_)
    {
        // Bytes received on an idle channel belong to no request.
        retired_ = true;
        stream_->abort();
        return;
    }
    input_ += bytes;
    parse_input();
}

void upstream_channel::parse_input()
{
    const auto self = shared_from_this();
    while (busy_ && !input_.empty())
    {
        beast::error_code error;
        const auto consumed = parser_->put(
            boost::asio::const_buffer{input_.data(), input_.size()}, error);
        input_.erase(0, consumed);
        if (error && error != bhttp::error::need_more)
        {
            fail(exchange_failure::malformed);
            return;
        }
        if (error && consumed == 0 && input_.size() > max_unparsed_bytes)
        {
            fail(exchange_failure::malformed);
            return;
        }
        if (parser_->is_header_done() && !head_received_ && !begin_response())
            continue;
        if (!busy_)
            return;
        if (head_received_ && !parser_->get().body().empty())
        {
            auto part = std::move(parser_->get().body());
            parser_->get().body().clear();
            if (const auto callbacks = handlers_;
                !skipping_response_ && callbacks && callbacks->on_body)
                callbacks->on_body(part);
        }
        if (busy_ && parser_->is_done())
        {
            if (skipping_response_)
            {
                reset_parser();
                continue;
            }
            finish_exchange();
            return;
        }
        if (error == bhttp::error::need_more && consumed == 0)
            return;
    }
}

bool upstream_channel::begin_response()
{
    const auto& message = parser_->get();
    const auto status = message.result_int();
    // No request asks for another protocol.
    if (status < first_status || status > last_status ||
        status == status_switching_protocols)
    {
        fail(exchange_failure::malformed);
        return false;
    }
    if (status < first_final_status)
    {
        if (++interim_responses_ > max_interim_responses)
            fail(exchange_failure::malformed);
        else
            reset_parser();
        return false;
    }
    head_received_ = true;
    parser_->eager(true);
    if (!id_header_.empty())
    {
        const auto echoed = field_value(message, id_header_);
        skipping_response_ = !echoed.empty() && echoed != id_;
        // Another response can only follow if this one does not end with the
        // connection.
        if (skipping_response_)
        {
            retired_ = true;
            // The length of a response to HEAD tells nothing of another one.
            if (parser_->need_eof() || is_head_request_)
                fail(exchange_failure::malformed);
            return true;
        }
    }
    if (const auto idle = parse_keep_alive_timeout(
            std_view(message[bhttp::field::keep_alive])))
        announced_idle_timeout_ = idle;
    if (!message.keep_alive())
        retired_ = true;
    if (const auto callbacks = handlers_; callbacks && callbacks->on_head)
    {
        response_head head;
        head.result(message.result_int());
        head.version(message.version());
        static_cast<fields&>(head) = static_cast<const fields&>(message);
        callbacks->on_head(head);
    }
    return true;
}

void upstream_channel::finish_exchange()
{
    // Bytes after the response, or a request that was not sent completely,
    // leave the channel in an unknown state.
    if (!input_.empty() || stream_->sent_bytes() < request_end_offset_)
        retired_ = true;
    busy_ = false;
    input_.clear();
    const auto callbacks = std::move(handlers_);
    if (retired_)
        stream_->close();
    if (callbacks && callbacks->on_complete)
        callbacks->on_complete();
}

void upstream_channel::on_end(stream_end_reason reason)
{
    retired_ = true;
    if (!busy_)
        return;
    if (reason == stream_end_reason::connect_failed)
    {
        fail(exchange_failure::connect_failed);
        return;
    }
    if (reason == stream_end_reason::peer_closed && head_received_ &&
        !skipping_response_ && parser_->need_eof())
    {
        beast::error_code error;
        parser_->put_eof(error);
        if (!error && parser_->is_done())
        {
            finish_exchange();
            return;
        }
    }
    fail(head_received_ && !skipping_response_
             ? exchange_failure::incomplete
             : exchange_failure::closed_without_response);
}

void upstream_channel::fail(exchange_failure reason)
{
    const auto self = shared_from_this();
    busy_ = false;
    retired_ = true;
    stop_connect_timer();
    const auto callbacks = std::move(handlers_);
    stream_->abort();
    if (callbacks && callbacks->on_failure)
        callbacks->on_failure(reason);
}

} // namespace baobabloft::http
