// Implements the random workload.
#include "measure.hpp"

#include "baobabloft/support/hash.hpp"

#include <numeric>

namespace baobabloft::measure
{

namespace
{

/// Number of turns of a chat: most chats return many times.
constexpr unsigned turns_per_chat = 20;
/// Share of all arrivals that the large customers have together.
constexpr double large_customer_share = 0.5;
constexpr duration min_service_time = 500ms;

} // namespace

driver::world_options make_world_options(const measure_options& options)
{
    driver::world_options world_settings{.seed = options.seed};
    world_settings.routers =
        options.routers != 0 ? options.routers : world_settings.routers;
    world_settings.engines =
        options.engines != 0 ? options.engines : world_settings.engines;
    return world_settings;
}

double share(std::uint64_t part, std::uint64_t total)
{
    return total == 0 ? 0
                      : static_cast<double>(part) / static_cast<double>(total);
}

workload::workload(driver::world& world, double rate, std::size_t active_chats)
    : world_(world), rate_(rate), chats_(world.options().customers),
      weights_(world.options().customers)
{
    const auto large_count = world.options().large_customers;
    const auto small_count = chats_.size() - large_count;
    for (std::size_t index = 0; index < chats_.size(); ++index)
    {
        weights_[index] =
            index < large_count
                ? large_customer_share / static_cast<double>(large_count)
                : (1 - large_customer_share) / static_cast<double>(small_count);
        const auto count = static_cast<std::size_t>(
            weights_[index] * static_cast<double>(active_chats));
        std::uniform_int_distribution<unsigned> turns(1, turns_per_chat);
        for (std::size_t number = 0; number <= count; ++number)
            chats_[index].push_back(
                {chat_id{world.random()()}, turns(world.random())});
    }
}

void workload::start(response_callback done)
{
    done_ = std::move(done);
    running_ = true;
    schedule_next();
}

void workload::stop()
{
    running_ = false;
}

void workload::scale_customer_load(std::uint32_t customer, double factor)
{
    const double before = weights_.at(customer);
    rate_ *= 1 + before * (factor - 1);
    weights_.at(customer) = before * factor;
    const double total = std::accumulate(weights_.begin(), weights_.end(), 0.0);
    for (auto& weight : weights_)
        weight /= total;
}

void workload::use_ready_routers_only()
{
    uses_ready_routers_only_ = true;
}

void workload::set_mean_service_time(duration mean)
{
    mean_service_time_ = mean;
}

void workload::set_max_queue_wait(duration max_queue_wait)
{
    max_queue_wait_ = max_queue_wait;
}

void workload::schedule_next()
{
    std::exponential_distribution<double> interval(rate_);
    world_.events().schedule_after(
        from_seconds(interval(world_.random())),
        [this]
        {
            if (!running_)
                return;
            std::discrete_distribution<std::uint32_t> pick(weights_.begin(),
                                                           weights_.end());
            send_from_customer(pick(world_.random()));
            schedule_next();
        });
}

void workload::send_from_customer(std::uint32_t customer)
{
    auto& random = world_.random();
    auto& chats = chats_.at(customer);
    std::uniform_int_distribution<std::size_t> pick(0, chats.size() - 1);
    auto& chat = chats[pick(random)];
    if (chat.turns_left == 0)
        chat = {chat_id{random()}, turns_per_chat};
    --chat.turns_left;
    std::exponential_distribution<double> service_time(
        1 / to_seconds(mean_service_time_));
    const driver::world_request request{
        .router = pick_router(),
        .chat = chat.chat,
        .customer = customer,
        .max_queue_wait = max_queue_wait_,
        .service_time = min_service_time + from_seconds(service_time(random))};
    world_.send_request(request,
                        [this, request](const driver::world_response& response)
                        { done_(request, response); });
}

std::size_t workload::pick_router()
{
    std::uniform_int_distribution<std::size_t> pick(
        0, world_.options().routers - 1);
    constexpr int max_attempts = 20;
    for (int count = 0; count < max_attempts; ++count)
    {
        const auto index = pick(world_.random());
        const auto* node = world_.node(index);
        const bool ready =
            node != nullptr &&
            node->current_readiness(world_.now()) == fleet::readiness::ready;
        if (ready || !uses_ready_routers_only_)
            return index;
    }
    return 0;
}

} // namespace baobabloft::measure
