// The daemon's metrics, by prometheus-cpp. The names stand in one table, from
// which the documentation is checked.
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

/// Returns the names of every metric that the daemon exposes.
std::span<const metric_row> metric_table();

/// Families and series of the daemon. Safe to use from any thread.
class metrics
{
public:
    metrics();

    /// Counts an answered request.
    void record_response(const std::string& service, duration latency);
    /// Counts a refusal.
    void record_refusal(refusal_kind kind);
    /// Counts the time to a stream's first token.
    void record_first_token(const std::string& service, duration latency);
    /// Counts a gap between tokens.
    void record_token_gap(const std::string& service, duration gap);
    /// Counts a further attempt of a request.
    void record_retry(std::string_view cause);
    /// Counts a datagram, headers included.
    void record_datagram_sent(std::string_view kind, std::size_t bytes);
    void record_datagram_received(std::string_view kind, std::size_t bytes);
    void record_datagram_rejected(std::string_view cause);
    /// Counts a call to the platform or to an upstream's report.
    void record_platform_call(std::string_view kind, bool answered);
    /// Counts requests in progress up or down.
    void add_requests_in_progress(int delta);
    /// Counts an event of counter `name` by one label.
    void increment(std::string_view name, std::string_view label,
                   std::string_view value);
    /// Sets a gauge of the decisions.
    void set(std::string_view name, double value);

    /// Returns the text form for scrapers.
    [[nodiscard]] std::string text() const;

private:
    /// The one label of a counter.
    struct metric_label
    {
        std::string name;
        std::string value;
    };

    /// Series found before, so that a request does not search the registry.
    template <typename Metric>
    using series_by_label = std::map<std::string, Metric*, std::less<>>;
    template <typename Metric>
    using series_cache =
        std::map<std::string, series_by_label<Metric>, std::less<>>;

    /// Returns a known series, or the one that `make` registers. Workers and
    /// the control task share the caches, so this holds the lock throughout.
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
