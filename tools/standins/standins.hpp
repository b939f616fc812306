// Interface of the stand-ins: small servers that replace the platform's
// services and the upstreams in tests. Most can be made to fail on request.
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
    /// Returns a header's value, or an empty string.
    [[nodiscard]] std::string header(const char* name) const;
};

using handler = std::function<void(const request&)>;

/// Serves requests with `handle` on 127.0.0.1:`port` until the process ends.
/// Returns 1 if the port cannot be opened.
int serve(std::uint16_t port, handler handle);

/// Responds with JSON.
void respond(SoupServerMessage* message, unsigned status,
             const nlohmann::json& body);

/// Responds with JSON after `delay_ms`.
void respond_later(SoupServerMessage* message, unsigned delay_ms,
                   unsigned status, const nlohmann::json& body);

/// Closes the connection without a response.
void close_without_response(SoupServerMessage* message);

/// Returns the time of the monotonic clock in ms.
std::int64_t monotonic_ms();

/// Options of the engine stand-in.
struct engine_options
{
    std::uint16_t port = 0;
    /// Time per token at full speed.
    unsigned token_ms = 20;
    /// Time to first token without and with a cached prefix.
    unsigned prefill_ms = 100;
    unsigned cached_prefill_ms = 20;
    /// Number of requests that the engine runs at full speed.
    unsigned capacity = 16;
    /// Length of the cold start.
    unsigned cold_ms = 0;
    unsigned cold_start_limit = 2;
    /// Age of the load reports that the engine serves.
    unsigned report_lag_ms = 500;
    std::size_t chat_cache_capacity = 1000;
};

/// Options of the load generator.
struct load_options
{
    std::string url;
    /// If not empty, requests use POST and send this body.
    std::string body;
    /// Number of requests open at the same time.
    unsigned concurrency = 1;
    /// Total number of requests.
    std::uint64_t requests = 1000;
};

/// Each of these runs one stand-in and returns the exit code of the process.
int run_load(const load_options& options);
int run_kv(std::uint16_t port);
int run_engine(const engine_options& options);
int run_plain(std::uint16_t port, unsigned work_ms);
int run_hosts(std::uint16_t port, unsigned lag_ms);

} // namespace baobabloft::standins
