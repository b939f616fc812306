#include "session_text.hpp"

#include "baobabloft/http/attempt_step.hpp"
#include "baobabloft/relay/relay_session.hpp"
#include "baobabloft/router/log.hpp"
#include "baobabloft/support/hash.hpp"
#include "baobabloft/support/numbers.hpp"

#include <algorithm>

namespace baobabloft::relay
{

namespace
{

namespace bhttp = boost::beast::http;
using dispatch::attempt_end;
using dispatch::next_step;
using router::log_event;
using router::log_level;
using router::refusal_kind;

constexpr unsigned http_1_1 = 11;
/// Longest time to open a connection to an upstream; a lost opening packet is
/// repeated only after a second, so another upstream is faster.
constexpr duration connect_timeout = 120ms;
/// Idle time up to which a kept connection carries a request that cannot be
/// repeated if the connection turns out dead.
constexpr duration unrepeatable_idle = 1500ms;
constexpr duration repeatable_idle = 8s;
/// Time below which another attempt cannot succeed.
constexpr duration least_attempt_time = 30ms;
/// A repeatable request moves on if its upstream is silent for this multiple
/// of the time in which it should have answered.
constexpr int plain_patience = 2;
constexpr duration least_patience = 150ms;
constexpr double first_event_patience = 1.5;
constexpr int gap_patience = 3;
constexpr std::uint32_t max_urgency = 9;

} // namespace

std::shared_ptr<relay_session>
relay_session::start(relay_context& context,
                     std::shared_ptr<http::caller_channel> caller,
                     http::request&& message)
{
    auto session = std::make_shared<relay_session>(context, std::move(caller),
                                                   std::move(message));
    session->held_ = session;
    session->begin();
    return session;
}

relay_session::relay_session(relay_context& context,
                             std::shared_ptr<http::caller_channel> caller,
                             http::request&& message)
    : context_(context), caller_(std::move(caller)),
      message_(std::move(message)), timer_(context.loop)
{
    context_.counters.requests_in_progress(1);
}

relay_session::~relay_session()
{
    context_.counters.requests_in_progress(-1);
}

void relay_session::begin()
{
    arrived_ = net::boot_now();
    request_id_ = http::field_of(message_, context_.dialect.request_id);
    config_ = context_.follower.state().config();
    if (!admit())
        return;
    read_deadline(arrived_);
    fingerprint_ = fingerprint{hash_combine(
        hash_bytes(http::view_of(message_.target()),
                   hash_bytes(customer_ != nullptr ? customer_->name : "")),
        hash_bytes(message_.body()))};
    if (context_.crashes.standing(arrived_, fingerprint_) ==
        routing::crash_standing::quarantined)
    {
        refuse(refusal_kind::quarantined, "crashed two upstreams");
        return;
    }
    choose_service();
    if (service_ == nullptr)
    {
        refuse(refusal_kind::no_upstream, "service is not configured");
        return;
    }
    dispatch();
}

bool relay_session::admit()
{
    const auto reliance = context_.reliance(arrived_);
    if (!config_ || reliance == dispatch::permitted_use::none)
    {
        refuse(refusal_kind::not_ready, "no configuration yet");
        return false;
    }
    // Only a fresh configuration tells what does not exist.
    const bool may_deny = reliance == dispatch::permitted_use::full;
    route_ = config_->find_route(http::view_of(message_[bhttp::field::host]),
                                 http::view_of(message_.target()));
    if (route_ == nullptr)
    {
        refuse(may_deny ? refusal_kind::unknown_path : refusal_kind::isolated,
               "no route matches");
        return false;
    }
    if (context_.leaving() &&
        !dispatch::accepts_request(arrived_ - *context_.leaving_since,
                                   route_->timeout, context_.shutdown))
    {
        refuse(refusal_kind::leaving, "may outlast the shutdown");
        return false;
    }
    if (route_->is_public || !config_->needs_keys)
        return true;
    if (reliance == dispatch::permitted_use::routes_only)
    {
        refuse(refusal_kind::isolated,
               "configuration is too old to accept a key");
        return false;
    }
    customer_ =
        config_->find_customer(http::field_of(message_, context_.dialect.key));
    if (customer_ != nullptr)
        return true;
    refuse(may_deny ? refusal_kind::unknown_key : refusal_kind::isolated,
           "no customer holds this key");
    return false;
}

void relay_session::read_deadline(time_point now)
{
    auto allowed = route_->timeout;
    const auto given = parse_number<std::uint64_t>(
        http::field_of(message_, context_.dialect.time_left_ms));
    if (given)
        allowed = std::min<duration>(
            allowed, std::min<std::uint64_t>(*given, 86'400'000) * 1ms);
    latest_ = now + allowed;
}

void relay_session::choose_service()
{
    const auto text = http::field_of(message_, context_.dialect.prompt_parts);
    if (route_->has_affinity && !text.empty())
    {
        const auto parts = context_.dialect.read_prompt_parts(text);
        // The last part is the request's own; the one before is the longest
        // prefix that other requests share.
        if (!parts.empty())
            affinity_ = parts.size() > 1 ? parts[parts.size() - 2].id
                                         : parts.front().id;
        for (std::size_t index = 0; index + 1 < parts.size(); ++index)
            shared_tokens_ += parts[index].tokens;
    }
    std::uint64_t total = 0;
    for (const auto& item : route_->services)
        total += item.weight;
    if (total == 0)
        return;
    auto point = affinity_ ? hash_combine(*affinity_, hash_bytes(route_->name))
                           : context_.random();
    point %= total;
    for (const auto& item : route_->services)
    {
        if (point < item.weight)
        {
            const auto found = config_->services.find(item.service);
            service_ =
                found == config_->services.end() ? nullptr : &found->second;
            return;
        }
        point -= item.weight;
    }
}

std::uint32_t relay_session::urgency() const
{
    const auto rank = customer_ != nullptr && customer_->priority
                          ? *customer_->priority
                          : route_->priority;
    return std::min(max_urgency, 1 + 2 * rank);
}

void relay_session::dispatch()
{
    const auto now = net::boot_now();
    if (now + least_attempt_time >= latest_ && history_.attempts > 0)
    {
        if (history_.runs == 0)
            refuse(refusal_kind::deadline_passed, "no time for an attempt");
        else
            fail(refusal_kind::upstream_silent, "no time for an attempt");
        return;
    }
    const auto chosen = context_.selector.choose(
        now, {.service = service_,
              .affinity = affinity_,
              .prefix_tokens = shared_tokens_,
              .excluded_ids = avoid_,
              .is_repeatable = route_->is_repeatable()});
    if (chosen.upstream == nullptr)
    {
        if (stream_started_)
        {
            finish("broken_off");
            return;
        }
        if (history_.runs > 0)
            fail(refusal_kind::upstream_failed, "no other upstream");
        else
            refuse(chosen.reason == dispatch::choice::all_busy
                       ? refusal_kind::overloaded
                       : refusal_kind::no_upstream,
                   name_in(dispatch::choice_names, chosen.reason));
        return;
    }
    if (arrivals_ > 0 && !context_.budget.try_take_repeat(now, service_->name,
                                                          context_.routers()))
    {
        if (stream_started_)
            finish("broken_off");
        else if (history_.runs > 0)
            fail(refusal_kind::retries_spent, "retry budget is used up");
        else
            refuse(refusal_kind::overloaded, "retry budget is used up");
        return;
    }
    context_.counters.count("baobab_choices_total", "reason",
                            name_in(dispatch::choice_names, chosen.reason));
    if (history_.attempts == 0)
        context_.budget.record_first_arrival(now, service_->name);
    send(*chosen.upstream, chosen);
}

http::request_head
relay_session::upstream_head(const directory::upstream_record& target,
                             const dispatch::selection& chosen,
                             time_point now) const
{
    const auto& names = context_.dialect;
    http::request_head head;
    head.method_string(message_.method_string());
    head.target(message_.target());
    head.version(http_1_1);
    copy_fields(message_, head, names.reserved);
    const auto set = [&head](const std::string& name, const std::string& value)
    {
        head.set(http::beast_view(name), value);
    };
    set(names.time_left_ms, in_ms(latest_ - now));
    set(names.expected_upstream, target.id);
    if (customer_ != nullptr)
        set(names.customer, customer_->name);
    if (affinity_)
        set(names.urgency, std::to_string(urgency()));
    if (chosen.prefix_source != nullptr)
        set(names.prefix_source,
            to_string(chosen.prefix_source->record.address));
    if (stream_started_ && last_event_)
        set(names.resume_after, std::to_string(*last_event_));
    const bool had_body = message_.has_content_length() || message_.chunked();
    if (had_body || !message_.body().empty())
        head.content_length(message_.body().size());
    return head;
}

void relay_session::send(const directory::known_upstream& upstream,
                         const dispatch::selection& chosen)
{
    const auto now = net::boot_now();
    const auto at = std::make_shared<attempt>();
    at->upstream = upstream.record.id;
    at->chosen = chosen;
    if (chosen.prefix_source != nullptr)
        at->prefix_source = chosen.prefix_source->record.id;
    at->chosen.upstream = nullptr;
    at->chosen.prefix_source = nullptr;
    at->started = now;
    ++history_.attempts;
    current_ = at;
    splitter_ = {};
    const bool is_repeatable = route_->is_repeatable();
    at->channel = context_.pool.acquire(
        now, upstream.record.id, upstream.record.address,
        is_repeatable ? repeatable_idle : unrepeatable_idle);
    context_.selector.record_sent(now, at->upstream);
    if (!at->channel)
    {
        end_attempt(at, attempt_end::not_sent, "no socket");
        return;
    }
    http::outgoing_request out;
    out.head = upstream_head(upstream.record, chosen, now);
    out.body = message_.body();
    out.id_header = context_.dialect.request_id;
    out.id = request_id_;
    out.connect_timeout = connect_timeout;
    const auto with = [this, &at](auto step)
    {
        return http::attempt_step(weak_from_this(), at, step);
    };
    at->channel->exchange(std::move(out),
                          {.on_head = with(&relay_session::on_head),
                           .on_body = with(&relay_session::on_body),
                           .on_complete = with(&relay_session::on_complete),
                           .on_failure = with(&relay_session::on_failure)});
    if (!at->over)
        arm(at);
}

duration relay_session::patience(time_point now) const
{
    const auto left = latest_ - now;
    const bool may_move =
        route_->is_repeatable() && history_.runs + 1 < route_->max_runs;
    if (!may_move)
        return left;
    if (route_->kind == directory::request_kind::safe)
        return std::min(
            left, std::max<duration>(least_patience,
                                     plain_patience * route_->response_goal));
    if (last_event_ && stream_started_)
        return std::min(left, gap_patience * route_->gap_goal);
    return std::min(left,
                    duration{static_cast<duration::rep>(
                        first_event_patience *
                        static_cast<double>(route_->response_goal.count()))});
}

void relay_session::arm(const attempt_ptr& at)
{
    timer_.set(
        patience(net::boot_now()),
        http::attempt_step(weak_from_this(), at, &relay_session::on_timeout));
}

void relay_session::on_failure(const attempt_ptr& at,
                               http::exchange_failure why)
{
    const bool sent = at->channel->has_sent();
    const bool connecting = why == http::exchange_failure::connect_failed ||
                            why == http::exchange_failure::connect_timed_out;
    end_attempt(
        at, sent && !connecting ? attempt_end::broken : attempt_end::not_sent,
        name_in(http::exchange_failure_names, why));
}

void relay_session::on_timeout(const attempt_ptr& at)
{
    const bool sent = at->channel->has_sent();
    end_attempt(at, sent ? attempt_end::timed_out : attempt_end::not_sent,
                "no answer in time");
}

void relay_session::close_attempt(const attempt_ptr& at)
{
    if (at->over)
        return;
    at->over = true;
    timer_.clear();
    context_.selector.record_done(at->upstream);
    if (!at->channel)
        return;
    if (at->channel->is_reusable())
        context_.pool.release(net::boot_now(), at->upstream, at->channel);
    else
        at->channel->abandon();
    at->channel.reset();
}

void relay_session::end_attempt(const attempt_ptr& at, attempt_end how,
                                std::string_view why)
{
    const auto self = shared_from_this();
    const auto now = net::boot_now();
    const bool reused = at->channel && at->channel->was_reused();
    close_attempt(at);
    auto& selector = context_.selector;
    switch (how)
    {
    case attempt_end::not_sent:
        selector.record_unreachable(now, at->upstream);
        break;
    case attempt_end::declined:
        selector.record_decline(now, at->upstream);
        ++arrivals_;
        break;
    case attempt_end::broken:
    case attempt_end::timed_out:
        // A kept connection may be at fault rather than its upstream.
        if (!reused)
            selector.record_failure(now, at->upstream);
        if (how == attempt_end::broken)
            context_.suspect_crash(fingerprint_, at->upstream);
        ++arrivals_;
        ++history_.runs;
        break;
    case attempt_end::failed:
        selector.record_failure(now, at->upstream);
        ++arrivals_;
        ++history_.runs;
        break;
    }
    avoid_.push_back(at->upstream);
    history_.has_time = now + least_attempt_time < latest_;
    const auto step = step_after(*route_, how, history_);
    context_.counters.count("baobab_attempt_ends_total", "end",
                            name_in(dispatch::attempt_end_names, how));
    log_event(
        log_level::info, "attempt_failed",
        {{"request", request_id_},
         {"upstream", at->upstream},
         {"end", std::string{name_in(dispatch::attempt_end_names, how)}},
         {"why", std::string{why}},
         {"after_ms", in_ms(now - at->started)},
         {"choice",
          std::string{name_in(dispatch::choice_names, at->chosen.reason)}},
         {"load", rounded(at->chosen.load)},
         {"mean", rounded(at->chosen.mean_load)},
         {"runs", std::to_string(history_.runs)},
         {"left_ms", in_ms(latest_ - now)},
         {"next", std::string{name_in(dispatch::next_step_names, step)}}});
    switch (step)
    {
    case next_step::try_other:
        context_.counters.retried(name_in(dispatch::attempt_end_names, how));
        dispatch();
        return;
    case next_step::forward:
        forward(at);
        return;
    case next_step::refuse_not_run:
        refuse(how == attempt_end::declined ? refusal_kind::overloaded
                                            : refusal_kind::no_upstream,
               why);
        return;
    case next_step::fail_unknown:
        fail(how == attempt_end::timed_out ? refusal_kind::upstream_silent
                                           : refusal_kind::upstream_failed,
             why);
        return;
    case next_step::break_off:
        finish("broken_off");
        return;
    }
}

void relay_session::finish(std::string_view outcome)
{
    if (over_)
        return;
    over_ = true;
    timer_.clear();
    const auto now = net::boot_now();
    if (outcome == "broken_off")
        caller_->abort();
    // Failures have lines of their own; one in full for each of these.
    log_event(
        log_level::info, "request_over",
        {{"request", request_id_},
         {"outcome", std::string{outcome}},
         {"route", route_ != nullptr ? route_->name : ""},
         {"upstream", current_ ? current_->upstream : ""},
         {"choice", current_ ? std::string{name_in(dispatch::choice_names,
                                                   current_->chosen.reason)}
                             : ""},
         {"load", current_ ? rounded(current_->chosen.load) : ""},
         {"mean", current_ ? rounded(current_->chosen.mean_load) : ""},
         {"prefix", affinity_ ? std::to_string(*affinity_) : ""},
         {"prefix_tokens", std::to_string(shared_tokens_)},
         {"prefix_source", current_ ? current_->prefix_source : ""},
         {"config", config_ ? std::to_string(config_->version) : "none"},
         {"proof_age_ms", in_ms(context_.proof_age(now))},
         {"attempts", std::to_string(history_.attempts)},
         {"after_ms", in_ms(now - arrived_)}});
    const auto self = std::move(held_);
}

void relay_session::caller_gone()
{
    if (over_)
        return;
    const auto self = shared_from_this();
    if (current_)
        close_attempt(current_);
    finish("caller_gone");
}

} // namespace baobabloft::relay
