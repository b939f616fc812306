// Responses of a session: upstreams' responses, buffered or streamed event by
// event, and the session's own refusals and failures.
#include "session_text.hpp"

#include "baobabloft/relay/relay_session.hpp"
#include "baobabloft/router/log.hpp"
#include "baobabloft/support/numbers.hpp"

#include <algorithm>
#include <cmath>

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
constexpr unsigned first_client_error = 400;
constexpr unsigned first_server_error = 500;
constexpr unsigned status_misdirected = 421;
constexpr unsigned status_unavailable = 503;
/// Unsent bytes for one caller above which reading from the upstream pauses.
constexpr std::size_t max_caller_backlog = std::size_t{256} * 1024;
/// A request that crashes its upstream does so when its response begins. A
/// response with more events than this is well under way.
constexpr std::uint32_t max_events_of_suspect = 1;
/// Longer pauses that an upstream asks for are cut before they are converted.
constexpr double max_pause_s = 3600;

} // namespace

bool relay_session::is_genuine(const attempt_ptr& attempt) const
{
    const auto& names = context_.dialect;
    const bool is_success = attempt->head.result_int() < first_redirect;
    const bool is_signed =
        !http::field_value(attempt->head, names.signature).empty();
    const bool is_only_one =
        request_id_.empty() && !attempt->channel->was_reused();
    const bool is_matched = names_request(attempt) || is_only_one;
    // Upstreams are expected to send bodies without a content encoding.
    const bool is_unencoded =
        attempt->head[bhttp::field::content_encoding].empty();
    // On a reused connection, a response without an id may be a late copy of
    // the previous one.
    if (!is_matched && attempt->channel->was_reused())
        return false;
    return !is_success || (is_signed && is_matched && is_unencoded);
}

bool relay_session::names_request(const attempt_ptr& attempt) const
{
    const auto& name = context_.dialect.request_id;
    return attempt->has_head && !request_id_.empty() &&
           attempt->head.count(http::beast_view(name)) == 1 &&
           http::field_value(attempt->head, name) == request_id_;
}

bool relay_session::reports_not_run(const attempt_ptr& attempt) const
{
    const auto status = attempt->head.result_int();
    return status == status_misdirected ||
           (status >= first_client_error &&
            !http::field_value(attempt->head, context_.dialect.not_run)
                 .empty());
}

void relay_session::on_head(const attempt_ptr& attempt,
                            const http::response_head& head)
{
    const auto now = net::boot_now();
    attempt->head = head;
    attempt->has_head = true;
    const auto& names = context_.dialect;
    if (!is_genuine(attempt))
    {
        end_attempt(attempt, attempt_end::broken,
                    "response is unsigned, encoded or for another request");
        return;
    }
    if (const auto load = names.parse_load(http::field_value(head, names.load)))
        context_.selector.record_load(now, attempt->upstream, *load);
    if (const auto cold_left_ms = parse_number<std::uint32_t>(
            http::field_value(head, names.cold_left_ms)))
        context_.follower.state().record_cold(attempt->upstream,
                                              now + *cold_left_ms * 1ms);
    record_announcements(attempt);
    record_rate_limit(attempt);
    attempt->is_stream = route_->kind == directory::request_kind::streaming &&
                         head.result_int() == status_ok;
    if (!attempt->is_stream && head.result_int() < first_server_error)
        record_first_byte(attempt);
}

void relay_session::record_announcements(const attempt_ptr& attempt)
{
    const auto& head = attempt->head;
    auto& selector = context_.selector;
    if (http::field_value(head, context_.dialect.leaving) == "1" &&
        selector.record_leaving(attempt->upstream))
        log_event(log_level::info, "upstream_leaving",
                  {{"request", request_id_}, {"upstream", attempt->upstream}});
    const auto pause_s =
        parse_number<double>(http::std_view(head[bhttp::field::retry_after]));
    if (head.result_int() != status_unavailable || !pause_s ||
        !std::isfinite(*pause_s) || *pause_s <= 0)
        return;
    selector.record_requested_pause(
        net::boot_now(), attempt->upstream,
        from_seconds(std::min(*pause_s, max_pause_s)));
    log_event(log_level::info, "upstream_paused",
              {{"request", request_id_},
               {"upstream", attempt->upstream},
               {"seconds",
                std::string{http::std_view(head[bhttp::field::retry_after])}}});
}

