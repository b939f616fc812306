#include "baobabloft/router/proxy_session.hpp"

#include "baobabloft/support/hash.hpp"

#include <algorithm>
#include <array>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace baobabloft::router
{

namespace
{

constexpr gsize read_size = 16 * 1024;
constexpr std::size_t max_event_bytes = 1024 * 1024;
constexpr unsigned status_ok = 200;
constexpr unsigned first_error_status = 400;
constexpr unsigned first_server_error = 500;
constexpr unsigned status_too_many = 429;
constexpr duration least_retry_time = 50ms;
constexpr const char* json_type = "application/json";

/// Keepalive of upstream connections: one that went silent is found out within
/// about 11 seconds.
constexpr int keepalive_idle_s = 5;
constexpr int keepalive_interval_s = 2;
constexpr int keepalive_probes = 3;
constexpr int user_timeout_ms = 11000;

std::string header_of(SoupMessageHeaders* headers, const char* name)
{
    const auto* value = soup_message_headers_get_one(headers, name);
    return value != nullptr ? value : "";
}

std::string content_type_of(SoupMessageHeaders* headers)
{
    const auto type = header_of(headers, "Content-Type");
    return type.empty() ? "application/octet-stream" : type;
}

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

} // namespace

void proxy_session::start(worker_context& context, SoupServerMessage* message)
{
    const auto session = std::make_shared<proxy_session>(context, message);
    session->held_ = session;
    session->begin();
}

proxy_session::proxy_session(worker_context& context,
                             SoupServerMessage* message)
    : context_(context),
      caller_(static_cast<SoupServerMessage*>(g_object_ref(message))),
      arrived_(net::monotonic_now())
{
    ++context_.in_progress;
    context_.counters.requests_in_progress(1);
}

proxy_session::~proxy_session()
{
    --context_.in_progress;
    context_.counters.requests_in_progress(-1);
}

void proxy_session::begin()
{
    auto* message = caller_.get();
    finished_handler_ =
        g_signal_connect(message, "finished", G_CALLBACK(on_finished), this);
    chunk_handler_ = g_signal_connect(message, "wrote-chunk",
                                      G_CALLBACK(on_chunk_written), this);
    soup_server_message_pause(message);
    auto* headers = soup_server_message_get_request_headers(message);
    request_id_ = header_of(headers, "X-Request-Id");
    if (request_id_.empty())
        request_id_ = std::to_string(context_.random());
    method_ = soup_server_message_get_method(message);
    content_type_ = content_type_of(headers);
    auto* body = soup_server_message_get_request_body(message);
    const net::bytes_ptr bytes{soup_message_body_flatten(body)};
    gsize size = 0;
    if (const auto* data = g_bytes_get_data(bytes.get(), &size))
        body_.assign(static_cast<const char*>(data), size);
    gchar* path = g_uri_to_string_partial(soup_server_message_get_uri(message),
                                          G_URI_HIDE_FRAGMENT);
    const std::string_view uri{path};
    const auto scheme_end = uri.find("://");
    const auto path_start = scheme_end == std::string_view::npos
                                ? uri.find('/')
                                : uri.find('/', scheme_end + 3);
    raw_request raw{.method = method_,
                    .path = path_start == std::string_view::npos
                                ? "/"
                                : std::string{uri.substr(path_start)},
                    .body = body_,
                    .header = [headers](const char* name)
                    {
                        return header_of(headers, name);
                    }};
    g_free(path);
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
    else if (request_.key)
        begin_claim();
    else
        seek_upstream(false);
}

void proxy_session::begin_claim()
{
    watch_caller();
    claim_ = context_.control.claim(
        context_.replies, *request_.key, latest_,
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
        soup_message_headers_replace(
            soup_server_message_get_response_headers(caller_.get()),
            "Idempotent-Replayed", "true");
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
    watch_caller();
    auto at = std::make_shared<attempt>();
    at->number = ++attempts_;
    current_ = at;
    route_query query{.want = {.service = request_.service,
                               .chat = request_.chat,
                               .customer = make_customer_id(request_.customer),
                               .priority = request_.priority,
                               .latest = latest_,
                               .avoid = failed_upstreams_},
                      .body_hash = request_.body_hash,
                      .is_retry = is_retry};
    at->route = context_.control.route(
        context_.replies, std::move(query),
        [self = shared_from_this(), at](const route_answer& answer)
        { self->on_route(at, answer); });
}

void proxy_session::on_route(const attempt_ptr& at, const route_answer& answer)
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
    send(at, answer.address);
}

void proxy_session::send(const attempt_ptr& at, const std::string& address)
{
    const auto url = "http://" + address + request_.path;
    at->message.reset(soup_message_new(method_.c_str(), url.c_str()));
    if (!at->message)
    {
        fail_attempt(at, routing::outcome::connect_failed,
                     refusal_kind::upstream_failed);
        return;
    }
    at->started = now();
    at->request_id = request_id_ + "." + std::to_string(at->number);
    at->cancel.reset(g_cancellable_new());
    auto* message = at->message.get();
    auto* headers = soup_message_get_request_headers(message);
    auto* given = soup_server_message_get_request_headers(caller_.get());
    for (const auto* name : {"Accept", "Priority", "X-Chat-Id", "traceparent",
                             "tracestate", "Idempotency-Key"})
        if (const auto value = header_of(given, name); !value.empty())
            soup_message_headers_replace(headers, name, value.c_str());
    const auto left = std::to_string((latest_ - at->started) / 1ms);
    soup_message_headers_replace(headers, "X-Request-Id",
                                 at->request_id.c_str());
    soup_message_headers_replace(headers, "X-Customer",
                                 request_.customer.c_str());
    soup_message_headers_replace(headers, "X-Timeout-Ms", left.c_str());
    if (stream_started_)
        soup_message_headers_replace(headers, "Last-Event-ID",
                                     std::to_string(last_event_).c_str());
    if (request_.checks_fencing && request_.key)
        soup_message_headers_replace(headers, "X-Fencing-Number",
                                     std::to_string(fencing_).c_str());
    if (!body_.empty())
    {
        const net::bytes_ptr bytes{
            g_bytes_new_static(body_.data(), body_.size())};
        soup_message_set_request_body_from_bytes(message, content_type_.c_str(),
                                                 bytes.get());
    }
    auto flags = static_cast<unsigned>(SOUP_MESSAGE_NO_REDIRECT);
    // A fresh connection cannot have gone silent, and the library never
    // repeats a request by itself on one.
    if (!request_.repeatable || at->number > 1)
        flags |= static_cast<unsigned>(SOUP_MESSAGE_NEW_CONNECTION);
    soup_message_set_flags(message, static_cast<SoupMessageFlags>(flags));
    g_signal_connect(message, "starting", G_CALLBACK(on_starting), at.get());
    g_signal_connect(message, "network-event", G_CALLBACK(on_network_event),
                     nullptr);
    const auto left_until_deadline = latest_ - at->started;
    arm(request_.streamed
            ? std::min(context_.options.first_byte_timeout, left_until_deadline)
            : left_until_deadline,
        at);
    soup_session_send_async(
        context_.upstreams.get(), message, G_PRIORITY_DEFAULT, at->cancel.get(),
        on_headers_ready, new operation{shared_from_this(), at});
}

void proxy_session::on_reply_headers(const attempt_ptr& at, const GError* error)
{
    if (at->over)
        return;
    if (error != nullptr)
    {
        const auto how = at->sent ? routing::outcome::broken
                                  : routing::outcome::connect_failed;
        fail_attempt(at, how, refusal_kind::upstream_failed);
        return;
    }
    auto* headers = soup_message_get_response_headers(at->message.get());
    const auto echoed = header_of(headers, "X-Request-Id");
    if (!echoed.empty() && echoed != at->request_id)
    {
        // The answer to another request arrived on this connection.
        at->answered = true;
        fail_attempt(at, routing::outcome::broken,
                     refusal_kind::upstream_failed);
        return;
    }
    const auto status = soup_message_get_status(at->message.get());
    if (is_retryable_status(status) && may_retry(at))
    {
        at->answered = true;
        fail_attempt(at, routing::outcome::cancelled,
                     refusal_kind::upstream_failed);
        return;
    }
    if (stream_started_ && status != status_ok)
    {
        at->answered = true;
        fail_attempt(at, routing::outcome::cancelled,
                     refusal_kind::upstream_failed);
        return;
    }
    splitter_ = {};
    whole_.clear();
    read_more(at);
}

void proxy_session::read_more(const attempt_ptr& at)
{
    const auto left = latest_ - now();
    const bool streaming = request_.streamed;
    arm(streaming ? std::min(context_.options.progress_timeout, left) : left,
        at);
    g_input_stream_read_bytes_async(
        at->body.get(), read_size, G_PRIORITY_DEFAULT, at->cancel.get(),
        on_bytes_ready, new operation{shared_from_this(), at});
}

void proxy_session::on_bytes(const attempt_ptr& at, GBytes* bytes,
                             const GError* error)
{
    if (at->over)
        return;
    if (error != nullptr)
    {
        fail_attempt(at, routing::outcome::broken,
                     refusal_kind::upstream_failed);
        return;
    }
    gsize size = 0;
    const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &size));
    const auto status = soup_message_get_status(at->message.get());
    const bool streaming = request_.streamed && status == status_ok;
    if (size == 0)
    {
        if (streaming)
            on_stream_end(at);
        else
            on_whole_answer(at);
        return;
    }
    if (!at->answered)
    {
        at->answered = true;
        at->first_token_ms =
            std::max<std::uint16_t>(to_ms(now() - at->started), 1);
        context_.control.first_token(at->route);
    }
    if (streaming)
    {
        on_stream_bytes(at, {data, size});
        return;
    }
    whole_.append(data, size);
    if (whole_.size() > context_.options.max_answer_bytes)
    {
        fail_attempt(at, routing::outcome::cancelled,
                     refusal_kind::upstream_failed);
        return;
    }
    read_more(at);
}

