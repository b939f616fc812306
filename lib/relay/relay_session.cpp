// Admission, choice of service and upstream, attempts and retries of a session.
#include "request_target.hpp"
#include "session_text.hpp"

#include "baobabloft/http/attempt_callback.hpp"
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
/// Timeout of a connection attempt to an upstream. TCP retransmits a lost SYN
/// only after 1 s, so trying another upstream is faster than waiting for the
/// connection.
constexpr duration connect_timeout = 120ms;
/// Idle time up to which a kept connection is reused for a request that cannot
/// be repeated if the connection turns out to be dead.
constexpr duration max_unrepeatable_idle = 1500ms;
constexpr duration max_repeatable_idle = 8s;
/// With less time than this left before the deadline, another attempt cannot
/// succeed.
constexpr duration min_attempt_time = 30ms;
/// A repeatable request moves to another upstream if its upstream makes no
/// progress for this multiple of the route's objective: of the response time
/// for safe requests, of the time to the first event or between two events for
/// streams.
constexpr int safe_timeout_factor = 2;
constexpr duration min_attempt_timeout = 150ms;
constexpr double first_event_timeout_factor = 1.5;
constexpr int event_gap_timeout_factor = 3;
/// Pause after which a stream that has begun looks for an upstream again.
constexpr duration resume_pause = 100ms;
/// A timer may fire this long before its time.
constexpr duration timer_tolerance = 1ms;
constexpr std::uint32_t max_urgency = 9;
constexpr std::string_view quarantine_reason =
    "a feature of the request crashes upstreams";

} // namespace

std::shared_ptr<relay_session>
relay_session::start(relay_context& context,
                     std::shared_ptr<http::caller_channel> caller,
                     http::request&& request)
{
    auto session = std::make_shared<relay_session>(context, std::move(caller),
                                                   std::move(request));
    session->self_ = session;
    session->begin();
    return session;
}

relay_session::relay_session(relay_context& context,
                             std::shared_ptr<http::caller_channel> caller,
                             http::request&& request)
    : context_(context), caller_(std::move(caller)),
      request_(std::move(request)), hedge_timer_(context.loop),
      attempt_timer_(context.loop), pace_timer_(context.loop)
{
    context_.counters.add_requests_in_progress(1);
}

relay_session::~relay_session()
{
    context_.counters.add_requests_in_progress(-1);
}

void relay_session::begin()
{
    arrived_at_ = net::boot_now();
    request_id_ = http::field_value(request_, context_.dialect.request_id);
    config_ = context_.follower.state().config();
    if (!admit())
        return;
    if (const auto last = context_.last_deadline())
        deadline_ = std::min(deadline_, *last);
    fingerprint_ = fingerprint{hash_combine(
        hash_bytes(http::std_view(request_.target()),
                   hash_bytes(customer_ != nullptr ? customer_->name : "")),
        hash_bytes(request_.body()))};
    features_.push_back(routing::feature_of(fingerprint_));
    choose_service();
    if (service_ == nullptr)
    {
        refuse(refusal_kind::no_upstream, "service is not configured");
        return;
    }
    switch (context_.protection.check(arrived_at_, features_))
    {
    case routing::admission::admitted:
        try_next_upstream();
        return;
    case routing::admission::refused:
        refuse(refusal_kind::quarantined, quarantine_reason);
        return;
    case routing::admission::trial_due:
        request_trial();
        return;
    }
}

void relay_session::request_trial()
{
    context_.protection.request_trial(
        net::boot_now(), features_,
        [weak = weak_from_this()](bool granted)
        {
            const auto self = weak.lock();
            if (!self || self->finished_)
                return;
            self->is_trial_ = granted;
            if (granted)
                self->try_next_upstream();
            else
                self->refuse(refusal_kind::quarantined, quarantine_reason);
        });
    context_.send_protection_messages();
}

bool relay_session::is_quarantined(time_point now) const
{
    const bool is_unproven_trial = is_trial_ && history_.runs == 0;
    return !is_unproven_trial && context_.protection.check(now, features_) !=
                                     routing::admission::admitted;
}

