// Hedged requests of a session: a second attempt beside the first one if that
// is slow for its route. The first usable response wins, and the other attempt
// is cancelled.
#include "session_text.hpp"

#include "baobabloft/http/attempt_callback.hpp"
#include "baobabloft/relay/relay_session.hpp"
#include "baobabloft/router/log.hpp"

namespace baobabloft::relay
{

namespace
{

using dispatch::hedge_outcome;
using dispatch::hedge_refusal;
using router::log_event;
using router::log_level;

constexpr unsigned first_server_error = 500;
/// With less time than this left before the deadline, a hedge cannot succeed.
constexpr duration min_hedge_time = 30ms;

} // namespace

void relay_session::arm_hedge_timer(const attempt_ptr& attempt)
{
    auto& hedges = context_.hedges;
    if (!hedges.is_enabled() || history_.attempts > 1 ||
        !route_->is_repeatable() || route_->max_runs < 2)
        return;
    attempt->is_timed = true;
    if (const auto delay = hedges.delay_of(attempt->started, route_->name))
        hedge_timer_.set(*delay,
                         http::attempt_callback(weak_from_this(), attempt,
                                                &relay_session::on_slow));
}

void relay_session::on_slow(const attempt_ptr& attempt)
{
    const auto now = net::boot_now();
    attempt->is_slow = true;
    context_.hedges.record_slow(now, route_->name);
    const auto excluded_ids = std::vector{attempt->upstream};
    const auto query = make_query(excluded_ids);
    dispatch::selection target;
    std::optional<hedge_refusal> refusal;
    if (!may_hedge(now))
        refusal = hedge_refusal::request;
    else if (!context_.hedges.permits_hedge(now, route_->name))
        refusal = hedge_refusal::all_slow;
    else if (target = context_.selector.choose_hedge(now, query);
             target.upstream == nullptr)
        refusal = hedge_refusal::no_upstream;
    else if (!context_.retry_budget.try_take_hedge(now, service_->name,
                                                   context_.router_count()))
        refusal = hedge_refusal::budget;
    if (refusal)
    {
        context_.counters.increment(
            "baobab_hedges_withheld_total", "why",
            name_in(dispatch::hedge_refusal_names, *refusal));
        return;
    }
    context_.hedges.record_hedge(route_->name);
    log_event(log_level::info, "hedge_sent",
              {{"request", request_id_},
               {"route", route_->name},
               {"slow", attempt->upstream},
               {"upstream", target.upstream->record.id},
               {"after_ms", format_ms(now - attempt->started)},
               {"left_ms", format_ms(deadline_ - now)}});
    ++history_.attempts;
    const auto hedge = std::make_shared<upstream_attempt>();
    hedge_attempt_ = hedge;
    send_attempt(hedge, *target.upstream, target);
}

bool relay_session::may_hedge(time_point now) const
{
    return !is_trial_ && !context_.is_shutting_down() &&
           now + min_hedge_time < deadline_ &&
           history_.runs + 2 <= route_->max_runs &&
           context_.protection.check(now, features_) ==
               routing::admission::admitted;
}

void relay_session::record_first_byte(const attempt_ptr& attempt)
{
    if (!attempt->is_timed)
        return;
    attempt->is_timed = false;
    hedge_timer_.clear();
    context_.hedges.record_first_byte(
        route_->name, net::boot_now() - attempt->started, attempt->is_slow);
}

void relay_session::on_hedge_body(const attempt_ptr& attempt,
                                  std::string_view bytes)
{
    attempt->body += bytes;
    context_.record_received(bytes.size());
    if (attempt->body.size() >
        (attempt->is_stream ? max_event_bytes : max_response_bytes))
    {
        end_attempt(attempt, dispatch::attempt_end::broken,
                    attempt->is_stream ? "event is too large"
                                       : "response body is too large");
        return;
    }
    if (!attempt->is_stream)
        return;
    router::sse_splitter events;
    events.add(attempt->body);
    while (const auto event = events.next())
    {
        if (!event->has_content)
            continue;
        adopt_hedge(hedge_outcome::won);
        on_body(attempt, {});
        return;
    }
    // Comments before the first event are not forwarded.
    attempt->body.erase(0, attempt->body.size() - events.buffered_bytes());
}

void relay_session::on_hedge_complete(const attempt_ptr& attempt)
{
    const auto status = attempt->head.result_int();
    if (attempt->is_stream)
    {
        end_attempt(attempt, dispatch::attempt_end::broken,
                    "stream without any event");
        return;
    }
    if (!reports_not_run(attempt) && status < first_server_error &&
        !promises_not_run(status))
        adopt_hedge(hedge_outcome::won);
    finish_buffered(attempt);
}

void relay_session::adopt_hedge(hedge_outcome outcome)
{
    const auto former = current_attempt_;
    current_attempt_ = hedge_attempt_;
    record_hedge_outcome(outcome);
    if (!former->over)
    {
        const auto now = net::boot_now();
        if (former->is_timed)
        {
            context_.hedges.record_cancelled(route_->name,
                                             now - former->started);
            context_.selector.record_cancelled(now, former->upstream);
        }
        cancel_attempt(former);
    }
    event_splitter_.clear();
    is_paused_for_caller_ = false;
    is_paused_for_pace_ = false;
    pace_timer_.clear();
    if (current_attempt_->is_stream)
        event_splitter_.add(std::exchange(current_attempt_->body, {}));
    arm_attempt_timer(current_attempt_);
}

void relay_session::cancel_hedge()
{
    if (!hedge_attempt_)
        return;
    const auto attempt = hedge_attempt_;
    record_hedge_outcome(hedge_outcome::cancelled);
    cancel_attempt(attempt);
}

void relay_session::cancel_attempt(const attempt_ptr& attempt)
{
    const bool was_sent =
        attempt->channel && attempt->channel->has_sent_bytes();
    release_attempt(attempt);
    if (was_sent)
    {
        ++upstream_arrivals_;
        ++history_.runs;
    }
    attempt->body = {};
    context_.counters.increment("baobab_attempt_ends_total", "end",
                                "cancelled");
    log_event(log_level::info, "attempt_cancelled",
              {{"request", request_id_},
               {"upstream", attempt->upstream},
               {"after_ms", format_ms(net::boot_now() - attempt->started)},
               {"runs", std::to_string(history_.runs)}});
}

void relay_session::record_hedge_outcome(hedge_outcome outcome)
{
    hedge_attempt_.reset();
    context_.counters.increment(
        "baobab_hedges_total", "outcome",
        name_in(dispatch::hedge_outcome_names, outcome));
}

} // namespace baobabloft::relay