void proxy_session::on_stream_bytes(const attempt_ptr& at,
                                    std::string_view bytes)
{
    splitter_.add(bytes);
    std::string out;
    bool done = false;
    while (auto event = splitter_.next())
        done = deliver_event(at, *event, out) || done;
    if (splitter_.buffered() > max_event_bytes)
    {
        fail_attempt(at, routing::outcome::cancelled,
                     refusal_kind::upstream_failed);
        return;
    }
    if (!out.empty())
    {
        start_stream(at);
        soup_message_body_append(
            soup_server_message_get_response_body(caller_.get()),
            SOUP_MEMORY_COPY, out.data(), out.size());
    }
    if (done)
    {
        end_attempt(at, routing::outcome::completed);
        end_stream();
        return;
    }
    if (out.empty())
    {
        read_more(at);
        return;
    }
    // The next read waits until the caller has taken this chunk, so memory per
    // stream stays bounded however slowly the caller reads.
    waits_for_caller_ = true;
    disarm();
    soup_server_message_unpause(caller_.get());
}

bool proxy_session::deliver_event(const attempt_ptr& /*at*/,
                                  const sse_event& event, std::string& out)
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
        context_.counters.first_token(request_.service, took);
        count_objective(objective::first_token,
                        took > request_.goals.first_token);
    }
    else
    {
        const auto gap = present - last_token_;
        context_.counters.between_tokens(request_.service, gap);
        count_objective(objective::between_tokens,
                        gap > request_.goals.between_tokens);
    }
    last_token_ = present;
    out += event.bytes;
    return false;
}

