// Measurements: each prints its figures with the bound from the target.
#pragma once

#include "world.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace baobabloft::measure
{

/// Whether a figure passes below or above its bound.
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

/// What a measurement is run with; 0 stands for its default size.
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

/// Returns a world of the size that `options` ask for.
driver::world_options make_world_options(const measure_options& options);

/// Returns `part` of `whole`, 0 for an empty whole.
double share(std::uint64_t part, std::uint64_t whole);

/// Chats that return after pauses, and the customers they belong to.
class workload
{
public:
    /// Arrivals per second, and the number of chats that are active at once.
    workload(driver::world& world, double rate, std::size_t active_chats);

    /// Starts to send requests; `done` runs for each answer.
    using response_callback = std::function<void(
        const driver::world_request&, const driver::world_response&)>;
    void start(response_callback done);
    void stop();

    /// Multiplies the arrivals of one customer.
    void scale_customer_load(std::uint32_t customer, double factor);

    /// Keeps requests away from routers for which the balancer's check fails.
    void use_ready_routers_only();

    /// Sets the mean time on an engine after the first token.
    void set_mean_service_time(duration mean);

    /// Patience of each request.
    void set_max_queue_wait(duration patience);

private:
    struct active_chat
    {
        chat_id chat{};
        unsigned turns_left = 0;
    };

    void schedule_next();
    void send_one(std::uint32_t customer);
    std::size_t pick_router();

    driver::world& world_;
    double rate_;
    std::vector<std::vector<active_chat>> chats_;
    std::vector<double> weights_;
    response_callback done_;
    duration service_ = 12s;
    duration max_queue_wait_ = 5s;
    bool running_ = false;
    bool ready_only_ = false;
};

} // namespace baobabloft::measure