bool relay_session::admit()
{
    const auto config_use = context_.permitted_config_use(arrived_at_);
    if (!config_ || config_use == dispatch::permitted_use::none)
    {
        refuse(refusal_kind::not_ready, "no configuration yet");
        return false;
    }
    if (config_use == dispatch::permitted_use::superseded)
    {
        refuse(refusal_kind::isolated, "a newer configuration is in force");
        return false;
    }
    // Only a fresh configuration shows that a route or an API key does not
    // exist.
    const bool may_deny = config_use == dispatch::permitted_use::full;
    route_ = config_->find_route(http::std_view(request_[bhttp::field::host]),
                                 http::std_view(request_.target()));
    if (route_ == nullptr)
    {
        refuse(may_deny ? refusal_kind::unknown_path : refusal_kind::isolated,
               "no route matches");
        return false;
    }
    set_deadline(arrived_at_);
    if (context_.is_shutting_down() &&
        !dispatch::accepts_request(arrived_at_ - *context_.shutdown_started_at,
                                   deadline_ - arrived_at_, context_.shutdown))
    {
        refuse(refusal_kind::leaving, "request may outlast the shutdown");
        return false;
    }
    if (route_->is_public || !config_->needs_keys)
        return true;
    if (config_use == dispatch::permitted_use::routes_only)
    {
        refuse(refusal_kind::isolated,
               "configuration is too old to accept a key");
        return false;
    }
    customer_ = config_->find_customer(
        http::field_value(request_, context_.dialect.api_key));
    if (customer_ != nullptr)
        return true;
    refuse(may_deny ? refusal_kind::unknown_key : refusal_kind::isolated,
           "API key is unknown");
    return false;
}

void relay_session::set_deadline(time_point now)
{
    auto allowed = route_->timeout;
    const auto caller_time_left_ms = parse_number<std::uint64_t>(
        http::field_value(request_, context_.dialect.time_left_ms));
    // Capped at one day, so that the conversion to microseconds cannot
    // overflow.
    if (caller_time_left_ms)
        allowed = std::min<duration>(
            allowed,
            std::min<std::uint64_t>(*caller_time_left_ms, 86'400'000) * 1ms);
    deadline_ = now + allowed;
}

void relay_session::choose_service()
{
    const auto text =
        http::field_value(request_, context_.dialect.prompt_parts);
    const auto target = target_of(*route_, context_.dialect, text);
    affinity_ = target.affinity;
    shared_prefix_tokens_ = target.shared_prefix_tokens;
    features_.insert(features_.end(), target.features.begin(),
                     target.features.end());
    const auto offset =
        affinity_ ? affinity_offset(*route_, target) : context_.random();
    const auto* drawn = service_at(*route_, offset);
    if (drawn == nullptr)
        return;
    const auto found = config_->services.find(drawn->service);
    service_ = found == config_->services.end() ? nullptr : &found->second;
}

std::uint32_t relay_session::urgency() const
{
    const auto rank = customer_ != nullptr && customer_->priority
                          ? *customer_->priority
                          : route_->priority;
    return std::min(max_urgency, 1 + 2 * rank);
}

void relay_session::try_next_upstream()
{
    const auto now = net::boot_now();
    const bool has_waited = history_.attempts > 0 || waits_ > 0;
    if (now + min_attempt_time >= deadline_ && has_waited)
    {
        constexpr std::string_view reason =
            "not enough time for another attempt";
        if (stream_started_)
            break_off(reason);
        else
            refuse(refusal_kind::deadline_passed, reason,
                   refusal_kind::upstream_timed_out);
        return;
    }
    if (history_.attempts > 0 && is_quarantined(now))
    {
        if (stream_started_)
            break_off(quarantine_reason);
        else
            refuse(refusal_kind::quarantined, quarantine_reason);
        return;
    }
    const auto chosen = choose_upstream(now);
    if (chosen.upstream == nullptr)
    {
        if (stream_started_)
        {
            try_later(name_in(dispatch::choice_names, chosen.reason));
            return;
        }
        if (!wait_for_room())
            refuse(chosen.reason == dispatch::choice::all_busy
                       ? refusal_kind::overloaded
                       : refusal_kind::no_upstream,
                   name_in(dispatch::choice_names, chosen.reason));
        return;
    }
    if (!take_repeat(now))
    {
        constexpr std::string_view reason = "retry budget is used up";
        if (stream_started_)
            try_later(reason);
        else
            refuse(refusal_kind::overloaded, reason,
                   refusal_kind::retries_spent);
        return;
    }
    context_.counters.increment("baobab_choices_total", "reason",
                                name_in(dispatch::choice_names, chosen.reason));
    if (history_.attempts == 0)
        context_.retry_budget.record_first_arrival(now, service_->name);
    start_attempt(*chosen.upstream, chosen);
}