void proxy_session::on_stream_end(const attempt_ptr& at)
{
    // Only the end marker makes a stream complete.
    fail_attempt(at, routing::outcome::broken, refusal_kind::upstream_failed);
}

void proxy_session::on_whole_answer(const attempt_ptr& at)
{
    auto* headers = soup_message_get_response_headers(at->message.get());
    const auto status = soup_message_get_status(at->message.get());
    const auto type = content_type_of(headers);
    const auto length = soup_message_headers_get_content_length(headers);
    const bool has_length = soup_message_headers_get_encoding(headers) ==
                            SOUP_ENCODING_CONTENT_LENGTH;
    if (has_length && static_cast<std::size_t>(length) != whole_.size())
    {
        fail_attempt(at, routing::outcome::broken,
                     refusal_kind::upstream_failed);
        return;
    }
    finish_claim(at, status, type);
    end_attempt(at, routing::outcome::completed);
    set_common_headers(at->upstream_name);
    respond_whole(status, type, whole_);
}

void proxy_session::on_caller_ready()
{
    if (!waits_for_caller_)
        return;
    waits_for_caller_ = false;
    const auto at = current_;
    if (at && !at->over)
        read_more(at);
}

void proxy_session::end_attempt(const attempt_ptr& at, routing::outcome how)
{
    if (at->over && !at->has_permit)
        return;
    at->over = true;
    disarm();
    if (at->cancel && how != routing::outcome::completed)
        g_cancellable_cancel(at->cancel.get());
    if (!at->has_permit)
    {
        context_.control.end_route(context_.replies, at->route,
                                   {.how = routing::outcome::cancelled});
        return;
    }
    at->has_permit = false;
    const bool crashed = how == routing::outcome::broken && !at->answered;
    context_.control.end_route(
        context_.replies, at->route,
        {.how = how, .first_token_ms = at->first_token_ms, .crashed = crashed});
}

