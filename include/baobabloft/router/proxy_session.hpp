// One caller's request from its arrival to the last byte of its answer. A
// session keeps itself alive until the request is over.
#pragma once

#include "baobabloft/net/restartable_timer.hpp"
#include "baobabloft/router/request.hpp"
#include "baobabloft/router/sse.hpp"
#include "baobabloft/router/worker.hpp"

#include <memory>
#include <string>
#include <vector>

namespace baobabloft::router
{

/// Takes a request through claim, permit, upstream and answer.
class proxy_session : public http::caller_session,
                      public std::enable_shared_from_this<proxy_session>
{
public:
    using caller_ptr = http::caller_table::caller_ptr;

    /// Serves `message`, which came on `caller`.
    static std::shared_ptr<proxy_session> start(worker_context& context,
                                                const caller_ptr& caller,
                                                http::request&& message);

    proxy_session(worker_context& context, caller_ptr caller,
                  http::request&& message);
    ~proxy_session() override;

    void caller_gone() override;
    void caller_drained() override;

private:
    /// One try at one upstream.
    struct attempt
    {
        unsigned number = 0;
        operation_id route = 0;
        bool has_permit = false;
        upstream_id upstream{};
        std::string upstream_name;
        std::string address;
        std::string request_id;
        std::shared_ptr<http::upstream_channel> channel;
        http::response_head head;
        time_point started;
        std::uint16_t first_token_ms = 0;
        /// A byte of the request left the process; known once the attempt let
        /// go of its connection.
        bool sent = false;
        /// The upstream sent a byte of its answer.
        bool answered = false;
        /// Set once the attempt is over, to ignore what arrives late.
        bool over = false;
    };

    using attempt_ptr = std::shared_ptr<attempt>;

    void begin();
    void begin_claim();
    void on_claim(const ledger::claim_decision& decision);
    void seek_upstream(bool is_retry);
    void on_route(const attempt_ptr& at, const route_response& answer);
    void send(const attempt_ptr& at);
    [[nodiscard]] http::request_head upstream_head(const attempt_ptr& at) const;

    void on_head(const attempt_ptr& at, const http::response_head& head);
    void on_body(const attempt_ptr& at, std::string_view bytes);
    void on_complete(const attempt_ptr& at);
    void on_failure(const attempt_ptr& at, http::exchange_failure why);
    void on_timeout(const attempt_ptr& at);

    void on_stream_bytes(const attempt_ptr& at, std::string_view bytes);
    void on_whole_answer(const attempt_ptr& at);
    /// Adds to `out` what the caller has not got of an event; returns true for
    /// the end marker.
    bool deliver_event(const sse_event& event, std::string& out);

    [[nodiscard]] bool is_streaming(const attempt_ptr& at) const;
    [[nodiscard]] static bool was_sent(const attempt_ptr& at);
    /// Ends the attempt and returns its permit.
    void end_attempt(const attempt_ptr& at, routing::outcome how);
    /// Lets go of the attempt's connection.
    void release_channel(const attempt_ptr& at, routing::outcome how);
    /// Ends a failed attempt, then retries or refuses.
    void fail_attempt(const attempt_ptr& at, routing::outcome how,
                      refusal_kind kind);
    [[nodiscard]] bool may_retry(const attempt_ptr& at) const;
    [[nodiscard]] bool has_room_for_retry() const;

    void refuse(refusal_kind kind);
    [[nodiscard]] executed execution() const;
    void respond_whole(unsigned status, std::string_view type,
                       std::string body);
    void start_stream(const attempt_ptr& at);
    void end_stream();
    void finish_claim(const attempt_ptr& at, std::string_view type);
    void count_answer(bool in_time);
    void record_objective(objective goal, bool missed);
    /// Ends the session once nothing is left to do.
    void finish();

    void arm(duration delay, const attempt_ptr& at);
    /// Arms the timer for the next byte, which a stream owes within `longest`.
    void arm_for_silence(duration longest, const attempt_ptr& at);
    void arm_for_progress(const attempt_ptr& at);
    [[nodiscard]] time_point now() const;

    worker_context& context_;
    caller_ptr caller_;
    http::request message_;
    /// Headers of the answer that the session adds.
    http::fields added_;
    routed_request request_;
    std::string request_id_;
    time_point arrived_;
    time_point latest_;
    attempt_ptr current_;
    std::vector<upstream_id> failed_upstreams_;
    unsigned attempts_ = 0;
    operation_id claim_ = 0;
    std::uint64_t fencing_ = 0;
    /// The ledger confirmed that no attempt with this key has run.
    bool key_is_clear_ = false;
    sse_splitter splitter_;
    std::string whole_;
    std::uint64_t last_event_ = 0;
    bool events_have_ids_ = true;
    bool stream_started_ = false;
    time_point last_token_;
    net::restartable_timer timer_;
    bool waits_for_caller_ = false;
    bool responded_ = false;
    bool caller_gone_ = false;
    bool counted_ = false;
    /// Holds the session until the request is over.
    std::shared_ptr<proxy_session> held_;
};

} // namespace baobabloft::router