dispatch::selection relay_session::choose_upstream(time_point now)
{
    if (!version_key_)
        version_key_ = affinity_ ? *affinity_ : context_.random();
    versions_ = context_.rollouts.choose(now, service_->name, *version_key_,
                                         history_.attempts > 0);
    auto chosen = context_.selector.choose(now, make_query(tried_upstreams_));
    const auto& rollouts = context_.follower.state().rollouts();
    const auto rollout = rollouts.find(service_->name);
    const bool may_use_others =
        versions_.rule == dispatch::version_rule::target_only &&
        rollout != rollouts.end() &&
        rollout->second.phase != directory::rollout_phase::complete;
    if (chosen.upstream != nullptr || !may_use_others)
        return chosen;
    versions_.rule = dispatch::version_rule::others_only;
    return context_.selector.choose(now, make_query(tried_upstreams_));
}

void relay_session::record_version_outcome(const attempt_ptr& attempt,
                                           bool failed)
{
    context_.rollouts.record_outcome(
        net::boot_now(), {.service = service_->name,
                          .route = route_->name,
                          .upstream = make_upstream_id(attempt->upstream),
                          .is_target = attempt->is_target_version,
                          .failed = failed,
                          .latency = attempt->first_content_after.value_or(
                              net::boot_now() - attempt->started)});
}

dispatch::unplaced_request relay_session::as_unplaced() const
{
    return {.arrived_at = arrived_at_,
            .deadline = deadline_,
            .timeout = route_->timeout,
            .objective = route_->response_objective,
            .waits = waits_};
}

bool relay_session::wait_for_room()
{
    if (may_have_run())
        return false;
    const auto now = net::boot_now();
    std::uniform_real_distribution<double> distribution{0, 1};
    const auto wait = dispatch::wait_for_room(
        now, as_unplaced(), context_.selector.outlook(now, *service_),
        distribution(context_.random));
    if (!wait ||
        !context_.waiting.enter(waiting_place_,
                                customer_ != nullptr ? customer_->name : "",
                                request_.body().size()))
        return false;
    ++waits_;
    context_.counters.increment("baobab_waits_total", "service",
                                service_->name);
    log_event(log_level::info, "request_waits",
              {{"request", request_id_},
               {"wait_ms", format_ms(*wait)},
               {"attempts", std::to_string(history_.attempts)},
               {"left_ms", format_ms(deadline_ - now)}});
    tried_upstreams_.clear();
    attempt_timer_.set(*wait,
                       [weak = weak_from_this()]
                       {
                           const auto self = weak.lock();
                           if (!self)
                               return;
                           self->waiting_place_.reset();
                           self->try_next_upstream();
                       });
    return true;
}

void relay_session::try_later(std::string_view reason)
{
    log_event(log_level::info, "stream_waits",
              {{"request", request_id_},
               {"why", std::string{reason}},
               {"attempts", std::to_string(history_.attempts)},
               {"left_ms", format_ms(deadline_ - net::boot_now())}});
    // An upstream that declined or was unreachable may take it by then.
    tried_upstreams_.clear();
    attempt_timer_.set(resume_pause,
                       [weak = weak_from_this()]
                       {
                           if (const auto self = weak.lock())
                               self->try_next_upstream();
                       });
}

bool relay_session::take_repeat(time_point now)
{
    if (upstream_arrivals_ == 0 || has_unused_repeat_)
        return true;
    const bool leaves_reserve =
        was_declined_ && !dispatch::was_refused_before(as_unplaced());
    has_unused_repeat_ = context_.retry_budget.try_take_repeat(
        now, service_->name, context_.router_count(),
        leaves_reserve ? dispatch::repeat_use::first_request
                       : dispatch::repeat_use::any);
    return has_unused_repeat_;
}

