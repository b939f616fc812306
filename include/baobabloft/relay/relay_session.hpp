// Serves one request of a caller: admission, attempts at upstreams, and the
// response, either buffered or streamed event by event.
#pragma once

#include "baobabloft/dispatch/run_evidence.hpp"
#include "baobabloft/http/read_pace.hpp"
#include "baobabloft/net/restartable_timer.hpp"
#include "baobabloft/relay/relay.hpp"
#include "baobabloft/router/refusal.hpp"
#include "baobabloft/router/sse.hpp"

namespace baobabloft::relay
{

/// One request in progress. Keeps itself alive until the request has ended.
class relay_session : public http::caller_session,
                      public std::enable_shared_from_this<relay_session>
{
public:
    /// Creates a session that serves `request`, received on `caller`.
    static std::shared_ptr<relay_session>
    start(relay_context& context, std::shared_ptr<http::caller_channel> caller,
          http::request&& request);

    relay_session(relay_context& context,
                  std::shared_ptr<http::caller_channel> caller,
                  http::request&& request);
    ~relay_session() override;

    void on_caller_disconnected() override;
    void on_caller_drained() override;
    void limit_deadline(time_point now, time_point last) override;
    [[nodiscard]] http::buffer_holder held_response() const override;
    void release_response() override;

private:
    /// One attempt to run the request at an upstream.
    struct upstream_attempt
    {
        /// Id of the upstream.
        std::string upstream;
        /// Id of the upstream from which `upstream` may copy the cached
        /// prefix; empty if none.
        std::string prefix_source;
        std::shared_ptr<http::upstream_channel> channel;
        dispatch::selection chosen;
        /// The upstream is of the target version of a roll-out.
        bool is_target_version = false;
        time_point started;
        /// Time from the start to the first content of the response.
        std::optional<duration> first_content_after;
        http::response_head head;
        bool has_head = false;
        std::string body;
        /// Events received with content.
        std::uint32_t events = 0;
        /// The response has gone on for so long that the request no longer
        /// counts as a possible cause of a crash.
        bool is_under_way = false;
        /// The response is forwarded event by event as it arrives.
        bool is_stream = false;
        /// The time to its first byte counts for the route's distribution, and
        /// is not recorded yet.
        bool is_timed = false;
        /// No first byte has arrived within the time that is usual for the
        /// route.
        bool is_slow = false;
        /// The attempt has ended; later callbacks of it are ignored.
        bool over = false;
    };

    using attempt_ptr = std::shared_ptr<upstream_attempt>;

    /// Where and how far an attempt's request was sent, and what shows whether
    /// it ran.
    struct attempt_trace
    {
        /// As upstream_channel::serial() and exchange_count(); 0 if there was
        /// no connection.
        std::uint64_t connection = 0;
        std::uint32_t exchange = 0;
        dispatch::run_evidence evidence;
    };

    void begin();
    /// Finds the route and the customer. Refuses the request and returns false
    /// if it may not be served.
    [[nodiscard]] bool admit();
    /// Sets the deadline from the route's timeout and the caller's header,
    /// whichever is shorter.
    void set_deadline(time_point now);
    /// Reads the prompt parts and draws a service of the route by weight;
    /// leaves `service_` null if there is none.
    void choose_service();

    /// Runs the request if a judge of its features in quarantine permits it as
    /// a trial, or else refuses it.
    void request_trial();
    /// Returns true if the request must not be sent again, since it has a
    /// feature in quarantine.
    [[nodiscard]] bool is_quarantined(time_point now) const;
    /// Records that the request ended well.
    void record_success(const attempt_ptr& attempt);
    /// Records that the response shows that the request crashes no upstream.
    void record_sound_features(const attempt_ptr& attempt);

    /// Starts an attempt at the upstream that the selector chooses. If there is
    /// no upstream or retry budget left, tries again later if a response has
    /// begun, or else ends the request.
    void try_next_upstream();
    [[nodiscard]] dispatch::unplaced_request as_unplaced() const;
    /// Starts the next attempt of a request that did not run once an upstream
    /// may have room. Returns false if the request must not wait.
    [[nodiscard]] bool wait_for_room();
    /// Starts the next attempt after a pause, at any upstream.
    void try_later(std::string_view reason);
    /// Takes a repeat from the retry budget if the next attempt needs one.
    /// Returns false if the budget is used up.
    bool take_repeat(time_point now);
    /// Chooses an upstream of a version that may get the request.
    [[nodiscard]] dispatch::selection choose_upstream(time_point now);
    [[nodiscard]] dispatch::upstream_query
    make_query(std::span<const std::string> excluded_ids) const;
    /// Records what the end of an attempt tells about its upstream's version.
    void record_version_outcome(const attempt_ptr& attempt, bool failed);
    void start_attempt(const directory::known_upstream& upstream,
                       const dispatch::selection& chosen);
    /// Sends the request as `attempt`, which is new.
    void send_attempt(const attempt_ptr& attempt,
                      const directory::known_upstream& upstream,
                      const dispatch::selection& chosen);
    http::request_head upstream_head(const directory::upstream_record& target,
                                     const dispatch::selection& chosen,
                                     time_point now) const;

    /// Schedules a hedge for the time at which the request's first attempt is
    /// slow for its route.
    void arm_hedge_timer(const attempt_ptr& attempt);
    /// Starts a hedge if the request, the service and the budget permit one.
    void on_slow(const attempt_ptr& attempt);
    /// Returns true if the request may run at a second upstream at once.
    [[nodiscard]] bool may_hedge(time_point now) const;
    /// Records the time to the first byte of a response.
    void record_first_byte(const attempt_ptr& attempt);
    void on_hedge_body(const attempt_ptr& attempt, std::string_view bytes);
    void on_hedge_complete(const attempt_ptr& attempt);
    /// Makes the hedge the current attempt, and cancels the former one unless
    /// it has ended.
    void adopt_hedge(dispatch::hedge_outcome outcome);
    /// Cancels the hedge if there is one.
    void cancel_hedge();
    /// Ends an attempt whose response is no longer needed. That is no failure.
    void cancel_attempt(const attempt_ptr& attempt);
    /// Records what became of the hedge, and forgets it.
    void record_hedge_outcome(dispatch::hedge_outcome outcome);

    void on_head(const attempt_ptr& attempt, const http::response_head& head);
    void on_body(const attempt_ptr& attempt, std::string_view bytes);
    void on_complete(const attempt_ptr& attempt);
    void on_failure(const attempt_ptr& attempt, http::exchange_failure reason);
    void on_timeout(const attempt_ptr& attempt);

    /// Forwards the complete events received so far, and returns their number.
    std::size_t deliver_events(const attempt_ptr& attempt);
    /// Stops reading for a while if the response costs too much time.
    void keep_pace(const attempt_ptr& attempt, std::size_t pieces,
                   std::size_t bytes);
    /// Reads from the upstream unless that is paused.
    void update_reading(const attempt_ptr& attempt);
    /// Appends the event to `out`, unless the caller already has it. Returns
    /// false if its id does not follow that of the last event or is missing.
    bool deliver_event(const attempt_ptr& attempt,
                       const router::sse_event& event, std::string& out);
    void start_stream(const attempt_ptr& attempt);
    void finish_stream(const attempt_ptr& attempt);
    /// Evaluates a response that was received in full.
    void finish_buffered(const attempt_ptr& attempt);
    /// Returns true if the response may be used: its status reports no success,
    /// or it is signed by an upstream, carries the id of this request and has
    /// no content encoding.
    [[nodiscard]] bool is_genuine(const attempt_ptr& attempt) const;
    /// Returns true if the response repeats the id of this request, which has
    /// one.
    [[nodiscard]] bool names_request(const attempt_ptr& attempt) const;
    /// Records that the upstream leaves, or asks for a pause, if its response
    /// says so.
    void record_announcements(const attempt_ptr& attempt);
    /// Records whether the upstream states a limit on its request rate.
    void record_rate_limit(const attempt_ptr& attempt);
    /// Returns true if the upstream states that it did not run the request.
    [[nodiscard]] bool reports_not_run(const attempt_ptr& attempt) const;

    /// Records how an attempt ended, as far as its evidence supports
    /// `reported_end`, and takes the next step of the request.
    void end_attempt(const attempt_ptr& attempt,
                     dispatch::attempt_end reported_end,
                     std::string_view reason);
    /// Logs how an attempt ended, and what shows whether the request ran.
    void log_attempt_end(const attempt_ptr& attempt, const attempt_trace& trace,
                         dispatch::attempt_end end, dispatch::next_step step,
                         std::string_view reason) const;
    /// Returns where and how far the attempt's request was sent, and what shows
    /// whether it ran.
    [[nodiscard]] attempt_trace trace_of(const attempt_ptr& attempt) const;
    /// Returns false only if the request cannot have run and is not on its way
    /// to an upstream.
    [[nodiscard]] bool may_have_run() const;
    /// Releases the attempt's connection.
    void release_attempt(const attempt_ptr& attempt);
    /// Releases the connection of the current attempt and stops its timer.
    void close_attempt(const attempt_ptr& attempt);
    void forward_response(const attempt_ptr& attempt);

    /// Returns when the caller of a request refused as `kind` may return.
    [[nodiscard]] dispatch::planned_return
    plan_return(router::refusal_kind kind, time_point now);
    /// Ends a request as `kind` if it did not run and will not, and as
    /// `kind_if_run` if it may have run.
    void refuse(router::refusal_kind kind, std::string_view reason,
                router::refusal_kind kind_if_run =
                    router::refusal_kind::upstream_failed);
    /// Ends a request that may have run.
    void fail(router::refusal_kind kind, std::string_view reason);
    /// Aborts a response that has begun.
    void break_off(std::string_view reason);
    void respond_with_problem(router::refusal_kind kind, router::executed ran,
                              std::optional<duration> retry_after);
    /// Logs the end of the request and lets the session be destroyed.
    void finish(std::string_view outcome);

    void arm_attempt_timer(const attempt_ptr& attempt);
    /// Returns true if the request could go on at another upstream at once
    /// after `attempt` has ended as `end`.
    [[nodiscard]] bool can_move_from(const attempt_ptr& attempt,
                                     dispatch::attempt_end end,
                                     time_point now) const;
    /// Returns how long the current attempt may wait for its next progress.
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
    /// Id of the longest prompt prefix shared with other requests.
    std::optional<std::uint64_t> affinity_;
    std::uint32_t shared_prefix_tokens_ = 0;
    /// What the request has in common with others: first that of its
    /// repetitions, then the parts of the prompt that others may share.
    std::vector<request_feature> features_;
    /// The request has features in quarantine, and may run nevertheless.
    bool is_trial_ = false;
    /// Hash of the path, customer and body; the same for a repetition under a
    /// new request id.
    fingerprint fingerprint_{};
    time_point arrived_at_;
    time_point deadline_;
    dispatch::attempt_history history_;
    /// Number of times the request has waited for room at an upstream.
    std::uint32_t waits_ = 0;
    /// The last attempt was declined.
    bool was_declined_ = false;
    /// Held while it waits.
    std::optional<dispatch::waiting_room::place> waiting_place_;
    /// Ended attempts whose request was sent to an upstream.
    std::uint32_t upstream_arrivals_ = 0;
    /// A repeat was taken from the retry budget and has not reached an
    /// upstream.
    bool has_unused_repeat_ = false;
    /// Ids of the upstreams at which an attempt failed.
    std::vector<std::string> tried_upstreams_;
    /// Versions that the last attempt could go to, and the hash that decides
    /// about them.
    dispatch::version_choice versions_;
    std::optional<std::uint64_t> version_key_;
    attempt_ptr current_attempt_;
    /// Second attempt that runs beside the current one; null if none. Its
    /// response is buffered until it becomes the current attempt.
    attempt_ptr hedge_attempt_;
    net::restartable_timer hedge_timer_;
    net::restartable_timer attempt_timer_;
    router::sse_splitter event_splitter_;
    std::optional<std::uint64_t> last_event_id_;
    time_point last_event_at_;
    bool stream_started_ = false;
    /// Reading from the upstream is paused until the caller has read what was
    /// sent to it.
    bool is_paused_for_caller_ = false;
    /// Reading from the upstream is paused, since the response costs too much
    /// time.
    bool is_paused_for_pace_ = false;
    http::read_pace pace_;
    net::restartable_timer pace_timer_;
    /// The channel has the whole answer; it may close at once.
    bool answered_ = false;
    bool finished_ = false;
    /// Keeps the session alive until finish().
    std::shared_ptr<relay_session> self_;
};

} // namespace baobabloft::relay
