#include "baobabloft/http/upstream_channel.hpp"

#include "baobabloft/support/numbers.hpp"

#include <utility>

namespace baobabloft::http
{

namespace
{

namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

constexpr std::uint32_t answer_header_limit = 32 * 1024;
constexpr std::uint64_t answer_body_limit = std::uint64_t{64} * 1024 * 1024;
constexpr unsigned first_final_status = 200;

/// Returns the seconds of "timeout=N" in a Keep-Alive header.
std::optional<duration> idle_of(std::string_view value)
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

} // namespace

std::shared_ptr<upstream_channel>
upstream_channel::open(net::event_loop& loop, const endpoint& peer,
                       const stream_options& options)
{
    auto stream = tcp_stream::connect(loop, peer, options);
    if (!stream)
        return nullptr;
    auto channel = std::make_shared<upstream_channel>(loop, std::move(stream));
    channel->attach();
    return channel;
}

upstream_channel::upstream_channel(net::event_loop& loop,
                                   std::shared_ptr<tcp_stream> stream)
    : loop_(loop), stream_(std::move(stream))
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

void upstream_channel::attach()
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
                               [weak](stream_end how)
                           {
                               if (const auto self = weak.lock())
                                   self->on_end(how);
                           },
                           .on_drained = nullptr});
}

void upstream_channel::reset_parser()
{
    parser_.emplace();
    parser_->header_limit(answer_header_limit);
    parser_->body_limit(answer_body_limit);
    parser_->eager(true);
    parser_->skip(is_head_request_);
    head_seen_ = false;
    skipping_ = false;
}

void upstream_channel::exchange(outgoing_request message, handlers callbacks)
{
    handlers_ = std::make_shared<handlers>(std::move(callbacks));
    id_header_ = std::move(message.id_header);
    id_ = std::move(message.id);
    is_head_request_ = message.head.method() == bhttp::verb::head;
    busy_ = true;
    ++exchanges_;
    reset_parser();
    auto bytes = head_bytes(message.head);
    bytes += message.body;
    sent_before_ = stream_->sent();
    queued_ = sent_before_ + bytes.size();
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
    spent_ = true;
    stop_connect_timer();
    stream_->abort();
}

bool upstream_channel::discard_answer()
{
    handlers_.reset();
    return busy_ && !spent_ && head_seen_ && !parser_->need_eof();
}

void upstream_channel::set_reading(bool enabled)
{
    stream_->set_reading(enabled);
}

bool upstream_channel::has_sent() const
{
    return stream_->sent() > sent_before_;
}

bool upstream_channel::is_reusable() const
{
    return !busy_ && !spent_ && stream_->is_open();
}

bool upstream_channel::is_open() const
{
    return stream_->is_open();
}

std::optional<duration> upstream_channel::announced_idle() const
{
    return announced_idle_;
}

bool upstream_channel::was_reused() const
{
    return exchanges_ > 1;
}

void upstream_channel::on_data(std::string_view bytes)
{
    if (!busy_)
    {
        // Bytes on an idle channel belong to no request.
        spent_ = true;
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
        const auto used = parser_->put(
            boost::asio::const_buffer{input_.data(), input_.size()}, error);
        input_.erase(0, used);
        if (error && error != bhttp::error::need_more)
        {
            fail(exchange_failure::malformed);
            return;
        }
        if (parser_->is_header_done() && !head_seen_ && !begin_answer())
            continue;
        if (!busy_)
            return;
        if (head_seen_ && !parser_->get().body().empty())
        {
            auto part = std::move(parser_->get().body());
            parser_->get().body().clear();
            if (const auto told = handlers_;
                !skipping_ && told && told->on_body)
                told->on_body(part);
        }
        if (busy_ && parser_->is_done())
        {
            if (skipping_)
            {
                reset_parser();
                continue;
            }
            finish();
            return;
        }
        if (error == bhttp::error::need_more && used == 0)
            return;
    }
}

/// Takes in a header; returns false if it was an interim answer.
bool upstream_channel::begin_answer()
{
    const auto& message = parser_->get();
    if (message.result_int() < first_final_status)
    {
        reset_parser();
        return false;
    }
    head_seen_ = true;
    if (!id_header_.empty())
    {
        const auto echoed = field_of(message, id_header_);
        skipping_ = !echoed.empty() && echoed != id_;
        // A late answer can only follow if this one has an end of its own.
        if (skipping_)
        {
            spent_ = true;
            if (parser_->need_eof())
            {
                fail(exchange_failure::malformed);
                return true;
            }
            return true;
        }
    }
    if (const auto idle = idle_of(view_of(message[bhttp::field::keep_alive])))
        announced_idle_ = idle;
    if (!message.keep_alive())
        spent_ = true;
    if (const auto told = handlers_; told && told->on_head)
    {
        response_head head;
        head.result(message.result_int());
        head.version(message.version());
        static_cast<fields&>(head) = static_cast<const fields&>(message);
        told->on_head(head);
    }
    return true;
}

void upstream_channel::finish()
{
    // Bytes beyond the answer, or a request that the upstream did not read to
    // its end, leave the channel in an unknown state.
    if (!input_.empty() || stream_->sent() < queued_)
        spent_ = true;
    busy_ = false;
    input_.clear();
    const auto told = std::move(handlers_);
    if (spent_)
        stream_->close();
    if (told && told->on_complete)
        told->on_complete();
}

void upstream_channel::on_end(stream_end how)
{
    spent_ = true;
    if (!busy_)
        return;
    if (how == stream_end::connect_failed)
    {
        fail(exchange_failure::connect_failed);
        return;
    }
    if (how == stream_end::peer_closed && head_seen_ && !skipping_ &&
        parser_->need_eof())
    {
        beast::error_code error;
        parser_->put_eof(error);
        if (!error && parser_->is_done())
        {
            finish();
            return;
        }
    }
    fail(head_seen_ && !skipping_ ? exchange_failure::incomplete
                                  : exchange_failure::closed_without_answer);
}

void upstream_channel::fail(exchange_failure why)
{
    const auto self = shared_from_this();
    busy_ = false;
    spent_ = true;
    stop_connect_timer();
    const auto told = std::move(handlers_);
    stream_->abort();
    if (told && told->on_failure)
        told->on_failure(why);
}

} // namespace baobabloft::http
