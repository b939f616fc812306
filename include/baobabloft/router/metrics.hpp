// Metrics of the daemon, based on prometheus-cpp. One table lists all names; a
// test checks that the documentation covers them.
#pragma once

#include "baobabloft/router/refusal.hpp"
#include "baobabloft/support/time.hpp"

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <span>
#include <string>
#include <string_view>

namespace baobabloft::router
{

/// Name and help text of one metric.
struct metric_row
{
    std::string_view name;
    std::string_view help;
};

/// Returns the table of all metrics that the daemon exposes.
std::span<const metric_row> metric_table();

/// Metric families and series of the daemon. Thread-safe.
class metrics
{
public:
    metrics();

    /// Counts a completed request and records the time to its complete
    /// response.
    void record_response(const std::string& service, duration latency);
    /// Counts a refused request.
    void record_refusal(refusal_kind kind);
    /// Records the time from the arrival of a request to its first token.
    void record_first_token(const std::string& service, duration latency);
    /// Records the time between two successive tokens of a stream.
    void record_token_gap(const std::string& service, duration gap);
    /// Counts a retry.
    void record_retry(std::string_view cause);
    /// Counts a sent control datagram; `bytes` includes the headers.
    void record_datagram_sent(std::string_view kind, std::size_t bytes);
    /// Counts a received control datagram; `bytes` includes the headers.
    void record_datagram_received(std::string_view kind, std::size_t bytes);
    /// Counts a control datagram that was not accepted.
    void record_datagram_rejected(std::string_view cause);
    /// Counts a call to the platform or for an upstream's load report;
    /// `succeeded` is false if it failed.
    void record_platform_call(std::string_view kind, bool succeeded);
    /// Adds `delta` to the number of requests in progress.
    void add_requests_in_progress(int delta);
    /// Increments the series of counter `name` in which `label` has `value`.
    void increment(std::string_view name, std::string_view label,
                   std::string_view value);
    /// Sets gauge `name`.
    void set(std::string_view name, double value);

    /// Returns all metrics in the Prometheus text format.
    [[nodiscard]] std::string text() const;

private:
    /// The label of a counter; each counter has exactly one.
    struct metric_label
    {
        std::string name;
        std::string value;
    };

    /// Series that were registered before, by label value. Cached so that
    /// requests need not search the registry.
    template <typename Metric>
    using series_by_label = std::map<std::string, Metric*, std::less<>>;
    template <typename Metric>
    using series_cache =
        std::map<std::string, series_by_label<Metric>, std::less<>>;

    /// Returns the cached series, or calls `register_series` and caches its
    /// result. Holds the lock throughout, because workers and the control task
    /// share the caches.
    template <typename Metric, typename Registrar>
    Metric& find_or_register(series_cache<Metric>& cached,
                             std::string_view name, std::string_view label,
                             Registrar register_series);

    prometheus::Counter& counter(std::string_view name,
                                 const metric_label& label);
    prometheus::Histogram& histogram(std::string_view name,
                                     const std::string& service);
    prometheus::Gauge& gauge(std::string_view name);

    std::shared_ptr<prometheus::Registry> registry_;
    std::mutex mutex_;
    series_cache<prometheus::Counter> counters_;
    series_cache<prometheus::Histogram> histograms_;
    series_cache<prometheus::Gauge> gauges_;
};

} // namespace baobabloft::router
