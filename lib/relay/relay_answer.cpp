// What a session answers: upstreams' answers, whole or event by event, and
// refusals of its own.
#include "session_text.hpp"

#include "baobabloft/relay/relay_session.hpp"
#include "baobabloft/router/log.hpp"
#include "baobabloft/support/numbers.hpp"

#include <algorithm>

namespace baobabloft::relay
{

namespace
{

namespace bhttp = boost::beast::http;
using dispatch::attempt_end;
using router::log_event;
using router::log_level;
using router::refusal_kind;

constexpr unsigned status_ok = 200;
constexpr unsigned first_redirect = 300;
constexpr unsigned first_server_error = 500;
constexpr unsigned status_misdirected = 421;
constexpr unsigned status_unavailable = 503;
/// Bytes for one caller that may wait here before reading stops.
constexpr std::size_t max_caller_backlog = std::size_t{256} * 1024;
constexpr std::size_t max_event_bytes = std::size_t{1024} * 1024;
constexpr std::size_t max_answer_bytes = std::size_t{16} * 1024 * 1024;
/// Retry-After of refusals that another router may not have to make.
constexpr duration elsewhere_pause = 20ms;
constexpr duration elsewhere_spread = 60ms;
/// Retry-After of other refusals, in parts of the time left.
constexpr double wait_part = 0.12;
constexpr double wait_spread = 0.15;

} // namespace

bool relay_session::is_genuine(const attempt_ptr& at) const
{
    const auto& names = context_.dialect;
    const bool is_success = at->head.result_int() < first_redirect;
    const bool is_signed = !http::field_of(at->head, names.signature).empty();
    const bool is_ours =
        http::field_of(at->head, names.request_id) == request_id_;
    // An encoded body is not what the upstream was asked for.
    const bool is_plain = at->head[bhttp::field::content_encoding].empty();
    return !is_success || (is_signed && is_ours && is_plain);
}

bool relay_session::says_not_run(const attempt_ptr& at) const
{
    return at->head.result_int() == status_misdirected ||
           !http::field_of(at->head, context_.dialect.not_run).empty();
}

void relay_session::on_head(const attempt_ptr& at,
                            const http::response_head& head)
{
    const auto now = net::boot_now();
    at->head = head;
    const auto& names = context_.dialect;
    if (const auto load = names.read_load(http::field_of(head, names.load)))
        context_.selector.record_load(now, at->upstream, *load);
    if (const auto cold = parse_number<std::uint32_t>(
            http::field_of(head, names.cold_left_ms)))
        context_.follower.state().record_cold(at->upstream, now + *cold * 1ms);
    if (!is_genuine(at))
    {
        end_attempt(at, attempt_end::broken, "answer is not the upstream's");
        return;
    }
    at->is_stream = route_->kind == directory::request_kind::streaming &&
                    head.result_int() == status_ok;
}

void relay_session::on_body(const attempt_ptr& at, std::string_view bytes)
{
    if (!at->is_stream)
    {
        at->body += bytes;
        if (at->body.size() > max_answer_bytes)
            end_attempt(at, attempt_end::broken, "answer is too large");
        return;
    }
    splitter_.add(bytes);
    if (splitter_.buffered() > max_event_bytes)
    {
        end_attempt(at, attempt_end::broken, "event is too large");
        return;
    }
    deliver_events(at);
}

void relay_session::deliver_events(const attempt_ptr& at)
{
    std::string out;
    while (const auto event = splitter_.next())
        if (!deliver_event(at, *event, out))
        {
            if (!out.empty())
                caller_->send_part(out);
            end_attempt(at, attempt_end::broken, "event out of order");
            return;
        }
    if (out.empty())
        return;
    caller_->send_part(out);
    if (caller_->unsent() > max_caller_backlog)
        at->channel->set_reading(false);
    arm(at);
}

bool relay_session::deliver_event(const attempt_ptr& at,
                                  const router::sse_event& event,
                                  std::string& out)
{
    if (event.id && last_event_)
    {
        // A resumed stream may repeat what the caller has.
        if (*event.id <= *last_event_)
            return true;
        if (*event.id != *last_event_ + 1)
            return false;
    }
    const auto now = net::boot_now();
    if (!stream_started_)
    {
        start_stream(at);
        context_.counters.first_token(service_->name, now - arrived_);
    }
    else
        context_.counters.between_tokens(service_->name, now - last_progress_);
    last_progress_ = now;
    if (event.id)
        last_event_ = event.id;
    out += event.bytes;
    return true;
}

void relay_session::start_stream(const attempt_ptr& at)
{
    stream_started_ = true;
    history_.answer_started = true;
    http::response_head head;
    head.result(at->head.result_int());
    copy_fields(at->head, head, context_.dialect.internal);
    caller_->start_stream(std::move(head), !context_.leaving());
}

void relay_session::on_complete(const attempt_ptr& at)
{
    if (at->is_stream)
        finish_stream(at);
    else
        finish_whole(at);
}

void relay_session::finish_stream(const attempt_ptr& at)
{
    if (splitter_.buffered() > 0)
    {
        end_attempt(at, attempt_end::broken, "stream ended inside an event");
        return;
    }
    context_.selector.record_success(net::boot_now(), at->upstream);
    context_.crashes.clear(fingerprint_);
    close_attempt(at);
    if (!stream_started_)
        start_stream(at);
    caller_->end_stream(net::boot_now());
    finish("answered");
}

void relay_session::finish_whole(const attempt_ptr& at)
{
    const auto status = at->head.result_int();
    if (says_not_run(at))
    {
        end_attempt(at, attempt_end::declined,
                    status == status_misdirected ? "another server's address"
                                                 : "upstream is full");
        return;
    }
    if (stream_started_)
    {
        end_attempt(at, attempt_end::failed, "resumed stream was refused");
        return;
    }
    if (status >= first_server_error || promises_not_run(status))
    {
        end_attempt(at, attempt_end::failed, std::to_string(status));
        return;
    }
    context_.selector.record_success(net::boot_now(), at->upstream);
    context_.crashes.clear(fingerprint_);
    close_attempt(at);
    forward(at);
}

void relay_session::forward(const attempt_ptr& at)
{
    const auto status = at->head.result_int();
    if (promises_not_run(status))
    {
        // Without its mark the promise is not the upstream's to make.
        fail(refusal_kind::upstream_failed, "unmarked refusal");
        return;
    }
    http::response out;
    out.result(status);
    copy_fields(at->head, out, context_.dialect.internal);
    out.body() = std::move(at->body);
    context_.counters.answered(service_->name, net::boot_now() - arrived_);
    caller_->respond(net::boot_now(), std::move(out), !context_.leaving());
    finish("answered");
}

void relay_session::refuse(refusal_kind kind, std::string_view why)
{
    const auto now = net::boot_now();
    const bool elsewhere = kind == refusal_kind::isolated ||
                           kind == refusal_kind::not_ready ||
                           kind == refusal_kind::leaving;
    std::uniform_real_distribution<double> spread{0, 1};
    duration pause{};
    if (elsewhere)
        pause = elsewhere_pause + from_seconds(spread(context_.random) *
                                               to_seconds(elsewhere_spread));
    else if (route_ != nullptr)
        pause =
            from_seconds((wait_part + wait_spread * spread(context_.random)) *
                         to_seconds(std::max<duration>(latest_ - now, 0ms)));
    log_event(log_level::info, "refused",
              {{"request", request_id_},
               {"kind", std::string{router::row_of(kind).name}},
               {"why", std::string{why}},
               {"route", route_ != nullptr ? route_->name : ""},
               {"customer", customer_ != nullptr ? customer_->name : ""},
               {"config", config_ ? std::to_string(config_->version) : "none"},
               {"proof_age_ms", in_ms(context_.proof_age(now))},
               {"attempts", std::to_string(history_.attempts)},
               {"after_ms", in_ms(now - arrived_)},
               {"executed", "no"}});
    answer_problem(kind, router::executed::no,
                   router::row_of(kind).retry_after_s > 0 ? std::optional{pause}
                                                          : std::nullopt);
    finish("refused");
}

void relay_session::fail(refusal_kind kind, std::string_view why)
{
    const auto now = net::boot_now();
    log_event(log_level::info, "failed",
              {{"request", request_id_},
               {"kind", std::string{router::row_of(kind).name}},
               {"why", std::string{why}},
               {"route", route_->name},
               {"attempts", std::to_string(history_.attempts)},
               {"runs", std::to_string(history_.runs)},
               {"after_ms", in_ms(now - arrived_)},
               {"executed", "unknown"}});
    answer_problem(kind, router::executed::unknown, std::nullopt);
    finish("failed");
}

void relay_session::answer_problem(refusal_kind kind, router::executed ran,
                                   std::optional<duration> retry_after)
{
    context_.counters.refused(kind);
    auto status = router::row_of(kind).status;
    // Statuses are promises here: 503 that the request did not run.
    // What is in quarantine may be taken again later.
    if (ran == router::executed::no &&
        (status >= first_server_error || kind == refusal_kind::quarantined))
        status = status_unavailable;
    http::response out;
    out.result(status);
    out.set(http::beast_view(context_.dialect.request_id), request_id_);
    out.set(bhttp::field::content_type, "application/problem+json");
    if (retry_after)
    {
        constexpr int thousand = 1000;
        const auto ms = std::max<std::int64_t>(*retry_after / 1ms, 1);
        auto fraction = std::to_string(ms % thousand);
        fraction.insert(0, 3 - fraction.size(), '0');
        out.set(bhttp::field::retry_after,
                std::to_string(ms / thousand) + "." + fraction);
    }
    out.body() = router::problem_json(kind, ran, request_id_);
    const bool elsewhere =
        kind == refusal_kind::isolated || kind == refusal_kind::not_ready;
    caller_->respond(net::boot_now(), std::move(out),
                     !context_.leaving() && !elsewhere);
}

void relay_session::caller_drained()
{
    if (current_ && !current_->over && current_->channel)
        current_->channel->set_reading(true);
}

} // namespace baobabloft::relay
