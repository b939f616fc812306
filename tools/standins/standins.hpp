// The stand-ins: small replacements of what the router meets outside, each
// with switchable faults.
#pragma once

#include <cstdint>
#include <functional>
#include <libsoup/soup.h>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace baobabloft::standins
{

/// A request whose body has been read.
struct request
{
    SoupServerMessage* message = nullptr;
    std::string method;
    std::string path;
    std::string body;

    /// Returns the body as JSON, or an empty object.
    [[nodiscard]] nlohmann::json json() const;
    /// Returns a header's value, or an empty text.
    [[nodiscard]] std::string header(const char* name) const;
};

using handler = std::function<void(const request&)>;

/// Serves `handle` on 127.0.0.1:`port` until the process ends.
int serve(std::uint16_t port, handler handle);

/// Answers with JSON.
void respond(SoupServerMessage* message, unsigned status,
             const nlohmann::json& body);

/// Answers after `delay_ms`.
void respond_later(SoupServerMessage* message, unsigned delay_ms,
                   unsigned status, const nlohmann::json& body);

/// Closes the connection without an answer.
void close_without_response(SoupServerMessage* message);

/// Returns the milliseconds of the monotonic clock.
std::int64_t monotonic_ms();

/// Settings of the engine.
struct engine_options
{
    std::uint16_t port = 0;
    unsigned token_ms = 20;
    unsigned prefill_ms = 100;
    unsigned cached_prefill_ms = 20;
    /// Requests in progress that the engine runs at full speed.
    unsigned capacity = 16;
    unsigned cold_ms = 0;
    unsigned cold_start_limit = 2;
    unsigned report_lag_ms = 500;
    std::size_t chat_cache_capacity = 1000;
};

/// Settings of the load.
struct load_options
{
    std::string url;
    /// Sent by POST if not empty.
    std::string body;
    unsigned concurrency = 1;
    std::uint64_t requests = 1000;
};

int run_load(const load_options& options);
int run_kv(std::uint16_t port);
int run_engine(const engine_options& options);
int run_plain(std::uint16_t port, unsigned work_ms);
int run_hosts(std::uint16_t port, unsigned lag_ms);

} // namespace baobabloft::standins