dispatch::upstream_query
relay_session::make_query(std::span<const std::string> excluded_ids) const
{
    return {.service = service_,
            .affinity = affinity_,
            .prefix_tokens = shared_prefix_tokens_,
            .excluded_ids = excluded_ids,
            .is_repeatable = route_->is_repeatable(),
            .versions = versions_};
}

http::request_head
relay_session::upstream_head(const directory::upstream_record& target,
                             const dispatch::selection& chosen,
                             time_point now) const
{
    const auto& names = context_.dialect;
    http::request_head head;
    head.method_string(request_.method_string());
    head.target(request_.target());
    head.version(http_1_1);
    copy_forwarded_fields(request_, head, names.reserved_request_headers);
    const auto set = [&head](const std::string& name, const std::string& value)
    {
        head.set(http::beast_view(name), value);
    };
    set(names.time_left_ms, format_ms(deadline_ - now));
    set(names.expected_upstream, target.id);
    if (customer_ != nullptr)
        set(names.customer, customer_->name);
    if (affinity_)
        set(names.urgency, std::to_string(urgency()));
    if (chosen.prefix_source != nullptr)
        set(names.prefix_source,
            to_string(chosen.prefix_source->record.address));
    if (stream_started_ && last_event_id_)
        set(names.resume_after, std::to_string(*last_event_id_));
    const bool has_body = request_.has_content_length() || request_.chunked();
    if (has_body || !request_.body().empty())
        head.content_length(request_.body().size());
    return head;
}

void relay_session::start_attempt(const directory::known_upstream& upstream,
                                  const dispatch::selection& chosen)
{
    const auto attempt = std::make_shared<upstream_attempt>();
    ++history_.attempts;
    current_attempt_ = attempt;
    event_splitter_.clear();
    is_paused_for_caller_ = false;
    is_paused_for_pace_ = false;
    pace_timer_.clear();
    send_attempt(attempt, upstream, chosen);
    if (attempt->over)
        return;
    arm_attempt_timer(attempt);
    arm_hedge_timer(attempt);
}

void relay_session::send_attempt(const attempt_ptr& attempt,
                                 const directory::known_upstream& upstream,
                                 const dispatch::selection& chosen)
{
    const auto now = net::boot_now();
    attempt->upstream = upstream.record.id;
    attempt->chosen = chosen;
    if (chosen.prefix_source != nullptr)
        attempt->prefix_source = chosen.prefix_source->record.id;
    attempt->chosen.upstream = nullptr;
    attempt->chosen.prefix_source = nullptr;
    attempt->started = now;
    const bool is_repeatable = route_->is_repeatable();
    auto max_idle = is_repeatable ? max_repeatable_idle : max_unrepeatable_idle;
    if (request_id_.empty())
        max_idle = 0ms;
    attempt->channel =
        context_.pool.acquire(now, upstream.record.id, upstream.record.address,
                              max_idle, request_id_);
    context_.selector.record_sent(now, attempt->upstream);
    attempt->is_target_version = !versions_.target.empty() &&
                                 upstream.record.version == versions_.target;
    context_.rollouts.record_sent(now, service_->name,
                                  attempt->is_target_version);
    if (!attempt->channel)
    {
        end_attempt(attempt, attempt_end::not_sent, "cannot create a socket");
        return;
    }
    http::outgoing_request upstream_request;
    upstream_request.head = upstream_head(upstream.record, chosen, now);
    upstream_request.body = request_.body();
    upstream_request.id_header = context_.dialect.request_id;
    upstream_request.id = request_id_;
    upstream_request.connect_timeout = connect_timeout;
    const auto as_callback = [this, &attempt](auto step)
    {
        return http::attempt_callback(weak_from_this(), attempt, step);
    };
    attempt->channel->exchange(
        std::move(upstream_request),
        {.on_head = as_callback(&relay_session::on_head),
         .on_body = as_callback(&relay_session::on_body),
         .on_complete = as_callback(&relay_session::on_complete),
         .on_failure = as_callback(&relay_session::on_failure)});
}

