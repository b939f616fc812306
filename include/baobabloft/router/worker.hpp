// A worker: one thread with its own HTTP server on the shared port and its own
// connections to upstreams. It shares nothing with other workers and reaches
// the control task by messages.
#pragma once

#include "baobabloft/net/http_client.hpp"
#include "baobabloft/router/control_task.hpp"
#include "baobabloft/router/metrics.hpp"
#include "baobabloft/router/settings.hpp"

#include <atomic>
#include <memory>
#include <random>
#include <thread>

namespace baobabloft::router
{

/// What the sessions of one worker share; only its thread touches it, but for
/// the count of requests.
struct worker_context
{
    const settings& options;
    control_task& control;
    metrics& counters;
    net::event_loop loop{};
    reply_table replies{loop};
    net::object_ptr<SoupSession> upstreams{};
    published_state state{};
    std::mt19937_64 random{};
    std::atomic<std::size_t> in_progress{0};
};

/// Serves callers on one thread.
class worker
{
public:
    worker(const settings& options, control_task& control, metrics& counters);
    ~worker();
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;

    /// Binds the port and starts the thread.
    bool start(failure& reason);

    /// Reads the certificate and key again.
    void reload_certificate();

    /// Ends the thread; requests in progress are cut.
    void stop();

    /// Returns the number of requests in progress.
    [[nodiscard]] std::size_t in_progress() const;

private:
    bool prepare(failure& reason);
    bool listen(failure& reason);
    bool load_certificate(failure& reason);
    void add_handlers();

    static void on_early(SoupServer* server, SoupServerMessage* message,
                         const char* path, GHashTable* query, gpointer data);
    static void on_request(SoupServer* server, SoupServerMessage* message,
                           const char* path, GHashTable* query, gpointer data);
    static void on_page(SoupServer* server, SoupServerMessage* message,
                        const char* path, GHashTable* query, gpointer data);
    void serve_page(SoupServerMessage* message, std::string_view path);
    [[nodiscard]] bool is_operator(SoupServerMessage* message) const;

    worker_context context_;
    net::object_ptr<SoupServer> server_;
    std::thread thread_;
};

} // namespace baobabloft::router
