// Proxies one caller's request from its arrival to the last byte of the
// response. A session keeps itself alive until then.
#pragma once

#include "baobabloft/http/read_pace.hpp"
#include "baobabloft/net/restartable_timer.hpp"
#include "baobabloft/router/execution.hpp"
#include "baobabloft/router/request.hpp"
#include "baobabloft/router/sse.hpp"
#include "baobabloft/router/worker.hpp"

#include <memory>
#include <string>
#include <vector>

namespace baobabloft::router
{

/// Handles one request: claims its idempotency key, requests a permit, sends
/// the request to the upstream, retries, and returns the response to the
/// caller.
class proxy_session : public http::caller_session,
                      public std::enable_shared_from_this<proxy_session>
{
public:
    using caller_ptr = http::caller_table::caller_ptr;

    /// Starts to serve `message`, received on the connection `caller`.
    static std::shared_ptr<proxy_session> start(worker_context& context,
                                                const caller_ptr& caller,
                                                http::request&& message);

    proxy_session(worker_context& context, caller_ptr caller,
                  http::request&& message);
    ~proxy_session() override;

    void on_caller_disconnected() override;
    void on_caller_drained() override;
    void limit_deadline(time_point now, time_point last) override;
    [[nodiscard]] http::buffer_holder held_response() const override;
    void release_response() override;

private:
    /// One attempt to send the request to an upstream.
    struct upstream_attempt
    {
        unsigned number = 0;
        operation_id route_id = 0;
        bool has_permit = false;
        upstream_id upstream{};
        std::string upstream_name;
        std::string address;
        std::string request_id;
        std::shared_ptr<http::upstream_channel> channel;
        http::response_head head;
        time_point started_at;
        std::uint16_t first_token_ms = 0;
        /// True if a byte of the request left the process. Set when the
        /// attempt releases its connection; see was_sent() for the time before.
        bool request_sent = false;
        /// True once the upstream sent a byte of its response body, or a head
        /// that the session rejected.
        bool response_started = false;
        /// True once the attempt has ended; later callbacks are ignored.
        bool over = false;
    };

    using attempt_ptr = std::shared_ptr<upstream_attempt>;

    void process_request();
    void begin_claim();
    void on_claim(const ledger::claim_decision& decision);
    void request_route(bool is_retry);
    void on_route(const attempt_ptr& attempt, const route_response& response);
    void send(const attempt_ptr& attempt);
    [[nodiscard]] http::request_head
    upstream_head(const attempt_ptr& attempt) const;

    void on_head(const attempt_ptr& attempt, const http::response_head& head);
    void on_body(const attempt_ptr& attempt, std::string_view bytes);
    void on_complete(const attempt_ptr& attempt);
    void on_failure(const attempt_ptr& attempt, http::exchange_failure cause);
    void on_timeout(const attempt_ptr& attempt);

    void on_stream_bytes(const attempt_ptr& attempt, std::string_view bytes);
    void deliver_buffered_response(const attempt_ptr& attempt);
    /// Appends the event to `out` unless the caller has received it before.
    /// Returns true for the end marker.
    bool deliver_event(const sse_event& event, std::string& out);

    [[nodiscard]] bool is_streaming(const attempt_ptr& attempt) const;
    /// Returns true if a byte of the request left the process.
    [[nodiscard]] static bool was_sent(const attempt_ptr& attempt);
    /// Ends the attempt and releases its permit, or withdraws its pending
    /// permit request.
    void end_attempt(const attempt_ptr& attempt, routing::outcome outcome);
    /// Returns the attempt's connection to the pool if the response is
    /// complete, else closes it.
    void release_channel(const attempt_ptr& attempt, routing::outcome outcome);
    /// Stops reading for a while if the response costs too much time.
    void keep_pace(const attempt_ptr& attempt, std::size_t pieces,
                   std::size_t bytes);
    /// Reads from the upstream unless that is paused.
    void update_reading(const attempt_ptr& attempt);
    /// Ends a failed attempt, then retries or refuses the request.
    void fail_attempt(const attempt_ptr& attempt, routing::outcome outcome,
                      refusal_kind kind);
    [[nodiscard]] bool can_retry(const attempt_ptr& attempt) const;
    [[nodiscard]] bool has_time_for_retry() const;

    void refuse(refusal_kind kind);
    [[nodiscard]] executed execution() const;
    void send_response(unsigned status, std::string_view type,
                       std::string body);
    void start_stream(const attempt_ptr& attempt);
    void end_stream();
    void finish_claim(const attempt_ptr& attempt, std::string_view type);
    void record_response(bool in_time);
    void record_objective(objective kind, bool missed);
    /// Releases the session's reference to itself.
    void finish();

    void arm_timeout(duration delay, const attempt_ptr& attempt);
    /// Arms the timer for the next byte: a stream times out after `limit`
    /// without data, any other response at the deadline.
    void arm_inactivity_timeout(duration limit, const attempt_ptr& attempt);
    void arm_progress_timeout(const attempt_ptr& attempt);
    [[nodiscard]] time_point now() const;

    worker_context& context_;
    caller_ptr caller_;
    http::request message_;
    /// Headers that the session adds to the response.
    http::fields added_headers_;
    routed_request request_;
    std::string request_id_;
    time_point arrived_at_;
    time_point deadline_;
    attempt_ptr current_attempt_;
    std::vector<upstream_id> failed_upstreams_;
    unsigned attempt_count_ = 0;
    operation_id claim_id_ = 0;
    std::uint64_t fencing_number_ = 0;
    /// What is known about the execution of the call; `sent` is unused.
    execution_knowledge execution_;
    sse_splitter splitter_;
    std::string buffered_body_;
    std::uint64_t last_event_id_ = 0;
    bool events_have_ids_ = true;
    bool has_stream_started_ = false;
    time_point last_token_at_;
    net::restartable_timer timer_;
    bool is_paused_for_caller_ = false;
    /// Reading from the upstream is paused, since the response costs too much
    /// time.
    bool is_paused_for_pace_ = false;
    http::read_pace pace_;
    net::restartable_timer pace_timer_;
    bool has_responded_ = false;
    bool is_caller_disconnected_ = false;
    bool is_outcome_recorded_ = false;
    /// Keeps the session alive until finish().
    std::shared_ptr<proxy_session> self_reference_;
};

} // namespace baobabloft::router
