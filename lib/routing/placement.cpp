// Placement policies that the benchmarks compare with permits.
#include "baobabloft/routing/placement.hpp"

#include "baobabloft/support/hash.hpp"

#include <algorithm>
#include <numeric>

namespace baobabloft::routing
{

namespace
{

std::uint64_t score(chat_id chat, upstream_id upstream)
{
    return rendezvous_score(raw(chat), raw(upstream));
}

class hash_placement final : public placement_policy
{
public:
    [[nodiscard]] std::string_view name() const override
    {
        return "hash";
    }

    std::size_t choose(chat_id chat, const std::vector<upstream_id>& upstreams,
                       const reported_loads& /*loads*/) override
    {
        std::size_t best = 0;
        for (std::size_t index = 1; index < upstreams.size(); ++index)
            if (score(chat, upstreams[index]) > score(chat, upstreams[best]))
                best = index;
        return best;
    }
};

class two_choices_placement final : public placement_policy
{
public:
    explicit two_choices_placement(std::uint64_t seed) : random_(seed) {}

    [[nodiscard]] std::string_view name() const override
    {
        return "two_choices";
    }

    std::size_t choose(chat_id /*chat*/,
                       const std::vector<upstream_id>& upstreams,
                       const reported_loads& loads) override
    {
        std::uniform_int_distribution<std::size_t> pick(0,
                                                        upstreams.size() - 1);
        const auto first = pick(random_);
        const auto second = pick(random_);
        return loads.by_index[first] <= loads.by_index[second] ? first : second;
    }

private:
    std::mt19937_64 random_;
};

class bounded_placement final : public placement_policy
{
public:
    explicit bounded_placement(double multiple) : multiple_(multiple) {}

    [[nodiscard]] std::string_view name() const override
    {
        return "bounded";
    }

    std::size_t choose(chat_id chat, const std::vector<upstream_id>& upstreams,
                       const reported_loads& loads) override
    {
        const double total =
            std::accumulate(loads.by_index.begin(), loads.by_index.end(), 0.0);
        const double bound =
            multiple_ * total / static_cast<double>(upstreams.size());
        std::vector<std::size_t> order(upstreams.size());
        std::iota(order.begin(), order.end(), 0);
        std::sort(order.begin(), order.end(),
                  [&](std::size_t left, std::size_t right) {
                      return score(chat, upstreams[left]) >
                             score(chat, upstreams[right]);
                  });
        const auto found = std::find_if(
            order.begin(), order.end(),
            [&](std::size_t index) { return loads.by_index[index] < bound; });
        return found == order.end() ? order.front() : *found;
    }

private:
    double multiple_;
};

} // namespace

std::unique_ptr<placement_policy> make_hash_placement()
{
    return std::make_unique<hash_placement>();
}

std::unique_ptr<placement_policy> make_two_choices_placement(std::uint64_t seed)
{
    return std::make_unique<two_choices_placement>(seed);
}

std::unique_ptr<placement_policy> make_bounded_placement(double multiple)
{
    return std::make_unique<bounded_placement>(multiple);
}

} // namespace baobabloft::routing