void proxy_session::fail_attempt(const attempt_ptr& at, routing::outcome how,
                                 refusal_kind kind)
{
    const bool retry = may_retry(at);
    end_attempt(at, how);
    if (how != routing::outcome::cancelled && how != routing::outcome::silent)
        failed_upstreams_.push_back(at->upstream);
    if (retry)
    {
        context_.counters.retried(name_in(routing::outcome_names, how));
        seek_upstream(true);
        return;
    }
    if (request_.key && claim_ != 0)
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
    if (!at->sent)
        return true;
    if (!request_.repeatable)
        return false;
    return !stream_started_ || events_have_ids_;
}

bool proxy_session::has_room_for_retry() const
{
    return latest_ - now() > least_retry_time;
}

void proxy_session::refuse(refusal_kind kind)
{
    context_.counters.refused(kind);
    unwatch_caller();
    if (claim_ != 0 && key_is_clear_)
        context_.control.release_claim(claim_);
    claim_ = 0;
    const auto& row = row_of(kind);
    const bool own_fault =
        row.status >= first_server_error || row.status == status_too_many;
    if (own_fault && !request_.service.empty())
        count_answer(false);
    counted_ = true;
    const auto body = problem_json(kind, execution(), request_id_);
    if (stream_started_)
    {
        // The status is out already, so the stream ends with an error event
        // and without the end marker.
        const auto event = "event: error\ndata: " + body + "\n\n";
        soup_message_body_append(
            soup_server_message_get_response_body(caller_.get()),
            SOUP_MEMORY_COPY, event.data(), event.size());
        end_stream();
        return;
    }
    if (row.retry_after_s != 0)
        soup_message_headers_replace(
            soup_server_message_get_response_headers(caller_.get()),
            "Retry-After", std::to_string(row.retry_after_s).c_str());
    respond_whole(row.status, "application/problem+json", body);
}

executed proxy_session::execution() const
{
    if (request_.key)
        return key_is_clear_ || request_.first_attempt ? executed::no
                                                       : executed::unknown;
    const bool sent = current_ && current_->sent;
    return sent || attempts_ > 1 ? executed::unknown : executed::no;
}

