// One caller's request: admission, attempts at upstreams, and the answer,
// whole or event by event.
#pragma once

#include "baobabloft/dispatch/retry_rules.hpp"
#include "baobabloft/net/restartable_timer.hpp"
#include "baobabloft/relay/relay.hpp"
#include "baobabloft/router/refusal.hpp"
#include "baobabloft/router/sse.hpp"

namespace baobabloft::relay
{

/// Keeps itself alive until the request is over.
class relay_session : public http::caller_session,
                      public std::enable_shared_from_this<relay_session>
{
public:
    /// Serves `message`, which came on `caller`.
    static std::shared_ptr<relay_session>
    start(relay_context& context, std::shared_ptr<http::caller_channel> caller,
          http::request&& request);

    relay_session(relay_context& context,
                  std::shared_ptr<http::caller_channel> caller,
                  http::request&& request);
    ~relay_session() override;

    void caller_gone() override;
    void caller_drained() override;

private:
    struct upstream_attempt
    {
        std::string upstream;
        /// Upstream from which it may copy the prefix; empty if none.
        std::string prefix_source;
        std::shared_ptr<http::upstream_channel> channel;
        dispatch::selection chosen;
        time_point started;
        http::response_head head;
        std::string body;
        bool is_stream = false;
        bool over = false;
    };

    using attempt_ptr = std::shared_ptr<upstream_attempt>;

    void begin();
    [[nodiscard]] bool admit();
    void set_deadline(time_point now);
    void choose_service();

    void try_next_upstream();
    void start_attempt(const directory::known_upstream& upstream,
                       const dispatch::selection& chosen);
    http::request_head upstream_head(const directory::upstream_record& target,
                                     const dispatch::selection& chosen,
                                     time_point now) const;

    void on_head(const attempt_ptr& attempt, const http::response_head& head);
    void on_body(const attempt_ptr& attempt, std::string_view bytes);
    void on_complete(const attempt_ptr& attempt);
    void on_failure(const attempt_ptr& attempt, http::exchange_failure why);
    void on_timeout(const attempt_ptr& attempt);

    void deliver_events(const attempt_ptr& attempt);
    /// Returns false if the event does not follow the last one.
    bool deliver_event(const attempt_ptr& attempt,
                       const router::sse_event& event, std::string& out);
    void start_stream(const attempt_ptr& attempt);
    void finish_stream(const attempt_ptr& attempt);
    void finish_buffered(const attempt_ptr& attempt);
    [[nodiscard]] bool is_genuine(const attempt_ptr& attempt) const;
    [[nodiscard]] bool says_not_run(const attempt_ptr& attempt) const;

    void end_attempt(const attempt_ptr& attempt, dispatch::attempt_end how,
                     std::string_view why);
    void close_attempt(const attempt_ptr& attempt);
    void forward_response(const attempt_ptr& attempt);

    void refuse(router::refusal_kind kind, std::string_view why);
    void fail(router::refusal_kind kind, std::string_view why);
    void respond_with_problem(router::refusal_kind kind, router::executed ran,
                              std::optional<duration> retry_after);
    void finish(std::string_view outcome);

    void arm_attempt_timer(const attempt_ptr& attempt);
    [[nodiscard]] duration attempt_timeout(time_point now) const;
    [[nodiscard]] std::uint32_t urgency() const;

    relay_context& context_;
    std::shared_ptr<http::caller_channel> caller_;
    http::request request_;
    std::string request_id_;
    directory::config_snapshot config_;
    const directory::route* route_ = nullptr;
    const directory::routed_customer* customer_ = nullptr;
    const directory::routed_service* service_ = nullptr;
    std::optional<std::uint64_t> affinity_;
    std::uint32_t shared_prefix_tokens_ = 0;
    /// Path, customer and body; survives a new request id.
    fingerprint fingerprint_{};
    time_point arrived_at_;
    time_point deadline_;
    dispatch::attempt_history history_;
    std::uint32_t upstream_arrivals_ = 0;
    std::vector<std::string> tried_upstreams_;
    attempt_ptr current_attempt_;
    net::restartable_timer attempt_timer_;
    router::sse_splitter event_splitter_;
    std::optional<std::uint64_t> last_event_id_;
    time_point last_event_at_;
    bool stream_started_ = false;
    bool finished_ = false;
    std::shared_ptr<relay_session> self_;
};

} // namespace baobabloft::relay