duration relay_session::attempt_timeout(time_point now) const
{
    const auto time_left = deadline_ - now;
    const bool may_try_other = route_->is_repeatable() &&
                               !is_paused_for_caller_ &&
                               history_.runs + 1 < route_->max_runs;
    if (!may_try_other)
        return time_left;
    if (route_->kind == directory::request_kind::safe)
        return std::min(time_left,
                        std::max<duration>(min_attempt_timeout,
                                           safe_timeout_factor *
                                               route_->response_objective));
    if (last_event_id_ && stream_started_)
        return std::min(
            time_left,
            std::max<duration>(min_attempt_timeout, event_gap_timeout_factor *
                                                        route_->gap_objective));
    return std::min(time_left,
                    std::max(min_attempt_timeout,
                             duration{static_cast<duration::rep>(
                                 first_event_timeout_factor *
                                 static_cast<double>(
                                     route_->response_objective.count()))}));
}

void relay_session::arm_attempt_timer(const attempt_ptr& attempt)
{
    attempt_timer_.set(attempt_timeout(net::boot_now()),
                       http::attempt_callback(weak_from_this(), attempt,
                                              &relay_session::on_timeout));
}

void relay_session::on_failure(const attempt_ptr& attempt,
                               http::exchange_failure reason)
{
    end_attempt(attempt, attempt_end::broken,
                name_in(http::exchange_failure_names, reason));
}

bool relay_session::can_move_from(const attempt_ptr& attempt, attempt_end end,
                                  time_point now) const
{
    const bool may_have_run = end == attempt_end::timed_out;
    auto history = history_;
    history.runs += may_have_run ? 1 : 0;
    history.has_time = now + min_attempt_time < deadline_;
    if (step_after(*route_, end, history) != next_step::try_other ||
        context_.protection.check(now, features_) !=
            routing::admission::admitted)
        return false;
    auto excluded_ids = tried_upstreams_;
    excluded_ids.push_back(attempt->upstream);
    if (!context_.selector.has_sound_upstream(now, make_query(excluded_ids)))
        return false;
    return (!may_have_run && (upstream_arrivals_ == 0 || has_unused_repeat_)) ||
           context_.retry_budget.has_repeat(now, service_->name,
                                            context_.router_count());
}

void relay_session::on_timeout(const attempt_ptr& attempt)
{
    const auto now = net::boot_now();
    const auto end = attempt->channel->has_sent_bytes() ? attempt_end::timed_out
                                                        : attempt_end::not_sent;
    // The upstream may still answer, so that its silence ends nothing unless
    // the request can go on elsewhere.
    if (now + timer_tolerance < deadline_ && !hedge_attempt_ &&
        !can_move_from(attempt, end, now))
    {
        log_event(log_level::info, "silent_attempt_kept",
                  {{"request", request_id_},
                   {"upstream", attempt->upstream},
                   {"left_ms", format_ms(deadline_ - now)}});
        arm_attempt_timer(attempt);
        return;
    }
    end_attempt(attempt, end, "attempt timed out");
}

void relay_session::close_attempt(const attempt_ptr& attempt)
{
    if (attempt->over)
        return;
    attempt_timer_.clear();
    event_splitter_.clear();
    release_attempt(attempt);
}

void relay_session::release_attempt(const attempt_ptr& attempt)
{
    attempt->over = true;
    context_.selector.record_ended(attempt->upstream);
    context_.rollouts.record_ended(service_->name, attempt->is_target_version);
    if (!attempt->channel)
        return;
    if (attempt->channel->is_reusable())
        context_.pool.release(net::boot_now(), attempt->upstream,
                              attempt->channel);
    else
        attempt->channel->abandon();
    attempt->channel.reset();
}