void relay_session::record_rate_limit(const attempt_ptr& attempt)
{
    const auto& head = attempt->head;
    const auto& names = context_.dialect;
    // Only the upstream itself can end a limit; its refusals need no signature.
    // A misdirected request was answered by another upstream.
    const bool is_from_upstream =
        !http::field_value(head, names.signature).empty() ||
        (reports_not_run(attempt) && names_request(attempt));
    if (head.result_int() == status_misdirected)
        return;
    const auto stated = head.equal_range(http::beast_view(names.rate_limit));
    const bool has_field = stated.first != stated.second;
    std::optional<double> rate;
    for (auto field = stated.first; field != stated.second; ++field)
        if (const auto value =
                names.parse_rate_limit(http::std_view(field->value())))
            rate = std::min(*value, rate.value_or(*value));
    if (!rate && (has_field || !is_from_upstream))
        return;
    const auto now = net::boot_now();
    const auto change = context_.selector.record_rate_limit(
        now, attempt->upstream, {rate, rate ? now : attempt->started});
    if (change == dispatch::rate_limit_change::none)
        return;
    log_event(log_level::info, "upstream_limited",
              {{"request", request_id_},
               {"upstream", attempt->upstream},
               {"change", std::string{name_in(dispatch::rate_limit_change_names,
                                              change)}},
               {"rate", rate ? format_one_decimal(*rate) : ""}});
}

void relay_session::on_body(const attempt_ptr& attempt, std::string_view bytes)
{
    if (attempt == hedge_attempt_)
    {
        on_hedge_body(attempt, bytes);
        return;
    }
    if (!attempt->is_stream)
    {
        attempt->body += bytes;
        if (attempt->body.size() > max_response_bytes)
        {
            end_attempt(attempt, attempt_end::broken,
                        "response body is too large");
            return;
        }
        keep_pace(attempt, 1, bytes.size());
        context_.record_received(bytes.size());
        return;
    }
    event_splitter_.add(bytes);
    if (event_splitter_.buffered_bytes() > max_event_bytes)
    {
        end_attempt(attempt, attempt_end::broken, "event is too large");
        return;
    }
    const auto events = deliver_events(attempt);
    if (attempt->over)
        return;
    keep_pace(attempt, 1 + events, bytes.size());
    context_.record_received(bytes.size());
}

void relay_session::keep_pace(const attempt_ptr& attempt, std::size_t pieces,
                              std::size_t bytes)
{
    const auto pause = pace_.record(net::boot_now(), pieces, bytes);
    if (pause <= 0ms)
        return;
    is_paused_for_pace_ = true;
    update_reading(attempt);
    pace_timer_.set(pause,
                    [weak = weak_from_this(), attempt]
                    {
                        const auto self = weak.lock();
                        if (!self || attempt->over)
                            return;
                        self->is_paused_for_pace_ = false;
                        self->update_reading(attempt);
                    });
}

void relay_session::update_reading(const attempt_ptr& attempt)
{
    attempt->channel->set_reading(!is_paused_for_caller_ &&
                                  !is_paused_for_pace_);
}

std::size_t relay_session::deliver_events(const attempt_ptr& attempt)
{
    std::string out;
    bool has_progress = false;
    std::size_t count = 0;
    while (const auto event = event_splitter_.next())
    {
        ++count;
        has_progress = has_progress || event->has_content;
        attempt->events += event->has_content ? 1 : 0;
        if (event->has_content && !attempt->first_content_after)
            attempt->first_content_after = net::boot_now() - attempt->started;
        if (!deliver_event(attempt, *event, out))
        {
            if (!out.empty())
                caller_->send_body_part(out);
            end_attempt(attempt, attempt_end::broken,
                        "event has no id or is out of sequence");
            return count;
        }
    }
    if (attempt->events > max_events_of_suspect)
        record_sound_features(attempt);
    if (!out.empty())
        caller_->send_body_part(out);
    if (caller_->unsent_bytes() > max_caller_backlog)
    {
        is_paused_for_caller_ = true;
        update_reading(attempt);
    }
    if (has_progress)
        arm_attempt_timer(attempt);
    return count;
}

bool relay_session::deliver_event(const attempt_ptr& attempt,
                                  const router::sse_event& event,
                                  std::string& out)
{
    if (event.id && last_event_id_)
    {
        // A resumed stream may repeat events that the caller already has.
        if (*event.id <= *last_event_id_)
            return true;
        if (*event.id != *last_event_id_ + 1)
            return false;
    }
    // The text of an error, not a part of a stream whose events have ids.
    if (!event.id && last_event_id_ && !event.is_comment)
        return false;
    if (!event.has_content && !stream_started_)
        return true;
    const auto now = net::boot_now();
    if (!stream_started_)
    {
        start_stream(attempt);
        context_.counters.record_first_token(service_->name, now - arrived_at_);
    }
    else
        context_.counters.record_token_gap(service_->name,
                                           now - last_event_at_);
    last_event_at_ = now;
    if (event.id)
        last_event_id_ = event.id;
    out += event.bytes;
    return true;
}

