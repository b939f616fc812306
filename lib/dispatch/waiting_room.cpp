#include "baobabloft/dispatch/waiting_room.hpp"

#include <utility>

namespace baobabloft::dispatch
{

waiting_room::place::place(waiting_room& room, std::string customer,
                           std::size_t bytes)
    : room_(room), customer_(std::move(customer)), bytes_(bytes)
{
    for (auto* used : {&room_.total_, &room_.by_customer_[customer_]})
    {
        ++used->requests;
        used->bytes += bytes_;
    }
}

waiting_room::place::~place()
{
    const auto found = room_.by_customer_.find(customer_);
    for (auto* used : {&room_.total_, &found->second})
    {
        --used->requests;
        used->bytes -= bytes_;
    }
    if (found->second.requests == 0)
        room_.by_customer_.erase(found);
}

waiting_room::waiting_room(const waiting_bounds& bounds) : bounds_(bounds) {}

bool waiting_room::enter(std::optional<place>& target,
                         const std::string& customer, std::size_t bytes)
{
    target.reset();
    const auto found = by_customer_.find(customer);
    const auto own = found == by_customer_.end() ? usage{} : found->second;
    const auto fits = [bytes](const usage& used, std::size_t max_requests,
                              std::size_t max_bytes)
    {
        return used.requests < max_requests && used.bytes + bytes <= max_bytes;
    };
    const auto divisor = bounds_.customer_divisor;
    if (!fits(total_, bounds_.requests, bounds_.bytes) ||
        !fits(own, bounds_.requests / divisor, bounds_.bytes / divisor))
        return false;
    target.emplace(*this, customer, bytes);
    return true;
}

std::size_t waiting_room::size() const
{
    return total_.requests;
}

} // namespace baobabloft::dispatch