void relay_session::end_attempt(const attempt_ptr& attempt,
                                attempt_end reported_end,
                                std::string_view reason)
{
    const auto self = shared_from_this();
    const auto now = net::boot_now();
    const bool reused = attempt->channel && attempt->channel->was_reused();
    const auto trace = trace_of(attempt);
    const auto end = dispatch::proven_end(reported_end, trace.evidence);
    const bool is_hedge = attempt == hedge_attempt_;
    if (is_hedge)
        release_attempt(attempt);
    else
        close_attempt(attempt);
    was_declined_ = end == attempt_end::declined;
    auto& selector = context_.selector;
    switch (end)
    {
    case attempt_end::not_sent:
        selector.record_unreachable(now, attempt->upstream);
        break;
    case attempt_end::declined:
        selector.record_decline(now, attempt->upstream);
        ++upstream_arrivals_;
        break;
    case attempt_end::broken:
    case attempt_end::timed_out:
        // On a reused connection the fault may lie with the connection rather
        // than with the upstream.
        if (!reused)
            selector.record_failure(now, attempt->upstream);
        record_version_outcome(attempt, true);
        if (end == attempt_end::broken)
        {
            context_.schedule_crash_check(
                {fingerprint_, attempt->is_under_way
                                   ? std::vector<request_feature>{}
                                   : features_},
                attempt->upstream);
        }
        ++upstream_arrivals_;
        ++history_.runs;
        break;
    case attempt_end::failed:
        selector.record_failure(now, attempt->upstream);
        record_version_outcome(attempt, true);
        ++upstream_arrivals_;
        ++history_.runs;
        break;
    }
    if (end != attempt_end::not_sent)
        has_unused_repeat_ = false;
    tried_upstreams_.push_back(attempt->upstream);
    history_.has_time = now + min_attempt_time < deadline_;
    if (!is_hedge && !history_.has_time)
        cancel_hedge();
    const auto step = step_after(*route_, end, history_);
    context_.counters.increment("baobab_attempt_ends_total", "end",
                                name_in(dispatch::attempt_end_names, end));
    log_attempt_end(attempt, trace, end, step, reason);
    if (is_hedge)
    {
        attempt->body = {};
        // What the hedge took from the retry budget is left for a retry.
        has_unused_repeat_ = end == attempt_end::not_sent;
        record_hedge_outcome(dispatch::hedge_outcome::failed);
        return;
    }
    if (hedge_attempt_)
    {
        attempt->body = {};
        adopt_hedge(dispatch::hedge_outcome::replaced);
        return;
    }
    if (step != next_step::forward)
        attempt->body = {};
    switch (step)
    {
    case next_step::try_other:
        context_.counters.record_retry(
            name_in(dispatch::attempt_end_names, end));
        try_next_upstream();
        return;
    case next_step::try_later:
        try_later(reason);
        return;
    case next_step::forward:
        forward_response(attempt);
        return;
    case next_step::refuse_not_run:
        if (!wait_for_room())
            refuse(end == attempt_end::declined ? refusal_kind::overloaded
                                                : refusal_kind::no_upstream,
                   reason);
        return;
    case next_step::fail_unknown:
        fail(end == attempt_end::timed_out ? refusal_kind::upstream_timed_out
                                           : refusal_kind::upstream_failed,
             reason);
        return;
    case next_step::break_off:
        break_off(reason);
        return;
    }
}

relay_session::attempt_trace
relay_session::trace_of(const attempt_ptr& attempt) const
{
    attempt_trace result;
    if (const auto& channel = attempt->channel)
        result = {.connection = channel->serial(),
                  .exchange = channel->exchange_count(),
                  .evidence = {.sent_bytes = channel->sent_request_bytes()}};
    result.evidence.is_refusal = attempt->has_head && reports_not_run(attempt);
    result.evidence.names_request = names_request(attempt);
    return result;
}

bool relay_session::may_have_run() const
{
    const auto may_run = [this](const attempt_ptr& attempt)
    {
        return attempt && !attempt->over &&
               dispatch::may_have_run(trace_of(attempt).evidence);
    };
    return history_.runs > 0 || may_run(current_attempt_) ||
           may_run(hedge_attempt_);
}