void relay_session::start_stream(const attempt_ptr& attempt)
{
    record_first_byte(attempt);
    cancel_hedge();
    stream_started_ = true;
    history_.response_started = true;
    http::response_head head;
    head.result(attempt->head.result_int());
    copy_forwarded_fields(attempt->head, head,
                          context_.dialect.internal_response_headers);
    caller_->start_streamed_response(std::move(head),
                                     !context_.is_shutting_down());
}

void relay_session::on_complete(const attempt_ptr& attempt)
{
    if (attempt == hedge_attempt_)
        on_hedge_complete(attempt);
    else if (attempt->is_stream)
        finish_stream(attempt);
    else
        finish_buffered(attempt);
}

void relay_session::record_success(const attempt_ptr& attempt)
{
    const auto now = net::boot_now();
    context_.selector.record_success(now, attempt->upstream);
    record_version_outcome(attempt, false);
    record_sound_features(attempt);
}

void relay_session::record_sound_features(const attempt_ptr& attempt)
{
    // A response that was under way earlier has been recorded then.
    if (std::exchange(attempt->is_under_way, true))
        return;
    // Other responses than successes need not have touched the prompt.
    std::span<const request_feature> sound{features_};
    if (attempt->head.result_int() >= first_redirect)
        sound = sound.first(1);
    context_.protection.record_success(net::boot_now(), sound);
    context_.send_protection_messages();
}

void relay_session::finish_stream(const attempt_ptr& attempt)
{
    if (event_splitter_.buffered_bytes() > 0)
    {
        end_attempt(attempt, attempt_end::broken,
                    "stream ended inside an event");
        return;
    }
    const auto& head = attempt->head;
    if (attempt->events == 0 && !head.has_content_length() && !head.chunked())
    {
        // Only the connection's end shows that such a response is whole, and a
        // crash ends the connection, too.
        end_attempt(attempt, attempt_end::broken, "stream without any event");
        return;
    }
    record_success(attempt);
    close_attempt(attempt);
    if (!stream_started_)
        start_stream(attempt);
    answered_ = true;
    caller_->end_streamed_response(net::boot_now());
    finish("answered");
}

void relay_session::finish_buffered(const attempt_ptr& attempt)
{
    const auto status = attempt->head.result_int();
    if (reports_not_run(attempt))
    {
        end_attempt(attempt, attempt_end::declined,
                    status == status_misdirected
                        ? "address belongs to another upstream"
                        : "upstream declined the request");
        return;
    }
    if (stream_started_)
    {
        end_attempt(attempt, attempt_end::failed,
                    "upstream did not resume the stream");
        return;
    }
    if (status >= first_server_error || promises_not_run(status))
    {
        end_attempt(attempt, attempt_end::failed, std::to_string(status));
        return;
    }
    record_success(attempt);
    close_attempt(attempt);
    forward_response(attempt);
}

void relay_session::forward_response(const attempt_ptr& attempt)
{
    const auto status = attempt->head.result_int();
    if (promises_not_run(status))
    {
        // Callers take these statuses as a promise that the request did not
        // run, but the upstream did not send the header that confirms it.
        fail(refusal_kind::upstream_failed,
             "refusal status without the not-run header");
        return;
    }
    http::response out;
    out.result(status);
    copy_forwarded_fields(attempt->head, out,
                          context_.dialect.internal_response_headers);
    out.body() = std::move(attempt->body);
    context_.counters.record_response(service_->name,
                                      net::boot_now() - arrived_at_);
    answered_ = true;
    caller_->respond(net::boot_now(), std::move(out),
                     !context_.is_shutting_down());
    finish("answered");
}

dispatch::planned_return relay_session::plan_return(refusal_kind kind,
                                                    time_point now)
{
    std::uniform_real_distribution<double> distribution{0, 1};
    const double random = distribution(context_.random);
    const auto time_left = std::max<duration>(deadline_ - now, 0ms);
    const bool other_router_may_serve = kind == refusal_kind::isolated ||
                                        kind == refusal_kind::not_ready ||
                                        kind == refusal_kind::leaving;
    if (!other_router_may_serve)
        return context_.returns.plan(
            now, service_ != nullptr ? service_->name : "",
            service_ != nullptr ? context_.selector.outlook(now, *service_)
                                : dispatch::room_outlook{},
            time_left, random);
    if (kind == refusal_kind::isolated &&
        context_.follower.is_store_unavailable(now))
        return dispatch::return_schedule::plan_store_return(time_left, random);
    return dispatch::return_schedule::plan_other_router(random);
}

