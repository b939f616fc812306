// Bounds what the requests that wait for room at an upstream hold at one
// router, and shares it among customers.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace baobabloft::dispatch
{

/// Bounds on the waiting requests of one router.
struct waiting_bounds
{
    std::size_t requests = 128;
    /// Bytes of their bodies.
    std::size_t bytes = std::size_t{8} * 1024 * 1024;
    /// One customer may use this part of either bound: 1 / customer_divisor.
    std::size_t customer_divisor = 4;
};

/// The waiting requests of one router. Must outlive the places it gives.
class waiting_room
{
public:
    /// The place of one waiting request; destroying it frees the place.
    class place
    {
    public:
        place(waiting_room& room, std::string customer, std::size_t bytes);
        ~place();
        place(const place&) = delete;
        place& operator=(const place&) = delete;
        place(place&&) = delete;
        place& operator=(place&&) = delete;

    private:
        waiting_room& room_;
        std::string customer_;
        std::size_t bytes_;
    };

    explicit waiting_room(const waiting_bounds& bounds = {});

    /// Gives `target` a place for a request of `customer` with a body of
    /// `bytes`. Returns false if a bound does not allow another one.
    [[nodiscard]] bool enter(std::optional<place>& target,
                             const std::string& customer, std::size_t bytes);

    /// Returns the number of waiting requests.
    [[nodiscard]] std::size_t size() const;

private:
    struct usage
    {
        std::size_t requests = 0;
        std::size_t bytes = 0;
    };

    waiting_bounds bounds_;
    usage total_;
    std::map<std::string, usage> by_customer_;
};

} // namespace baobabloft::dispatch
