// What a session answers: upstreams' answers, whole or as a stream, and
// refusals of its own.
#include "baobabloft/router/proxy_session.hpp"

namespace baobabloft::router
{

namespace
{

constexpr unsigned status_ok = 200;
constexpr unsigned first_error_status = 400;
constexpr unsigned first_server_error = 500;
constexpr unsigned status_too_many = 429;
/// Longest content type that the ledger stores.
constexpr std::size_t max_stored_type = 100;

} // namespace

void proxy_session::refuse(refusal_kind kind)
{
    const auto self = shared_from_this();
    context_.counters.record_refusal(kind);
    if (claim_ != 0 && key_is_clear_)
        context_.control.release_claim(claim_);
    claim_ = 0;
    const auto& row = refusal_row_of(kind);
    const bool own_fault =
        row.status >= first_server_error || row.status == status_too_many;
    if (own_fault && !request_.service.empty())
        count_answer(false);
    counted_ = true;
    auto body = problem_json(kind, execution(), request_id_);
    if (stream_started_)
    {
        // The status is out already, so the stream ends with an error event
        // and without the end marker.
        if (!caller_gone_)
            caller_->send_part("event: error\ndata: " + body + "\n\n");
        end_stream();
        return;
    }
    if (row.retry_after_s != 0)
        added_.set("Retry-After", std::to_string(row.retry_after_s));
    respond_whole(row.status, "application/problem+json", std::move(body));
}

executed proxy_session::execution() const
{
    if (request_.idempotency_key)
        return key_is_clear_ || request_.first_attempt ? executed::no
                                                       : executed::unknown;
    const bool sent = current_ && was_sent(current_);
    return sent || attempts_ > 1 ? executed::unknown : executed::no;
}

void proxy_session::respond_whole(unsigned status, std::string_view type,
                                  std::string body)
{
    if (responded_)
        return;
    responded_ = true;
    if (status < first_error_status)
        count_answer(now() - arrived_ <= request_.goals.answered_within);
    if (!caller_gone_)
    {
        http::response out;
        out.result(status);
        static_cast<http::fields&>(out) = added_;
        out.set("X-Request-Id", request_id_);
        out.set("Content-Type", http::beast_view(type));
        out.body() = std::move(body);
        caller_->respond(net::boot_now(), std::move(out),
                         !context_.is_leaving());
    }
    finish();
}

void proxy_session::start_stream(const attempt_ptr& at)
{
    if (stream_started_)
        return;
    stream_started_ = true;
    http::response_head head;
    head.result(status_ok);
    static_cast<http::fields&>(head) = added_;
    head.set("X-Upstream", at->upstream_name);
    head.set("X-Request-Id", request_id_);
    head.set("Content-Type", "text/event-stream");
    head.set("Cache-Control", "no-store");
    caller_->start_stream(std::move(head), !context_.is_leaving());
}

void proxy_session::end_stream()
{
    responded_ = true;
    count_answer(now() - arrived_ <= request_.goals.answered_within);
    if (!caller_gone_)
        caller_->end_stream(net::boot_now());
    finish();
}

void proxy_session::finish_claim(const attempt_ptr& at, std::string_view type)
{
    if (claim_ == 0)
        return;
    const bool fits = whole_.size() <= net::max_stored_body_bytes;
    context_.control.finish_claim(
        claim_, {.status = static_cast<std::uint16_t>(at->head.result_int()),
                 .complete = fits,
                 .content_type = std::string{type.substr(0, max_stored_type)},
                 .body = fits ? whole_ : std::string{}});
    claim_ = 0;
    key_is_clear_ = !was_sent(at);
}

void proxy_session::count_answer(bool in_time)
{
    if (counted_ || request_.service.empty())
        return;
    counted_ = true;
    if (in_time)
        context_.counters.record_response(request_.service, now() - arrived_);
    record_objective(objective::answered, !in_time);
}

void proxy_session::record_objective(objective goal, bool missed)
{
    context_.control.record_objective(
        {request_.service, request_.customer, goal}, request_.goals.share,
        missed);
}

} // namespace baobabloft::router
