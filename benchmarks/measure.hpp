// Interface of the measurements. Each returns its figures with the bounds that
// the targets set.
#pragma once

#include "world.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobabloft::measure
{

/// Whether the bound of a figure is a maximum or a minimum.
enum class bound_kind
{
    none,
    at_most,
    at_least
};

/// One measured figure.
struct figure
{
    std::string name;
    double value = 0;
    std::string unit;
    bound_kind kind = bound_kind::none;
    double bound = 0;

    [[nodiscard]] bool passes() const;
};

/// Options of a measurement; a size of 0 selects the default.
struct measure_options
{
    std::uint64_t seed = 1;
    std::size_t routers = 0;
    std::size_t engines = 0;
};

using figures = std::vector<figure>;

figures measure_policy(const measure_options& options);
figures measure_cold(const measure_options& options);
figures measure_churn(const measure_options& options);
figures measure_departure(const measure_options& options);
figures measure_fairness(const measure_options& options);
figures measure_control(const measure_options& options);
figures measure_bookings(const measure_options& options);
figures measure_preset(const measure_options& options);
figures measure_decisions(const measure_options& options);

/// Returns the simulation's settings for `options`.
driver::world_options make_world_options(const measure_options& options);

/// Returns `part` divided by `total`, or 0 if `total` is 0.
double share(std::uint64_t part, std::uint64_t total);

/// Sends requests with random arrival times. The requests are turns of chats,
/// and each chat belongs to a customer.
class workload
{
public:
    /// Creates a workload of `rate` requests per second over `active_chats`
    /// chats that are active at the same time.
    workload(driver::world& world, double rate, std::size_t active_chats);

    /// Starts to send requests; `done` runs for each response.
    using response_callback = std::function<void(
        const driver::world_request&, const driver::world_response&)>;
    void start(response_callback done);
    void stop();

    /// Multiplies the arrival rate of one customer by `factor`; the rates of
    /// the others stay.
    void scale_customer_load(std::uint32_t customer, double factor);

    /// Sends requests only to routers that are ready, as a load balancer with a
    /// readiness check does.
    void use_ready_routers_only();

    /// Sets the mean time that a request runs on an engine after its first
    /// token.
    void set_mean_service_time(duration mean);

    /// Sets how long each request may wait for an upstream.
    void set_max_queue_wait(duration max_queue_wait);

private:
    struct active_chat
    {
        chat_id chat{};
        unsigned turns_left = 0;
    };

    void schedule_next();
    void send_from_customer(std::uint32_t customer);
    /// Returns a random router, or router 0 if no ready one is found in 20
    /// draws.
    std::size_t pick_router();

    driver::world& world_;
    double rate_;
    std::vector<std::vector<active_chat>> chats_;
    std::vector<double> weights_;
    response_callback done_;
    duration mean_service_time_ = 12s;
    duration max_queue_wait_ = 5s;
    bool running_ = false;
    bool uses_ready_routers_only_ = false;
};

} // namespace baobabloft::measure
