#include "measure.hpp"

#include "baobabloft/support/hash.hpp"

#include <numeric>

namespace baobabloft::measure
{

namespace
{

/// Turns of a chat: most return many times.
constexpr unsigned turns_per_chat = 20;
/// Share of all arrivals that the two large customers have together.
constexpr double large_share = 0.5;
constexpr duration shortest_service = 500ms;

} // namespace

driver::world_options make_world_options(const measure_options& options)
{
    driver::world_options shape{.seed = options.seed};
    shape.routers = options.routers != 0 ? options.routers : shape.routers;
    shape.engines = options.engines != 0 ? options.engines : shape.engines;
    return shape;
}

double share(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0
                      : static_cast<double>(part) / static_cast<double>(whole);
}

workload::workload(driver::world& world, double rate, std::size_t active_chats)
    : world_(world), rate_(rate), chats_(world.options().customers),
      weights_(world.options().customers)
{
    const auto large = world.options().large_customers;
    const auto small = chats_.size() - large;
    for (std::size_t index = 0; index < chats_.size(); ++index)
    {
        weights_[index] = index < large
                              ? large_share / static_cast<double>(large)
                              : (1 - large_share) / static_cast<double>(small);
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
    ready_only_ = true;
}

void workload::set_mean_service_time(duration mean)
{
    service_ = mean;
}

void workload::set_max_queue_wait(duration patience)
{
    max_queue_wait_ = patience;
}

void workload::schedule_next()
{
    std::exponential_distribution<double> gap(rate_);
    world_.events().schedule_after(
        from_seconds(gap(world_.random())),
        [this]
        {
            if (!running_)
                return;
            std::discrete_distribution<std::uint32_t> pick(weights_.begin(),
                                                           weights_.end());
            send_one(pick(world_.random()));
            schedule_next();
        });
}

void workload::send_one(std::uint32_t customer)
{
    auto& random = world_.random();
    auto& own = chats_.at(customer);
    std::uniform_int_distribution<std::size_t> pick(0, own.size() - 1);
    auto& chat = own[pick(random)];
    if (chat.turns_left == 0)
        chat = {chat_id{random()}, turns_per_chat};
    --chat.turns_left;
    std::exponential_distribution<double> length(1 / to_seconds(service_));
    const driver::world_request request{
        .router = pick_router(),
        .chat = chat.chat,
        .customer = customer,
        .max_queue_wait = max_queue_wait_,
        .service_time = shortest_service + from_seconds(length(random))};
    world_.send_request(request,
                        [this, request](const driver::world_response& answer)
                        { done_(request, answer); });
}

std::size_t workload::pick_router()
{
    std::uniform_int_distribution<std::size_t> pick(
        0, world_.options().routers - 1);
    constexpr int tries = 20;
    for (int count = 0; count < tries; ++count)
    {
        const auto index = pick(world_.random());
        const auto* node = world_.node(index);
        const bool ready =
            node != nullptr &&
            node->current_readiness(world_.now()) == fleet::readiness::ready;
        if (ready || !ready_only_)
            return index;
    }
    return 0;
}

} // namespace baobabloft::measure
