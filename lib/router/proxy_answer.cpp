// Responses of a proxy session to its caller: buffered or streamed responses of
// upstreams, and refusals.
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
constexpr std::size_t max_stored_content_type = 100;

} // namespace

void proxy_session::refuse(refusal_kind kind)
{
    const auto self = shared_from_this();
    context_.counters.record_refusal(kind);
    if (claim_id_ != 0 && execution_.evidence == key_evidence::claimed)
        context_.control.release_claim(claim_id_);
    claim_id_ = 0;
    const auto& row = refusal_row_of(kind);
    const bool counts_as_missed =
        row.status >= first_server_error || row.status == status_too_many;
    if (counts_as_missed && !request_.service.empty())
        record_response(false);
    is_outcome_recorded_ = true;
    auto body = problem_json(kind, execution(), request_id_);
    if (has_stream_started_)
    {
        // The status line was sent before, so the failure is reported by an
        // error event, and the stream ends without the end marker.
        if (!is_caller_disconnected_)
            caller_->send_body_part("event: error\ndata: " + body + "\n\n");
        end_stream();
        return;
    }
    if (row.retry_after_s != 0)
        added_headers_.set("Retry-After", std::to_string(row.retry_after_s));
    send_response(row.status, "application/problem+json", std::move(body));
}

executed proxy_session::execution() const
{
    auto known = execution_;
    // Only a repeatable request is sent again after a byte of it was sent.
    known.sent = (current_attempt_ && was_sent(current_attempt_)) ||
                 (request_.repeatable && attempt_count_ > 1);
    return execution_status(known);
}

void proxy_session::send_response(unsigned status, std::string_view type,
                                  std::string body)
{
    if (has_responded_)
        return;
    has_responded_ = true;
    if (status < first_error_status)
        record_response(now() - arrived_at_ <=
                        request_.objectives.answered_within);
    if (!is_caller_disconnected_)
    {
        http::response out;
        out.result(status);
        static_cast<http::fields&>(out) = added_headers_;
        out.set("X-Request-Id", request_id_);
        out.set("Content-Type", http::beast_view(type));
        out.body() = std::move(body);
        caller_->respond(net::boot_now(), std::move(out),
                         !context_.is_leaving());
    }
    finish();
}

void proxy_session::start_stream(const attempt_ptr& attempt)
{
    if (has_stream_started_)
        return;
    has_stream_started_ = true;
    http::response_head head;
    head.result(status_ok);
    static_cast<http::fields&>(head) = added_headers_;
    head.set("X-Upstream", attempt->upstream_name);
    head.set("X-Request-Id", request_id_);
    head.set("Content-Type", "text/event-stream");
    head.set("Cache-Control", "no-store");
    caller_->start_streamed_response(std::move(head), !context_.is_leaving());
}

void proxy_session::end_stream()
{
    has_responded_ = true;
    record_response(now() - arrived_at_ <= request_.objectives.answered_within);
    if (!is_caller_disconnected_)
        caller_->end_streamed_response(net::boot_now());
    finish();
}

void proxy_session::finish_claim(const attempt_ptr& attempt,
                                 std::string_view type)
{
    if (claim_id_ == 0)
        return;
    const bool fits = buffered_body_.size() <= net::max_stored_body_bytes;
    context_.control.finish_claim(
        claim_id_,
        {.status = static_cast<std::uint16_t>(attempt->head.result_int()),
         .complete = fits,
         .content_type = std::string{type.substr(0, max_stored_content_type)},
         .body = fits ? buffered_body_ : std::string{}});
    claim_id_ = 0;
}

void proxy_session::record_response(bool in_time)
{
    if (is_outcome_recorded_ || request_.service.empty())
        return;
    is_outcome_recorded_ = true;
    if (in_time)
        context_.counters.record_response(request_.service,
                                          now() - arrived_at_);
    record_objective(objective::answered, !in_time);
}

void proxy_session::record_objective(objective kind, bool missed)
{
    context_.control.record_objective(
        {request_.service, request_.customer, kind},
        request_.objectives.target_share, missed);
}

} // namespace baobabloft::router