void proxy_session::respond_whole(unsigned status, const std::string& type,
                                  const std::string& body)
{
    unwatch_caller();
    if (responded_ || caller_gone_)
        return;
    responded_ = true;
    if (status < first_error_status)
        count_answer(now() - arrived_ <= request_.goals.answered_within);
    auto* message = caller_.get();
    soup_message_headers_replace(
        soup_server_message_get_response_headers(message), "X-Request-Id",
        request_id_.c_str());
    soup_server_message_set_status(message, status, nullptr);
    soup_server_message_set_response(message, type.c_str(), SOUP_MEMORY_COPY,
                                     body.data(), body.size());
    soup_server_message_unpause(message);
}

void proxy_session::start_stream(const attempt_ptr& at)
{
    if (stream_started_)
        return;
    stream_started_ = true;
    unwatch_caller();
    auto* message = caller_.get();
    auto* headers = soup_server_message_get_response_headers(message);
    set_common_headers(at->upstream_name);
    soup_message_headers_replace(headers, "X-Request-Id", request_id_.c_str());
    soup_message_headers_replace(headers, "Content-Type", "text/event-stream");
    soup_message_headers_replace(headers, "Cache-Control", "no-store");
    soup_message_headers_set_encoding(headers, SOUP_ENCODING_CHUNKED);
    soup_message_body_set_accumulate(
        soup_server_message_get_response_body(message), FALSE);
    soup_server_message_set_status(message, status_ok, nullptr);
}

void proxy_session::end_stream()
{
    stream_over_ = true;
    responded_ = true;
    count_answer(now() - arrived_ <= request_.goals.answered_within);
    soup_message_body_complete(
        soup_server_message_get_response_body(caller_.get()));
    soup_server_message_unpause(caller_.get());
}

void proxy_session::finish_claim(const attempt_ptr& at, unsigned status,
                                 const std::string& type)
{
    if (claim_ == 0)
        return;
    const bool fits = whole_.size() <= net::max_stored_body_bytes;
    context_.control.finish_claim(claim_,
                                  {.status = static_cast<std::uint16_t>(status),
                                   .complete = fits,
                                   .content_type = type.substr(0, 100),
                                   .body = fits ? whole_ : std::string{}});
    claim_ = 0;
    key_is_clear_ = !at->sent;
}

void proxy_session::set_common_headers(const std::string& upstream_name)
{
    soup_message_headers_replace(
        soup_server_message_get_response_headers(caller_.get()), "X-Upstream",
        upstream_name.c_str());
}

void proxy_session::count_answer(bool in_time)
{
    if (counted_ || request_.service.empty())
        return;
    counted_ = true;
    if (in_time)
        context_.counters.answered(request_.service, now() - arrived_);
    count_objective(objective::answered, !in_time);
}

void proxy_session::count_objective(objective goal, bool missed)
{
    context_.control.count_objective(
        {request_.service, request_.customer, goal}, request_.goals.share,
        missed);
}

void proxy_session::arm(duration delay, const attempt_ptr& at)
{
    disarm();
    timer_ = context_.loop.after(
        std::max(delay, duration{1ms}),
        [self = shared_from_this(), at]
        {
            self->timer_ = 0;
            if (at->over)
                return;
            const bool deadline = self->now() >= self->latest_;
            self->fail_attempt(at,
                               deadline ? routing::outcome::cancelled
                                        : routing::outcome::silent,
                               refusal_kind::upstream_silent);
        });
}

void proxy_session::disarm()
{
    if (timer_ != 0)
        context_.loop.cancel(std::exchange(timer_, 0));
}

void proxy_session::watch_caller()
{
    auto* socket = soup_server_message_get_socket(caller_.get());
    if (caller_watch_ != nullptr || socket == nullptr)
        return;
    // The library does not look at the connection while a message is paused.
    caller_watch_ = g_socket_create_source(socket, G_IO_IN, nullptr);
    g_source_set_callback(caller_watch_,
                          reinterpret_cast<GSourceFunc>(
                              reinterpret_cast<void (*)()>(on_caller_readable)),
                          this, nullptr);
    g_source_attach(caller_watch_, context_.loop.context());
}

