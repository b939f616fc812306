// Closed-loop load generator: keeps a fixed number of requests open at one URL
// and prints throughput and latency as JSON.
#include "standins.hpp"

#include "baobabloft/net/http_client.hpp"

#include <algorithm>
#include <iostream>

namespace baobabloft::standins
{

namespace
{

class closed_loop
{
public:
    closed_loop(net::event_loop& loop, const load_options& options)
        : loop_(loop), options_(options)
    {
    }

    void start()
    {
        started_ = net::monotonic_now();
        for (unsigned index = 0; index < options_.concurrency; ++index)
            send(index);
    }

    [[nodiscard]] nlohmann::json results()
    {
        std::sort(latencies_us_.begin(), latencies_us_.end());
        const double seconds = to_seconds(net::monotonic_now() - started_);
        const auto count = latencies_us_.size();
        if (count == 0)
            return {{"answers", 0}, {"failed", failed_}};
        return {{"answers", count},
                {"failed", failed_},
                {"per_second", static_cast<double>(count) / seconds},
                {"median_us", latencies_us_[count / 2]},
                {"p99_us", latencies_us_[count * 99 / 100]}};
    }

private:
    void send(unsigned client)
    {
        if (sent_ == options_.requests)
            return;
        ++sent_;
        net::http_request request;
        request.url = options_.url;
        request.timeout = 120s;
        request.headers = {{"X-Customer", "c" + std::to_string(client % 10)},
                           {"X-Chat-Id", "load-" + std::to_string(client)},
                           {"X-Timeout-Ms", "100000"}};
        if (!options_.body.empty())
        {
            request.method = "POST";
            request.body = options_.body;
        }
        http_.send(
            request,
            [this, client, sent_at = net::monotonic_now()](
                const std::optional<net::http_response>& reply, const failure&)
            {
                constexpr unsigned status_ok = 200;
                if (reply && reply->status == status_ok)
                    latencies_us_.push_back(
                        (net::monotonic_now() - sent_at).count());
                else
                    ++failed_;
                if (latencies_us_.size() + failed_ == options_.requests)
                    loop_.stop();
                else
                    send(client);
            });
    }

    net::event_loop& loop_;
    load_options options_;
    net::http_client http_;
    time_point started_;
    std::vector<std::int64_t> latencies_us_;
    std::uint64_t sent_ = 0;
    std::uint64_t failed_ = 0;
};

} // namespace

int run_load(const load_options& options)
{
    net::event_loop loop;
    const net::event_loop::default_context_scope loop_scope{loop};
    closed_loop load{loop, options};
    load.start();
    loop.run();
    std::cout << load.results().dump() << '\n';
    return 0;
}

} // namespace baobabloft::standins
