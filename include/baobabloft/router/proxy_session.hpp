// One caller's request from its arrival to the last byte of its answer. A
// session keeps itself alive through the operations it waits for.
#pragma once

#include "baobabloft/router/request.hpp"
#include "baobabloft/router/sse.hpp"
#include "baobabloft/router/worker.hpp"

#include <memory>
#include <string>
#include <vector>

namespace baobabloft::router
{

/// Takes a request through claim, permit, upstream and answer.
class proxy_session : public std::enable_shared_from_this<proxy_session>
{
public:
    /// Starts a session for `message`, whose body has been read.
    static void start(worker_context& context, SoupServerMessage* message);

    proxy_session(worker_context& context, SoupServerMessage* message);
    ~proxy_session();
    proxy_session(const proxy_session&) = delete;
    proxy_session& operator=(const proxy_session&) = delete;

private:
    /// One try at one upstream.
    struct attempt
    {
        unsigned number = 0;
        request_number route = 0;
        bool has_permit = false;
        upstream_id upstream{};
        std::string upstream_name;
        std::string request_id;
        net::object_ptr<SoupMessage> message;
        net::object_ptr<GInputStream> body;
        net::object_ptr<GCancellable> cancel;
        time_point started;
        std::uint16_t first_token_ms = 0;
        /// A byte of the request may have reached a connection.
        bool sent = false;
        /// The upstream sent a byte of its answer.
        bool answered = false;
        /// Set once the attempt is over, to ignore what arrives late.
        bool over = false;
    };

    using self_ptr = std::shared_ptr<proxy_session>;
    using attempt_ptr = std::shared_ptr<attempt>;

    /// Keeps session and attempt alive through one asynchronous operation.
    struct operation
    {
        self_ptr session;
        attempt_ptr at;
    };

    void begin();
    void begin_claim();
    void on_claim(const ledger::claim_decision& decision);
    void seek_upstream(bool is_retry);
    void on_route(const attempt_ptr& at, const route_answer& answer);
    void send(const attempt_ptr& at, const std::string& address);
    void on_reply_headers(const attempt_ptr& at, const GError* error);
    void read_more(const attempt_ptr& at);
    void on_bytes(const attempt_ptr& at, GBytes* bytes, const GError* error);
    void on_stream_bytes(const attempt_ptr& at, std::string_view bytes);
    void on_stream_end(const attempt_ptr& at);
    void on_whole_answer(const attempt_ptr& at);
    bool deliver_event(const attempt_ptr& at, const sse_event& event,
                       std::string& out);
    void on_caller_ready();

    /// Ends the attempt and returns its permit.
    void end_attempt(const attempt_ptr& at, routing::outcome how);
    /// Ends a failed attempt, then retries or refuses.
    void fail_attempt(const attempt_ptr& at, routing::outcome how,
                      refusal_kind kind);
    [[nodiscard]] bool may_retry(const attempt_ptr& at) const;
    void refuse(refusal_kind kind);
    [[nodiscard]] executed execution() const;
    void respond_whole(unsigned status, const std::string& type,
                       const std::string& body);
    void start_stream(const attempt_ptr& at);
    void end_stream();
    void finish_claim(const attempt_ptr& at, unsigned status,
                      const std::string& type);
    void set_common_headers(const std::string& upstream_name);
    void count_answer(bool in_time);
    void count_objective(objective goal, bool missed);

    void arm(duration delay, const attempt_ptr& at);
    void disarm();
    void watch_caller();
    void unwatch_caller();
    void caller_left();
    [[nodiscard]] time_point now() const;
    [[nodiscard]] bool has_room_for_retry() const;

    static void on_headers_ready(GObject* source, GAsyncResult* result,
                                 gpointer data);
    static void on_bytes_ready(GObject* source, GAsyncResult* result,
                               gpointer data);
    static void on_starting(SoupMessage* message, gpointer data);
    static void on_network_event(SoupMessage* message, GSocketClientEvent event,
                                 GIOStream* stream, gpointer data);
    static void on_chunk_written(SoupServerMessage* message, gpointer data);
    static void on_finished(SoupServerMessage* message, gpointer data);
    static gboolean on_caller_readable(GSocket* socket, GIOCondition condition,
                                       gpointer data);

    worker_context& context_;
    net::object_ptr<SoupServerMessage> caller_;
    routed_request request_;
    std::string request_id_;
    std::string method_;
    std::string content_type_;
    std::string body_;
    time_point arrived_;
    time_point latest_;
    attempt_ptr current_;
    std::vector<upstream_id> failed_upstreams_;
    unsigned attempts_ = 0;
    request_number claim_ = 0;
    std::uint64_t fencing_ = 0;
    /// The ledger confirmed that no attempt with this key has run.
    bool key_is_clear_ = false;
    sse_splitter splitter_;
    std::string whole_;
    std::uint64_t last_event_ = 0;
    bool events_have_ids_ = true;
    bool stream_started_ = false;
    time_point last_token_;
    guint timer_ = 0;
    GSource* caller_watch_ = nullptr;
    gulong finished_handler_ = 0;
    gulong chunk_handler_ = 0;
    bool waits_for_caller_ = false;
    bool stream_over_ = false;
    bool responded_ = false;
    bool caller_gone_ = false;
    bool counted_ = false;
    /// Holds the session while the caller's message lives.
    self_ptr held_;
};

} // namespace baobabloft::router