void proxy_session::unwatch_caller()
{
    if (caller_watch_ == nullptr)
        return;
    g_source_destroy(caller_watch_);
    g_source_unref(caller_watch_);
    caller_watch_ = nullptr;
}

void proxy_session::caller_left()
{
    if (caller_gone_)
        return;
    caller_gone_ = true;
    unwatch_caller();
    const auto at = current_;
    // A call that may not be repeated goes on, so that its answer is recorded
    // and the caller can ask for it again.
    const bool runs_on = request_.key && at && at->sent;
    if (at && !at->over && !runs_on)
    {
        if (claim_ != 0)
            context_.control.release_claim(std::exchange(claim_, 0));
        end_attempt(at, routing::outcome::cancelled);
    }
}

time_point proxy_session::now() const
{
    return net::monotonic_now();
}

void proxy_session::on_headers_ready(GObject* source, GAsyncResult* result,
                                     gpointer data)
{
    const std::unique_ptr<operation> self{static_cast<operation*>(data)};
    GError* raw_error = nullptr;
    self->at->body.reset(
        soup_session_send_finish(SOUP_SESSION(source), result, &raw_error));
    const net::error_ptr error{raw_error};
    self->session->on_reply_headers(self->at, error.get());
}

void proxy_session::on_bytes_ready(GObject* source, GAsyncResult* result,
                                   gpointer data)
{
    const std::unique_ptr<operation> self{static_cast<operation*>(data)};
    GError* raw_error = nullptr;
    const net::bytes_ptr bytes{g_input_stream_read_bytes_finish(
        G_INPUT_STREAM(source), result, &raw_error)};
    const net::error_ptr error{raw_error};
    self->session->on_bytes(self->at, bytes.get(), error.get());
}

void proxy_session::on_starting(SoupMessage* /*message*/, gpointer data)
{
    static_cast<attempt*>(data)->sent = true;
}

void proxy_session::on_network_event(SoupMessage* /*message*/,
                                     GSocketClientEvent event,
                                     GIOStream* stream, gpointer /*data*/)
{
    if (event != G_SOCKET_CLIENT_CONNECTED || !G_IS_SOCKET_CONNECTION(stream))
        return;
    auto* socket = g_socket_connection_get_socket(G_SOCKET_CONNECTION(stream));
    g_socket_set_keepalive(socket, TRUE);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s,
                        nullptr);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL,
                        keepalive_interval_s, nullptr);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes,
                        nullptr);
    g_socket_set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, user_timeout_ms,
                        nullptr);
}

void proxy_session::on_chunk_written(SoupServerMessage* /*message*/,
                                     gpointer data)
{
    const auto self = static_cast<proxy_session*>(data)->shared_from_this();
    self->on_caller_ready();
}

void proxy_session::on_finished(SoupServerMessage* message, gpointer data)
{
    const auto self = static_cast<proxy_session*>(data)->shared_from_this();
    g_signal_handler_disconnect(message, self->finished_handler_);
    g_signal_handler_disconnect(message, self->chunk_handler_);
    if (!self->responded_)
        self->caller_left();
    self->unwatch_caller();
    self->held_.reset();
}

gboolean proxy_session::on_caller_readable(GSocket* socket,
                                           GIOCondition /*condition*/,
                                           gpointer data)
{
    const auto self = static_cast<proxy_session*>(data)->shared_from_this();
    char byte = 0;
    const auto size =
        recv(g_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (size > 0)
    {
        // The next request on the same connection waits its turn.
        self->unwatch_caller();
        return G_SOURCE_REMOVE;
    }
    if (size == 0)
    {
        self->caller_left();
        // The status reaches nobody; writing it lets the library find the
        // connection closed and finish the message.
        soup_server_message_set_status(
            self->caller_.get(), row_of(refusal_kind::leaving).status, nullptr);
        soup_server_message_unpause(self->caller_.get());
        return G_SOURCE_REMOVE;
    }
    return G_SOURCE_CONTINUE;
}

} // namespace baobabloft::router