void relay_session::refuse(refusal_kind kind, std::string_view reason,
                           refusal_kind kind_if_run)
{
    if (may_have_run())
    {
        fail(kind_if_run, reason);
        return;
    }
    const auto now = net::boot_now();
    std::optional<dispatch::planned_return> planned;
    if (router::refusal_row_of(kind).retry_after_s > 0)
        planned = plan_return(kind, now);
    const auto return_reason =
        planned ? name_in(dispatch::return_reason_names, planned->reason)
                : "never";
    context_.counters.increment("baobab_returns_total", "reason",
                                return_reason);
    log_event(log_level::info, "refused",
              {{"request", request_id_},
               {"kind", std::string{router::refusal_row_of(kind).name}},
               {"why", std::string{reason}},
               {"route", route_ != nullptr ? route_->name : ""},
               {"customer", customer_ != nullptr ? customer_->name : ""},
               {"config", config_ ? std::to_string(config_->version) : "none"},
               {"proof_age_ms", format_ms(context_.confirmation_age(now))},
               {"attempts", std::to_string(history_.attempts)},
               {"after_ms", format_ms(now - arrived_at_)},
               {"return", std::string{return_reason}},
               {"return_ms", format_ms(planned ? planned->after : 0ms)},
               {"executed", "no"}});
    respond_with_problem(kind, router::executed::no,
                         planned ? std::optional{planned->after}
                                 : std::nullopt);
    finish("refused");
}

void relay_session::fail(refusal_kind kind, std::string_view reason)
{
    const auto now = net::boot_now();
    log_event(log_level::info, "failed",
              {{"request", request_id_},
               {"kind", std::string{router::refusal_row_of(kind).name}},
               {"why", std::string{reason}},
               {"route", route_->name},
               {"attempts", std::to_string(history_.attempts)},
               {"runs", std::to_string(history_.runs)},
               {"after_ms", format_ms(now - arrived_at_)},
               {"executed", "unknown"}});
    respond_with_problem(kind, router::executed::unknown, std::nullopt);
    finish("failed");
}

void relay_session::break_off(std::string_view reason)
{
    log_event(log_level::info, "broken_off",
              {{"request", request_id_},
               {"why", std::string{reason}},
               {"attempts", std::to_string(history_.attempts)},
               {"runs", std::to_string(history_.runs)},
               {"left_ms", format_ms(deadline_ - net::boot_now())}});
    // A reset, so that the caller does not take the stream for a complete one.
    caller_->abort();
    finish("broken_off");
}

void relay_session::respond_with_problem(refusal_kind kind,
                                         router::executed ran,
                                         std::optional<duration> retry_after)
{
    context_.counters.record_refusal(kind);
    auto status = router::refusal_row_of(kind).status;
    // Callers rely on the status: 503 promises that the request did not run.
    // A quarantined request gets it too, since it may be accepted again later.
    if (ran == router::executed::no &&
        (status >= first_server_error || kind == refusal_kind::quarantined))
        status = status_unavailable;
    http::response out;
    out.result(status);
    out.set(http::beast_view(context_.dialect.request_id), request_id_);
    out.set(bhttp::field::content_type, "application/problem+json");
    if (retry_after)
    {
        constexpr int ms_per_s = 1000;
        const auto ms = std::max<std::int64_t>(*retry_after / 1ms, 1);
        auto fraction = std::to_string(ms % ms_per_s);
        fraction.insert(0, 3 - fraction.size(), '0');
        out.set(bhttp::field::retry_after,
                std::to_string(ms / ms_per_s) + "." + fraction);
    }
    out.body() = router::problem_json(kind, ran, request_id_);
    const bool other_router_may_serve =
        kind == refusal_kind::isolated || kind == refusal_kind::not_ready;
    answered_ = true;
    caller_->respond(net::boot_now(), std::move(out),
                     !context_.is_shutting_down() && !other_router_may_serve);
}

void relay_session::on_caller_drained()
{
    if (!is_paused_for_caller_)
        return;
    is_paused_for_caller_ = false;
    if (!current_attempt_ || current_attempt_->over)
        return;
    // The time in which the caller did not read counts for no upstream.
    arm_attempt_timer(current_attempt_);
    update_reading(current_attempt_);
}

} // namespace baobabloft::relay