void relay_session::log_attempt_end(const attempt_ptr& attempt,
                                    const attempt_trace& trace, attempt_end end,
                                    next_step step,
                                    std::string_view reason) const
{
    const auto now = net::boot_now();
    const auto echoed_id =
        http::field_value(attempt->head, context_.dialect.request_id);
    log_event(log_level::info, "attempt_failed",
              {{"request", request_id_},
               {"upstream", attempt->upstream},
               {"end", std::string{name_in(dispatch::attempt_end_names, end)}},
               {"why", std::string{reason}},
               {"after_ms", format_ms(now - attempt->started)},
               {"connection", std::to_string(trace.connection)},
               {"exchange", std::to_string(trace.exchange)},
               {"sent_bytes", std::to_string(trace.evidence.sent_bytes)},
               {"status", attempt->has_head
                              ? std::to_string(attempt->head.result_int())
                              : "none"},
               {"response_id", std::string{echoed_id}},
               {"choice", std::string{name_in(dispatch::choice_names,
                                              attempt->chosen.reason)}},
               {"load", format_one_decimal(attempt->chosen.load)},
               {"mean", format_one_decimal(attempt->chosen.mean_load)},
               {"runs", std::to_string(history_.runs)},
               {"left_ms", format_ms(deadline_ - now)},
               {"next",
                hedge_attempt_
                    ? "other_attempt"
                    : std::string{name_in(dispatch::next_step_names, step)}}});
}

void relay_session::finish(std::string_view outcome)
{
    if (finished_)
        return;
    finished_ = true;
    attempt_timer_.clear();
    waiting_place_.reset();
    hedge_timer_.clear();
    cancel_hedge();
    const auto now = net::boot_now();
    // Failed attempts, refusals and failures have log events of their own;
    // this one describes every request.
    log_event(
        log_level::info, "request_over",
        {{"request", request_id_},
         {"outcome", std::string{outcome}},
         {"route", route_ != nullptr ? route_->name : ""},
         {"upstream", current_attempt_ ? current_attempt_->upstream : ""},
         {"choice", current_attempt_
                        ? std::string{name_in(dispatch::choice_names,
                                              current_attempt_->chosen.reason)}
                        : ""},
         {"load", current_attempt_
                      ? format_one_decimal(current_attempt_->chosen.load)
                      : ""},
         {"mean", current_attempt_
                      ? format_one_decimal(current_attempt_->chosen.mean_load)
                      : ""},
         {"prefix", affinity_ ? std::to_string(*affinity_) : ""},
         {"prefix_tokens", std::to_string(shared_prefix_tokens_)},
         {"prefix_source",
          current_attempt_ ? current_attempt_->prefix_source : ""},
         {"config", config_ ? std::to_string(config_->version) : "none"},
         {"proof_age_ms", format_ms(context_.confirmation_age(now))},
         {"attempts", std::to_string(history_.attempts)},
         {"after_ms", format_ms(now - arrived_at_)}});
    const auto self = std::move(self_);
}

void relay_session::limit_deadline(time_point now, time_point last)
{
    deadline_ = std::min(deadline_, last);
    if (finished_ || now < last)
        return;
    if (current_attempt_ && !current_attempt_->over)
        on_timeout(current_attempt_);
    else if (stream_started_)
        break_off("router stops");
    else
        refuse(refusal_kind::leaving, "router stops");
}

http::buffer_holder relay_session::held_response() const
{
    if (!current_attempt_ || current_attempt_->over)
        return {};
    return {.upstream = current_attempt_->upstream,
            .bytes = current_attempt_->body.capacity() +
                     event_splitter_.capacity() +
                     (hedge_attempt_ ? hedge_attempt_->body.capacity() : 0)};
}

void relay_session::release_response()
{
    cancel_hedge();
    if (!finished_ && current_attempt_ && !current_attempt_->over)
        end_attempt(current_attempt_, attempt_end::broken,
                    "buffers of the router are full");
}

void relay_session::on_caller_disconnected()
{
    if (answered_ || finished_)
        return;
    const auto self = shared_from_this();
    if (current_attempt_ && !current_attempt_->over)
    {
        // A caller that leaves before it could expect a response tells nothing
        // about the upstream.
        if (current_attempt_->first_content_after ||
            net::boot_now() - current_attempt_->started >
                route_->response_objective)
            record_version_outcome(current_attempt_, false);
        close_attempt(current_attempt_);
    }
    finish("caller_gone");
}

} // namespace baobabloft::relay
