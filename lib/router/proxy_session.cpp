#include "baobabloft/router/proxy_session.hpp"

#include "baobabloft/http/attempt_step.hpp"
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
/// Bytes for one caller that may wait here before reading stops.
constexpr std::size_t max_caller_backlog = std::size_t{64} * 1024;
constexpr duration least_retry_time = 50ms;
/// Longest time to open a connection to an upstream: one lost opening packet
/// is repeated after a second.
constexpr duration connect_timeout = 2s;
/// Idle time up to which a kept connection carries a request that may be
/// repeated if the connection turns out dead.
constexpr duration repeatable_idle = 30s;
/// Headers of callers that go on to upstreams.
constexpr std::array forwarded_headers{"Accept",     "Priority",
                                       "X-Chat-Id",  "traceparent",
                                       "tracestate", "Idempotency-Key"};

std::uint16_t to_ms(duration value)
{
    constexpr std::int64_t most = 65535;
    return static_cast<std::uint16_t>(
        std::clamp<std::int64_t>(value / 1ms, 0, most));
}

bool is_retryable_status(unsigned status)
{
    return status == 502 || status == 503 || status == 504;
}

/// Returns path and query of a request target, which may be a whole URL.
std::string path_of(std::string_view target)
{
    constexpr std::string_view mark = "://";
    if (target.starts_with('/'))
        return std::string{target};
    const auto scheme_end = target.find(mark);
    if (scheme_end == std::string_view::npos)
        return "/";
    const auto path = target.find('/', scheme_end + mark.size());
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
    session->held_ = session;
    session->begin();
    return session;
}

proxy_session::proxy_session(worker_context& context, caller_ptr caller,
                             http::request&& message)
    : context_(context), caller_(std::move(caller)),
      message_(std::move(message)), arrived_(net::monotonic_now()),
      timer_(context.loop)
{
    ++context_.requests_in_progress;
    context_.counters.add_requests_in_progress(1);
}

proxy_session::~proxy_session()
{
    --context_.requests_in_progress;
    context_.counters.add_requests_in_progress(-1);
}

void proxy_session::begin()
{
    request_id_ = http::field_of(message_, "X-Request-Id");
    if (request_id_.empty())
        request_id_ = std::to_string(context_.random());
    const raw_request raw{
        .method = std::string{http::view_of(message_.method_string())},
        .path = path_of(http::view_of(message_.target())),
        .body = message_.body(),
        .header = [this](const char* name)
        {
            return std::string{http::field_of(message_, name)};
        }};
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
        key_is_clear_ = true;
        refuse(reason);
        return;
    }
    request_ = std::move(*routed);
    latest_ = arrived_ + request_.timeout;
    if (state.readiness == fleet::readiness::leaving)
        refuse(refusal_kind::leaving);
    else if (state.readiness == fleet::readiness::isolated)
        refuse(refusal_kind::isolated);
    else if (request_.idempotency_key)
        begin_claim();
    else
        seek_upstream(false);
}

void proxy_session::begin_claim()
{
    claim_ = context_.control.claim(
        context_.callbacks, *request_.idempotency_key, latest_,
        [self = shared_from_this()](const ledger::claim_decision& decision)
        { self->on_claim(decision); });
}

