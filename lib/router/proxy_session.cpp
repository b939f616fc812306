#include "baobabloft/router/proxy_session.hpp"

#include "baobabloft/http/attempt_callback.hpp"
#include "baobabloft/support/endpoint.hpp"
#include "baobabloft/support/hash.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace baobabloft::router
{

namespace
{

namespace bhttp = boost::beast::http;

constexpr unsigned http_1_1 = 11;
constexpr unsigned status_ok = 200;
constexpr std::size_t max_event_bytes = std::size_t{1024} * 1024;
/// Unsent bytes for one caller above which the session stops reading from the
/// upstream.
constexpr std::size_t max_caller_backlog = std::size_t{64} * 1024;
/// A retry is started only if more time than this is left before the deadline.
constexpr duration min_retry_time = 50ms;
/// Longest time to open a connection to an upstream. Long enough for one lost
/// SYN, which is retransmitted after one second.
constexpr duration connect_timeout = 2s;
/// Longest idle time of a connection that is reused. Reuse is limited to
/// repeatable requests, which can be retried if the connection is dead.
constexpr duration max_reuse_idle = 30s;
/// Request headers that are forwarded from the caller to the upstream.
constexpr std::array forwarded_headers{"Accept",     "Priority",
                                       "X-Chat-Id",  "traceparent",
                                       "tracestate", "Idempotency-Key"};

std::uint16_t to_ms(duration value)
{
    constexpr std::int64_t max_value = 65535;
    return static_cast<std::uint16_t>(
        std::clamp<std::int64_t>(value / 1ms, 0, max_value));
}

bool is_retryable_status(unsigned status)
{
    return status == 502 || status == 503 || status == 504;
}

/// Returns the path and query of a request target in origin or absolute form.
std::string path_of(std::string_view target)
{
    constexpr std::string_view scheme_separator = "://";
    if (target.starts_with('/'))
        return std::string{target};
    const auto scheme_end = target.find(scheme_separator);
    if (scheme_end == std::string_view::npos)
        return "/";
    const auto path = target.find('/', scheme_end + scheme_separator.size());
    return path == std::string_view::npos ? "/"
                                          : std::string{target.substr(path)};
}

} // namespace

std::shared_ptr<proxy_session> proxy_session::start(worker_context& context,
                                                    const caller_ptr& caller,
                                                    http::request&& message)
{
    auto session =
        std::make_shared<proxy_session>(context, caller, std::move(message));
    session->self_reference_ = session;
    session->process_request();
    return session;
}

proxy_session::proxy_session(worker_context& context, caller_ptr caller,
                             http::request&& message)
    : context_(context), caller_(std::move(caller)),
      message_(std::move(message)), arrived_at_(net::monotonic_now()),
      timer_(context.loop), pace_timer_(context.loop)
{
    ++context_.requests_in_progress;
    context_.counters.add_requests_in_progress(1);
}

proxy_session::~proxy_session()
{
    --context_.requests_in_progress;
    context_.counters.add_requests_in_progress(-1);
}

void proxy_session::process_request()
{
    request_id_ = http::field_value(message_, "X-Request-Id");
    if (request_id_.empty())
        request_id_ = std::to_string(context_.random());
    const raw_request raw{
        .method = std::string{http::std_view(message_.method_string())},
        .path = path_of(http::std_view(message_.target())),
        .body = message_.body(),
        .header = [this](const char* name)
        {
            return std::string{http::field_value(message_, name)};
        }};
    execution_.has_key = find_idempotency_key(raw).has_value();
    execution_.first_attempt = is_first_attempt(raw);
    const auto& state = context_.state;
    if (!state.preset)
    {
        refuse(refusal_kind::not_ready);
        return;
    }
    auto reason = refusal_kind::bad_request;
    auto routed =
        classify(raw, state.preset->value, context_.options.max_timeout,
                 context_.random(), reason);
    if (!routed)
    {
        refuse(reason);
        return;
    }
    request_ = std::move(*routed);
    deadline_ = arrived_at_ + request_.timeout;
    if (state.readiness == fleet::readiness::leaving)
        refuse(refusal_kind::leaving);
    else if (state.readiness == fleet::readiness::isolated)
        refuse(refusal_kind::isolated);
    else if (request_.idempotency_key)
        begin_claim();
    else
        request_route(false);
}

void proxy_session::begin_claim()
{
    claim_id_ = context_.control.claim(
        context_.callbacks, *request_.idempotency_key, deadline_,
        [self = shared_from_this()](const ledger::claim_decision& decision)
        { self->on_claim(decision); });
}

void proxy_session::on_claim(const ledger::claim_decision& decision)
{
    if (has_responded_)
        return;
    execution_.evidence = evidence_of(decision.result);
    switch (decision.result)
    {
    case ledger::claim_result::accepted:
        fencing_number_ = decision.fencing_number;
        if (is_caller_disconnected_)
        {
            context_.control.release_claim(claim_id_);
            finish();
            return;
        }
        request_route(false);
        return;
    case ledger::claim_result::answered:
        if (!decision.upstream_response.complete)
        {
            refuse(refusal_kind::key_too_old);
            return;
        }
        added_headers_.set("Idempotent-Replayed", "true");
        send_response(decision.upstream_response.status,
                      decision.upstream_response.content_type,
                      decision.upstream_response.body);
        return;
    case ledger::claim_result::in_progress:
        refuse(refusal_kind::key_in_progress);
        return;
    case ledger::claim_result::below_low_water_mark:
        refuse(refusal_kind::key_too_old);
        return;
    case ledger::claim_result::key_from_future:
        refuse(refusal_kind::key_from_future);
        return;
    case ledger::claim_result::unconfirmed:
        refuse(refusal_kind::ledger_unavailable);
        return;
    }
}

void proxy_session::request_route(bool is_retry)
{
    auto attempt = std::make_shared<upstream_attempt>();
    attempt->number = ++attempt_count_;
    current_attempt_ = attempt;
    route_query query{
        .requirements = {.service = request_.service,
                         .chat = request_.chat,
                         .customer = make_customer_id(request_.customer),
                         .priority = request_.priority,
                         .deadline = deadline_,
                         .excluded_upstreams = failed_upstreams_},
        .body_hash = request_.body_hash,
        .is_retry = is_retry};
    attempt->route_id = context_.control.route(
        context_.callbacks, std::move(query),
        [self = shared_from_this(), attempt](const route_response& response)
        { self->on_route(attempt, response); });
}

void proxy_session::on_route(const attempt_ptr& attempt,
                             const route_response& response)
{
    switch (response.status)
    {
    case route_status::granted:
        break;
    case route_status::no_upstream:
        refuse(refusal_kind::no_upstream);
        return;
    case route_status::overloaded:
        refuse(refusal_kind::overloaded);
        return;
    case route_status::expired:
        refuse(refusal_kind::deadline_passed);
        return;
    case route_status::quarantined:
        refuse(refusal_kind::quarantined);
        return;
    case route_status::retries_spent:
        refuse(refusal_kind::retries_spent);
        return;
    }
    attempt->has_permit = true;
    attempt->upstream = response.upstream;
    attempt->upstream_name = response.upstream_name;
    attempt->address = response.address;
    send(attempt);
}

http::request_head
proxy_session::upstream_head(const attempt_ptr& attempt) const
{
    http::request_head head;
    head.method_string(message_.method_string());
    head.target(http::beast_view(request_.path));
    head.version(http_1_1);
    const auto set = [&head](const char* name, std::string_view value)
    {
        head.set(name, http::beast_view(value));
    };
    for (const auto* name : forwarded_headers)
        if (const auto value = http::field_value(message_, name);
            !value.empty())
            set(name, value);
    set("Host", attempt->address);
    set("X-Request-Id", attempt->request_id);
    set("X-Customer", request_.customer);
    set("X-Timeout-Ms",
        std::to_string((deadline_ - attempt->started_at) / 1ms));
    if (has_stream_started_)
        set("Last-Event-ID", std::to_string(last_event_id_));
    if (request_.checks_fencing && request_.idempotency_key)
        set("X-Fencing-Number", std::to_string(fencing_number_));
    const auto& body = message_.body();
    if (body.empty() && !message_.has_content_length())
        return head;
    const auto type = http::field_value(message_, "Content-Type");
    set("Content-Type", type.empty() ? "application/octet-stream" : type);
    head.content_length(body.size());
    return head;
}

void proxy_session::send(const attempt_ptr& attempt)
{
    attempt->started_at = now();
    attempt->request_id = request_id_ + "." + std::to_string(attempt->number);
    // Retries and non-repeatable requests use a new connection, because an idle
    // one may be dead without having been closed.
    const bool can_reuse = request_.repeatable && attempt->number == 1;
    if (const auto peer = parse_endpoint(attempt->address))
        attempt->channel = context_.upstream_channels.acquire(
            net::boot_now(), attempt->address, *peer,
            can_reuse ? max_reuse_idle : duration{0}, attempt->request_id);
    if (!attempt->channel)
    {
        fail_attempt(attempt, routing::outcome::connect_failed,
                     refusal_kind::upstream_failed);
        return;
    }
    const auto bind_step = [this, &attempt](auto step)
    {
        return http::attempt_callback(weak_from_this(), attempt, step);
    };
    http::outgoing_request out;
    out.head = upstream_head(attempt);
    out.body = message_.body();
    out.id_header = "X-Request-Id";
    out.id = attempt->request_id;
    out.connect_timeout = connect_timeout;
    attempt->channel->exchange(
        std::move(out), {.on_head = bind_step(&proxy_session::on_head),
                         .on_body = bind_step(&proxy_session::on_body),
                         .on_complete = bind_step(&proxy_session::on_complete),
                         .on_failure = bind_step(&proxy_session::on_failure)});
    if (attempt->over)
        return;
    arm_inactivity_timeout(context_.options.first_byte_timeout, attempt);
}

void proxy_session::on_head(const attempt_ptr& attempt,
                            const http::response_head& head)
{
    attempt->head = head;
    const auto status = head.result_int();
    const bool will_retry = is_retryable_status(status) && can_retry(attempt);
    if (will_retry || (has_stream_started_ && status != status_ok))
    {
        attempt->response_started = true;
        fail_attempt(attempt, routing::outcome::cancelled,
                     refusal_kind::upstream_failed);
        return;
    }
    splitter_.clear();
    buffered_body_.clear();
    is_paused_for_pace_ = false;
    pace_timer_.clear();
    arm_progress_timeout(attempt);
}

void proxy_session::on_body(const attempt_ptr& attempt, std::string_view bytes)
{
    if (!attempt->response_started)
    {
        attempt->response_started = true;
        attempt->first_token_ms =
            std::max<std::uint16_t>(to_ms(now() - attempt->started_at), 1);
        context_.control.record_first_token(attempt->route_id);
    }
    if (!is_paused_for_caller_)
        arm_progress_timeout(attempt);
    if (is_streaming(attempt))
    {
        on_stream_bytes(attempt, bytes);
        return;
    }
    buffered_body_ += bytes;
    if (buffered_body_.size() > context_.options.max_answer_bytes)
        fail_attempt(attempt, routing::outcome::cancelled,
                     refusal_kind::upstream_failed);
    else
    {
        keep_pace(attempt, 1, bytes.size());
        context_.record_received(bytes.size());
    }
}

void proxy_session::on_complete(const attempt_ptr& attempt)
{
    // A stream is complete only after its end marker, see on_stream_bytes().
    if (is_streaming(attempt))
        fail_attempt(attempt, routing::outcome::broken,
                     refusal_kind::upstream_failed);
    else
        deliver_buffered_response(attempt);
}

void proxy_session::on_failure(const attempt_ptr& attempt,
                               http::exchange_failure cause)
{
    const bool is_connect_failure =
        cause == http::exchange_failure::connect_failed ||
        cause == http::exchange_failure::connect_timed_out;
    fail_attempt(attempt,
                 is_connect_failure || !was_sent(attempt)
                     ? routing::outcome::connect_failed
                     : routing::outcome::broken,
                 refusal_kind::upstream_failed);
}

void proxy_session::on_timeout(const attempt_ptr& attempt)
{
    const bool is_past_deadline = now() >= deadline_;
    fail_attempt(attempt,
                 is_past_deadline ? routing::outcome::cancelled
                                  : routing::outcome::timed_out,
                 refusal_kind::upstream_timed_out);
}

void proxy_session::on_stream_bytes(const attempt_ptr& attempt,
                                    std::string_view bytes)
{
    splitter_.add(bytes);
    std::string out;
    bool done = false;
    std::size_t count = 0;
    for (; const auto event = splitter_.next(); ++count)
        done = deliver_event(*event, out) || done;
    if (splitter_.buffered_bytes() > max_event_bytes)
    {
        fail_attempt(attempt, routing::outcome::cancelled,
                     refusal_kind::upstream_failed);
        return;
    }
    if (!out.empty())
    {
        start_stream(attempt);
        caller_->send_body_part(out);
    }
    if (done)
    {
        end_attempt(attempt, routing::outcome::completed);
        end_stream();
        return;
    }
    if (caller_->unsent_bytes() > max_caller_backlog)
    {
        // Stops reading from the upstream, so that memory per stream stays
        // bounded if the caller reads slowly.
        is_paused_for_caller_ = true;
        update_reading(attempt);
        arm_timeout(deadline_ - now(), attempt);
    }
    keep_pace(attempt, 1 + count, bytes.size());
    context_.record_received(bytes.size());
}

void proxy_session::keep_pace(const attempt_ptr& attempt, std::size_t pieces,
                              std::size_t bytes)
{
    const auto pause = pace_.record(now(), pieces, bytes);
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

void proxy_session::update_reading(const attempt_ptr& attempt)
{
    attempt->channel->set_reading(!is_paused_for_caller_ &&
                                  !is_paused_for_pace_);
}

bool proxy_session::deliver_event(const sse_event& event, std::string& out)
{
    if (event.is_end)
    {
        out += event.bytes;
        return true;
    }
    if (!event.id)
        events_have_ids_ = false;
    // A resumed stream may repeat events that the caller has received.
    if (event.id && *event.id <= last_event_id_)
        return false;
    if (event.id)
        last_event_id_ = *event.id;
    const auto event_time = now();
    if (last_token_at_ == time_point{})
    {
        const auto latency = event_time - arrived_at_;
        context_.counters.record_first_token(request_.service, latency);
        record_objective(objective::first_token,
                         latency > request_.objectives.first_token);
    }
    else
    {
        const auto gap = event_time - last_token_at_;
        context_.counters.record_token_gap(request_.service, gap);
        record_objective(objective::between_tokens,
                         gap > request_.objectives.between_tokens);
    }
    last_token_at_ = event_time;
    out += event.bytes;
    return false;
}

void proxy_session::deliver_buffered_response(const attempt_ptr& attempt)
{
    auto type = std::string{http::field_value(attempt->head, "Content-Type")};
    if (type.empty())
        type = "application/octet-stream";
    finish_claim(attempt, type);
    end_attempt(attempt, routing::outcome::completed);
    added_headers_.set("X-Upstream", attempt->upstream_name);
    send_response(attempt->head.result_int(), type, std::move(buffered_body_));
}

void proxy_session::on_caller_drained()
{
    if (!std::exchange(is_paused_for_caller_, false))
        return;
    const auto attempt = current_attempt_;
    if (!attempt || attempt->over)
        return;
    update_reading(attempt);
    arm_progress_timeout(attempt);
}

http::buffer_holder proxy_session::held_response() const
{
    if (!current_attempt_ || current_attempt_->over)
        return {};
    return {.upstream = current_attempt_->upstream_name,
            .bytes = buffered_body_.capacity() + splitter_.capacity()};
}

void proxy_session::release_response()
{
    if (!current_attempt_ || current_attempt_->over)
        return;
    buffered_body_ = {};
    splitter_.clear();
    fail_attempt(current_attempt_, routing::outcome::cancelled,
                 refusal_kind::upstream_failed);
}

bool proxy_session::is_streaming(const attempt_ptr& attempt) const
{
    return request_.streamed && attempt->head.result_int() == status_ok;
}

bool proxy_session::was_sent(const attempt_ptr& attempt)
{
    return attempt->channel ? attempt->channel->has_sent_bytes()
                            : attempt->request_sent;
}

void proxy_session::release_channel(const attempt_ptr& attempt,
                                    routing::outcome outcome)
{
    if (!attempt->channel)
        return;
    attempt->request_sent = attempt->channel->has_sent_bytes();
    const auto channel = std::exchange(attempt->channel, nullptr);
    if (outcome == routing::outcome::completed)
        context_.upstream_channels.release(net::boot_now(), attempt->address,
                                           channel);
    else
        channel->abandon();
}

void proxy_session::end_attempt(const attempt_ptr& attempt,
                                routing::outcome outcome)
{
    if (attempt->over && !attempt->has_permit)
        return;
    attempt->over = true;
    timer_.clear();
    release_channel(attempt, outcome);
    if (!attempt->has_permit)
    {
        context_.control.end_route(context_.callbacks, attempt->route_id,
                                   {.outcome = routing::outcome::cancelled});
        return;
    }
    attempt->has_permit = false;
    const bool crashed =
        outcome == routing::outcome::broken && !attempt->response_started;
    context_.control.end_route(context_.callbacks, attempt->route_id,
                               {.outcome = outcome,
                                .first_token_ms = attempt->first_token_ms,
                                .crashed = crashed});
}

void proxy_session::fail_attempt(const attempt_ptr& attempt,
                                 routing::outcome outcome, refusal_kind kind)
{
    const auto self = shared_from_this();
    const bool retry = can_retry(attempt);
    end_attempt(attempt, outcome);
    if (outcome != routing::outcome::cancelled &&
        outcome != routing::outcome::timed_out)
        failed_upstreams_.push_back(attempt->upstream);
    if (retry)
    {
        context_.counters.record_retry(
            name_in(routing::outcome_names, outcome));
        request_route(true);
        return;
    }
    if (request_.idempotency_key && claim_id_ != 0)
    {
        if (attempt->request_sent)
            context_.control.abandon_claim(claim_id_);
        else
            context_.control.release_claim(claim_id_);
        claim_id_ = 0;
    }
    refuse(kind);
}

bool proxy_session::can_retry(const attempt_ptr& attempt) const
{
    if (is_caller_disconnected_ || attempt_count_ >= request_.max_attempts ||
        !has_time_for_retry())
        return false;
    // A request of which nothing was sent can always be retried.
    if (!was_sent(attempt))
        return true;
    if (!request_.repeatable)
        return false;
    return !has_stream_started_ || events_have_ids_;
}

bool proxy_session::has_time_for_retry() const
{
    return deadline_ - now() > min_retry_time;
}

void proxy_session::arm_timeout(duration delay, const attempt_ptr& attempt)
{
    timer_.set(delay, http::attempt_callback(weak_from_this(), attempt,
                                             &proxy_session::on_timeout));
}

void proxy_session::arm_progress_timeout(const attempt_ptr& attempt)
{
    arm_inactivity_timeout(context_.options.progress_timeout, attempt);
}

void proxy_session::arm_inactivity_timeout(duration limit,
                                           const attempt_ptr& attempt)
{
    const auto remaining = deadline_ - now();
    arm_timeout(request_.streamed ? std::min(limit, remaining) : remaining,
                attempt);
}

void proxy_session::on_caller_disconnected()
{
    if (is_caller_disconnected_)
        return;
    const auto self = shared_from_this();
    is_caller_disconnected_ = true;
    if (has_responded_)
        return;
    const auto attempt = current_attempt_;
    // A non-repeatable call that was sent continues, so that its response is
    // recorded and the caller can fetch it with the same key. A request whose
    // claim is pending ends when the claim is decided.
    const bool is_awaiting_claim =
        request_.idempotency_key && claim_id_ != 0 && !attempt;
    const bool must_complete = request_.idempotency_key && attempt &&
                               !attempt->over && was_sent(attempt);
    if (must_complete || is_awaiting_claim)
        return;
    if (claim_id_ != 0)
        context_.control.release_claim(std::exchange(claim_id_, 0));
    if (attempt && !attempt->over)
        end_attempt(attempt, routing::outcome::cancelled);
    finish();
}

void proxy_session::limit_deadline(time_point now, time_point last)
{
    deadline_ = std::min(deadline_, last);
    if (now < last || has_responded_)
        return;
    const auto attempt = current_attempt_;
    if (!attempt)
        refuse(refusal_kind::ledger_unavailable);
    else if (!attempt->over)
        fail_attempt(attempt, routing::outcome::cancelled,
                     was_sent(attempt) ? refusal_kind::upstream_timed_out
                                       : refusal_kind::deadline_passed);
}

void proxy_session::finish()
{
    timer_.clear();
    // The session may be destroyed at the end of this function.
    const auto self = std::move(self_reference_);
}

time_point proxy_session::now() const
{
    return net::monotonic_now();
}

} // namespace baobabloft::router
