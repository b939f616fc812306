#include "baobabloft/router/metrics.hpp"

#include <prometheus/text_serializer.h>

#include <algorithm>
#include <array>
#include <cassert>

namespace baobabloft::router
{

namespace
{

constexpr std::array table{
    metric_row{"baobab_answers_total", "Requests answered, by service"},
    metric_row{"baobab_answer_seconds", "Time to the whole answer"},
    metric_row{"baobab_refusals_total", "Requests refused, by kind"},
    metric_row{"baobab_first_token_seconds", "Time to the first token"},
    metric_row{"baobab_between_tokens_seconds", "Time between tokens"},
    metric_row{"baobab_retries_total", "Further attempts, by cause"},
    metric_row{"baobab_requests_in_progress", "Requests in progress"},
    metric_row{"baobab_control_sent_bytes_total",
               "Control datagrams sent, headers included, by kind"},
    metric_row{"baobab_control_sent_total", "Control datagrams sent, by kind"},
    metric_row{"baobab_control_received_bytes_total",
               "Control datagrams received, headers included, by kind"},
    metric_row{"baobab_control_received_total",
               "Control datagrams received, by kind"},
    metric_row{"baobab_control_refused_total",
               "Datagrams that were not accepted, by cause"},
    metric_row{"baobab_platform_calls_total",
               "Answered calls to the platform and for load reports, by kind"},
    metric_row{"baobab_platform_failures_total",
               "Calls to the platform and for load reports without an answer, "
               "by kind"},
    metric_row{"baobab_members", "Live routers in this router's view"},
    metric_row{"baobab_preset_generation", "Number of the preset in force"},
    metric_row{"baobab_owned_upstreams", "Upstreams that this router owns"},
    metric_row{"baobab_permits_held", "Permits held by requests here"},
    metric_row{"baobab_permit_asks", "Asks for permits since the start"},
    metric_row{"baobab_permit_first_choices",
               "Requests that got their first choice since the start"},
    metric_row{"baobab_permit_other_choices",
               "Requests that got a later choice since the start"},
    metric_row{"baobab_quarantined_requests", "Request bodies in quarantine"},
    metric_row{"baobab_quarantined_parts", "Parts of prompts in quarantine"},
    metric_row{"baobab_ledger_writes", "Ledger entries written since start"},
    metric_row{"baobab_ledger_records", "Ledger records written since start"},
    metric_row{"baobab_ledger_lost_races",
               "Ledger entries that another router created first"},
    metric_row{"baobab_ledger_unknown_writes",
               "Ledger writes without an answer"},
    metric_row{"baobab_ledger_damaged_entries",
               "Ledger entries that cannot be read"},
    metric_row{"baobab_ledger_keys", "Keys in memory of this appender"},
    metric_row{"baobab_config_version",
               "Version of the configuration in force"},
    metric_row{"baobab_proof_age_seconds",
               "Age of the read that last proved the configuration in force"},
    metric_row{"baobab_upstreams", "Upstreams that the directory lists"},
    metric_row{"baobab_upstreams_limited",
               "Upstreams that state a limit on their requests a second"},
    metric_row{"baobab_rollout_changes_total",
               "Changes of roll-outs at this router, by change"},
    metric_row{"baobab_rollouts_in_progress",
               "Roll-outs that are neither complete nor reverted"},
    metric_row{"baobab_directory_changes_total",
               "Changes of what is believed of the directory, by kind"},
    metric_row{"baobab_directory_revision",
               "Revision of the store up to which all changes are known"},
    metric_row{"baobab_directory_digest",
               "Digest of the known entries; equal at routers with the same "
               "revision"},
    metric_row{"baobab_watches_store",
               "1 if this router watches the store for its data centre"},
    metric_row{"baobab_callers", "Open connections of callers"},
    metric_row{"baobab_upstream_channels_opened",
               "Connections to upstreams opened since the start"},
    metric_row{"baobab_choices_total", "Upstreams chosen, by reason"},
    metric_row{"baobab_waits_total",
               "Waits of requests for room at an upstream, by service"},
    metric_row{"baobab_requests_waiting",
               "Requests that wait for room at an upstream"},
    metric_row{"baobab_returns_total",
               "Refusals, by when the caller may return"},
    metric_row{"baobab_store_unavailable",
               "1 if the store is known to respond to no router"},
    metric_row{"baobab_attempt_ends_total",
               "Attempts without a usable answer, or cancelled, by how they "
               "ended"},
    metric_row{"baobab_hedges_total",
               "Second attempts beside a slow one, by outcome"},
    metric_row{"baobab_hedges_withheld_total",
               "Slow requests without a second attempt, by reason"},
    metric_row{"baobab_log_lines_lost",
               "Log lines that standard output did not take"},
    metric_row{"baobab_ready", "1 if the router takes new requests"},
};

const prometheus::Histogram::BucketBoundaries token_buckets{
    0.005, 0.01, 0.02, 0.03, 0.04, 0.053, 0.075, 0.1, 0.15,
    0.25,  0.5,  0.74, 1.0,  1.5,  2.5,   5.0,   10.0};

const prometheus::Histogram::BucketBoundaries response_time_buckets{
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
    0.5,   1,      2.5,   5,    10,    30,   60,  300};

std::string help_of(std::string_view name)
{
    const auto found =
        std::find_if(table.begin(), table.end(),
                     [name](const auto& row) { return row.name == name; });
    assert(found != table.end() && "every metric must be listed in the table");
    return std::string{found->help};
}

} // namespace

std::span<const metric_row> metric_table()
{
    return table;
}

metrics::metrics() : registry_(std::make_shared<prometheus::Registry>()) {}

void metrics::record_response(const std::string& service, duration latency)
{
    counter("baobab_answers_total", {"service", service}).Increment();
    histogram("baobab_answer_seconds", service).Observe(to_seconds(latency));
}

void metrics::record_refusal(refusal_kind kind)
{
    counter("baobab_refusals_total",
            {"kind", std::string{refusal_row_of(kind).name}})
        .Increment();
}

void metrics::record_first_token(const std::string& service, duration latency)
{
    histogram("baobab_first_token_seconds", service)
        .Observe(to_seconds(latency));
}

void metrics::record_token_gap(const std::string& service, duration gap)
{
    histogram("baobab_between_tokens_seconds", service)
        .Observe(to_seconds(gap));
}

void metrics::record_retry(std::string_view cause)
{
    counter("baobab_retries_total", {"cause", std::string{cause}}).Increment();
}

void metrics::record_datagram_sent(std::string_view kind, std::size_t bytes)
{
    const metric_label label{"kind", std::string{kind}};
    counter("baobab_control_sent_bytes_total", label)
        .Increment(static_cast<double>(bytes));
    counter("baobab_control_sent_total", label).Increment();
}

void metrics::record_datagram_received(std::string_view kind, std::size_t bytes)
{
    const metric_label label{"kind", std::string{kind}};
    counter("baobab_control_received_bytes_total", label)
        .Increment(static_cast<double>(bytes));
    counter("baobab_control_received_total", label).Increment();
}

void metrics::record_datagram_rejected(std::string_view cause)
{
    counter("baobab_control_refused_total", {"cause", std::string{cause}})
        .Increment();
}

void metrics::record_platform_call(std::string_view kind, bool succeeded)
{
    const auto* name = succeeded ? "baobab_platform_calls_total"
                                 : "baobab_platform_failures_total";
    counter(name, {"kind", std::string{kind}}).Increment();
}

void metrics::add_requests_in_progress(int delta)
{
    gauge("baobab_requests_in_progress").Increment(delta);
}

void metrics::increment(std::string_view name, std::string_view label,
                        std::string_view value)
{
    counter(name, {std::string{label}, std::string{value}}).Increment();
}

void metrics::set(std::string_view name, double value)
{
    gauge(name).Set(value);
}

std::string metrics::text() const
{
    return prometheus::TextSerializer{}.Serialize(registry_->Collect());
}

prometheus::Counter& metrics::counter(std::string_view name,
                                      const metric_label& label)
{
    return find_or_register(counters_, name, label.value,
                            [&]() -> prometheus::Counter&
                            {
                                return prometheus::BuildCounter()
                                    .Name(std::string{name})
                                    .Help(help_of(name))
                                    .Register(*registry_)
                                    .Add({{label.name, label.value}});
                            });
}

prometheus::Histogram& metrics::histogram(std::string_view name,
                                          const std::string& service)
{
    const bool is_token_metric = name != "baobab_answer_seconds";
    return find_or_register(
        histograms_, name, service,
        [&]() -> prometheus::Histogram&
        {
            return prometheus::BuildHistogram()
                .Name(std::string{name})
                .Help(help_of(name))
                .Register(*registry_)
                .Add({{"service", service}},
                     is_token_metric ? token_buckets : response_time_buckets);
        });
}

prometheus::Gauge& metrics::gauge(std::string_view name)
{
    return find_or_register(gauges_, name, {},
                            [&]() -> prometheus::Gauge&
                            {
                                return prometheus::BuildGauge()
                                    .Name(std::string{name})
                                    .Help(help_of(name))
                                    .Register(*registry_)
                                    .Add({});
                            });
}

template <typename Metric, typename Registrar>
Metric& metrics::find_or_register(series_cache<Metric>& cached,
                                  std::string_view name, std::string_view label,
                                  Registrar register_series)
{
    const std::scoped_lock lock{mutex_};
    auto by_name = cached.find(name);
    if (by_name == cached.end())
        by_name = cached.emplace(name, series_by_label<Metric>{}).first;
    auto& series = by_name->second;
    if (const auto found = series.find(label); found != series.end())
        return *found->second;
    return *series.emplace(label, &register_series()).first->second;
}

} // namespace baobabloft::router