void proxy_session::on_claim(const ledger::claim_decision& decision)
{
    switch (decision.result)
    {
    case ledger::claim_result::accepted:
        key_is_clear_ = true;
        fencing_ = decision.fencing;
        if (caller_gone_)
        {
            context_.control.release_claim(claim_);
            finish();
            return;
        }
        seek_upstream(false);
        return;
    case ledger::claim_result::answered:
        if (!decision.answer.complete)
        {
            refuse(refusal_kind::key_too_old);
            return;
        }
        added_.set("Idempotent-Replayed", "true");
        respond_whole(decision.answer.status, decision.answer.content_type,
                      decision.answer.body);
        return;
    case ledger::claim_result::in_progress:
        refuse(refusal_kind::key_in_progress);
        return;
    case ledger::claim_result::beyond_horizon:
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

void proxy_session::seek_upstream(bool is_retry)
{
    auto at = std::make_shared<attempt>();
    at->number = ++attempts_;
    current_ = at;
    route_query query{
        .demand = {.service = request_.service,
                   .chat = request_.chat,
                   .customer = make_customer_id(request_.customer),
                   .priority = request_.priority,
                   .latest = latest_,
                   .avoid = failed_upstreams_},
        .body_hash = request_.body_hash,
        .is_retry = is_retry};
    at->route = context_.control.route(
        context_.callbacks, std::move(query),
        [self = shared_from_this(), at](const route_response& answer)
        { self->on_route(at, answer); });
}

void proxy_session::on_route(const attempt_ptr& at,
                             const route_response& answer)
{
    switch (answer.status)
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
    at->has_permit = true;
    at->upstream = answer.upstream;
    at->upstream_name = answer.upstream_name;
    at->address = answer.address;
    send(at);
}

http::request_head proxy_session::upstream_head(const attempt_ptr& at) const
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
        if (const auto value = http::field_of(message_, name); !value.empty())
            set(name, value);
    set("Host", at->address);
    set("X-Request-Id", at->request_id);
    set("X-Customer", request_.customer);
    set("X-Timeout-Ms", std::to_string((latest_ - at->started) / 1ms));
    if (stream_started_)
        set("Last-Event-ID", std::to_string(last_event_));
    if (request_.checks_fencing && request_.idempotency_key)
        set("X-Fencing-Number", std::to_string(fencing_));
    const auto& body = message_.body();
    if (body.empty() && !message_.has_content_length())
        return head;
    const auto type = http::field_of(message_, "Content-Type");
    set("Content-Type", type.empty() ? "application/octet-stream" : type);
    head.content_length(body.size());
    return head;
}

void proxy_session::send(const attempt_ptr& at)
{
    at->started = now();
    at->request_id = request_id_ + "." + std::to_string(at->number);
    // A fresh connection cannot have gone silent.
    const bool may_reuse = request_.repeatable && at->number == 1;
    if (const auto peer = parse_endpoint(at->address))
        at->channel = context_.upstream_channels.acquire(
            net::boot_now(), at->address, *peer,
            may_reuse ? repeatable_idle : duration{0});
    if (!at->channel)
    {
        fail_attempt(at, routing::outcome::connect_failed,
                     refusal_kind::upstream_failed);
        return;
    }
    const auto with = [this, &at](auto step)
    {
        return http::attempt_step(weak_from_this(), at, step);
    };
    http::outgoing_request out;
    out.head = upstream_head(at);
    out.body = message_.body();
    out.id_header = "X-Request-Id";
    out.id = at->request_id;
    out.connect_timeout = connect_timeout;
    at->channel->exchange(std::move(out),
                          {.on_head = with(&proxy_session::on_head),
                           .on_body = with(&proxy_session::on_body),
                           .on_complete = with(&proxy_session::on_complete),
                           .on_failure = with(&proxy_session::on_failure)});
    if (at->over)
        return;
    arm_for_silence(context_.options.first_byte_timeout, at);
}

void proxy_session::on_head(const attempt_ptr& at,
                            const http::response_head& head)
{
    at->head = head;
    const auto status = head.result_int();
    const bool moves_on = is_retryable_status(status) && may_retry(at);
    if (moves_on || (stream_started_ && status != status_ok))
    {
        at->answered = true;
        fail_attempt(at, routing::outcome::cancelled,
                     refusal_kind::upstream_failed);
        return;
    }
    splitter_ = {};
    whole_.clear();
    arm_for_progress(at);
}

void proxy_session::on_body(const attempt_ptr& at, std::string_view bytes)
{
    if (!at->answered)
    {
        at->answered = true;
        at->first_token_ms =
            std::max<std::uint16_t>(to_ms(now() - at->started), 1);
        context_.control.record_first_token(at->route);
    }
    if (!waits_for_caller_)
        arm_for_progress(at);
    if (is_streaming(at))
    {
        on_stream_bytes(at, bytes);
        return;
    }
    whole_ += bytes;
    if (whole_.size() > context_.options.max_answer_bytes)
        fail_attempt(at, routing::outcome::cancelled,
                     refusal_kind::upstream_failed);
}

void proxy_session::on_complete(const attempt_ptr& at)
{
    // Only the end marker makes a stream complete.
    if (is_streaming(at))
        fail_attempt(at, routing::outcome::broken,
                     refusal_kind::upstream_failed);
    else
        on_whole_answer(at);
}

void proxy_session::on_failure(const attempt_ptr& at,
                               http::exchange_failure why)
{
    const bool connecting = why == http::exchange_failure::connect_failed ||
                            why == http::exchange_failure::connect_timed_out;
    fail_attempt(at,
                 connecting || !was_sent(at) ? routing::outcome::connect_failed
                                             : routing::outcome::broken,
                 refusal_kind::upstream_failed);
}

void proxy_session::on_timeout(const attempt_ptr& at)
{
    const bool deadline = now() >= latest_;
    fail_attempt(
        at, deadline ? routing::outcome::cancelled : routing::outcome::silent,
        refusal_kind::upstream_silent);
}

void proxy_session::on_stream_bytes(const attempt_ptr& at,
                                    std::string_view bytes)
{
    splitter_.add(bytes);
    std::string out;
    bool done = false;
    while (const auto event = splitter_.next())
        done = deliver_event(*event, out) || done;
    if (splitter_.buffered_bytes() > max_event_bytes)
    {
        fail_attempt(at, routing::outcome::cancelled,
                     refusal_kind::upstream_failed);
        return;
    }
    if (!out.empty())
    {
        start_stream(at);
        caller_->send_part(out);
    }
    if (done)
    {
        end_attempt(at, routing::outcome::completed);
        end_stream();
        return;
    }
    if (caller_->unsent() <= max_caller_backlog)
        return;
    // Memory per stream stays bounded however slowly the caller reads.
    waits_for_caller_ = true;
    at->channel->set_reading(false);
    arm(latest_ - now(), at);
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
    // A resumed stream may repeat events that the caller has.
    if (event.id && *event.id <= last_event_)
        return false;
    if (event.id)
        last_event_ = *event.id;
    const auto present = now();
    if (last_token_ == time_point{})
    {
        const auto took = present - arrived_;
        context_.counters.record_first_token(request_.service, took);
        record_objective(objective::first_token,
                         took > request_.goals.first_token);
    }
    else
    {
        const auto gap = present - last_token_;
        context_.counters.record_token_gap(request_.service, gap);
        record_objective(objective::between_tokens,
                         gap > request_.goals.between_tokens);
    }
    last_token_ = present;
    out += event.bytes;
    return false;
}

void proxy_session::on_whole_answer(const attempt_ptr& at)
{
    auto type = std::string{http::field_of(at->head, "Content-Type")};
    if (type.empty())
        type = "application/octet-stream";
    finish_claim(at, type);
    end_attempt(at, routing::outcome::completed);
    added_.set("X-Upstream", at->upstream_name);
    respond_whole(at->head.result_int(), type, std::move(whole_));
}

void proxy_session::caller_drained()
{
    if (!std::exchange(waits_for_caller_, false))
        return;
    const auto at = current_;
    if (!at || at->over)
        return;
    at->channel->set_reading(true);
    arm_for_progress(at);
}

bool proxy_session::is_streaming(const attempt_ptr& at) const
{
    return request_.streamed && at->head.result_int() == status_ok;
}

bool proxy_session::was_sent(const attempt_ptr& at)
{
    return at->channel ? at->channel->has_sent() : at->sent;
}

void proxy_session::release_channel(const attempt_ptr& at, routing::outcome how)
{
    if (!at->channel)
        return;
    at->sent = at->channel->has_sent();
    const auto channel = std::exchange(at->channel, nullptr);
    if (how == routing::outcome::completed)
        context_.upstream_channels.release(net::boot_now(), at->address,
                                           channel);
    else
        channel->abandon();
}

void proxy_session::end_attempt(const attempt_ptr& at, routing::outcome how)
{
    if (at->over && !at->has_permit)
        return;
    at->over = true;
    timer_.clear();
    release_channel(at, how);
    if (!at->has_permit)
    {
        context_.control.end_route(context_.callbacks, at->route,
                                   {.outcome = routing::outcome::cancelled});
        return;
    }
    at->has_permit = false;
    const bool crashed = how == routing::outcome::broken && !at->answered;
    context_.control.end_route(context_.callbacks, at->route,
                               {.outcome = how,
                                .first_token_ms = at->first_token_ms,
                                .crashed = crashed});
}

void proxy_session::fail_attempt(const attempt_ptr& at, routing::outcome how,
                                 refusal_kind kind)
{
    const auto self = shared_from_this();
    const bool retry = may_retry(at);
    end_attempt(at, how);
    if (how != routing::outcome::cancelled && how != routing::outcome::silent)
        failed_upstreams_.push_back(at->upstream);
    if (retry)
    {
        context_.counters.record_retry(name_in(routing::outcome_names, how));
        seek_upstream(true);
        return;
    }
    if (request_.idempotency_key && claim_ != 0)
    {
        if (at->sent)
        {
            key_is_clear_ = false;
            context_.control.abandon_claim(claim_);
        }
        else
            context_.control.release_claim(claim_);
        claim_ = 0;
    }
    refuse(kind);
}

bool proxy_session::may_retry(const attempt_ptr& at) const
{
    if (caller_gone_ || attempts_ >= request_.max_attempts ||
        !has_room_for_retry())
        return false;
    // What was surely not sent may always go elsewhere.
    if (!was_sent(at))
        return true;
    if (!request_.repeatable)
        return false;
    return !stream_started_ || events_have_ids_;
}

bool proxy_session::has_room_for_retry() const
{
    return latest_ - now() > least_retry_time;
}

void proxy_session::arm(duration delay, const attempt_ptr& at)
{
    timer_.set(delay, http::attempt_step(weak_from_this(), at,
                                         &proxy_session::on_timeout));
}

void proxy_session::arm_for_progress(const attempt_ptr& at)
{
    arm_for_silence(context_.options.progress_timeout, at);
}

void proxy_session::arm_for_silence(duration longest, const attempt_ptr& at)
{
    const auto left = latest_ - now();
    arm(request_.streamed ? std::min(longest, left) : left, at);
}

void proxy_session::caller_gone()
{
    if (caller_gone_)
        return;
    const auto self = shared_from_this();
    caller_gone_ = true;
    if (responded_)
        return;
    const auto at = current_;
    // A call that may not be repeated goes on, so that its answer is recorded
    // and the caller can ask for it again. One that waits for its claim ends
    // with the decision.
    const bool is_claiming = request_.idempotency_key && claim_ != 0 && !at;
    const bool runs_on =
        request_.idempotency_key && at && !at->over && was_sent(at);
    if (runs_on || is_claiming)
        return;
    if (claim_ != 0)
        context_.control.release_claim(std::exchange(claim_, 0));
    if (at && !at->over)
        end_attempt(at, routing::outcome::cancelled);
    finish();
}

void proxy_session::finish()
{
    timer_.clear();
    const auto self = std::move(held_);
}

time_point proxy_session::now() const
{
    return net::monotonic_now();
}

} // namespace baobabloft::router
