// Measures the time and the number of allocations of single decisions, by the
// number of upstreams and of routers.
#include "measure.hpp"

#include "baobabloft/dispatch/upstream_selector.hpp"
#include "baobabloft/routing/affinity.hpp"
#include "baobabloft/routing/permit_owner.hpp"

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <new>

namespace
{

std::atomic<std::uint64_t> allocation_count{0};

} // namespace

void* operator new(std::size_t size)
{
    allocation_count.fetch_add(1, std::memory_order_relaxed);
    if (void* memory = std::malloc(size))
        return memory;
    throw std::bad_alloc{};
}

void operator delete(void* memory) noexcept
{
    std::free(memory);
}

void operator delete(void* memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}

namespace baobabloft::measure
{

namespace
{

constexpr int rounds = 20000;

/// Adds the mean time in nanoseconds and the mean number of allocations of one
/// `call`. The first call is not measured.
template <typename Call>
void measure_call(figures& all, const std::string& name, Call call)
{
    call(0);
    const auto before = allocation_count.load();
    const auto start = std::chrono::steady_clock::now();
    for (int round = 1; round <= rounds; ++round)
        call(static_cast<std::uint64_t>(round));
    const auto elapsed = std::chrono::steady_clock::now() - start;
    const double ns =
        static_cast<double>(
            std::chrono::duration_cast<std::chrono::nanoseconds>(elapsed)
                .count()) /
        rounds;
    all.push_back({"decisions." + name, ns, "ns"});
    all.push_back(
        {"decisions." + name + ".allocations",
         static_cast<double>(allocation_count.load() - before) / rounds,
         "allocations"});
}

config::preset make_preset(std::size_t upstreams)
{
    config::preset preset;
    preset.data_centres.push_back({"dc", "region"});
    config::service service;
    service.name = "model";
    service.capacity = 1'000'000;
    service.load_floor = 1'000'000;
    for (std::size_t index = 0; index < upstreams; ++index)
    {
        const auto name = "engine-" + std::to_string(index);
        service.upstreams.push_back(
            {name, make_upstream_id(name), "dc", "10.0.0.1:1"});
    }
    preset.services.push_back(service);
    return preset;
}

void measure_ranking(figures& all, std::size_t upstreams)
{
    const auto preset = make_preset(upstreams);
    const auto& service = preset.services.front();
    measure_call(all, "rank." + std::to_string(upstreams) + "_upstreams",
                 [&](std::uint64_t round)
                 {
                     const auto ranked = routing::rank_upstreams(
                         preset, service, round, "region", 4,
                         [](const config::upstream&) { return true; });
                     if (ranked.empty())
                         std::abort();
                 });
}

void measure_owner_lookup(figures& all, std::size_t routers)
{
    std::vector<router_id> ids;
    for (std::size_t index = 0; index < routers; ++index)
        ids.push_back(make_router_id(static_cast<std::uint32_t>(index), 1));
    measure_call(
        all, "owner_of." + std::to_string(routers) + "_routers",
        [&](std::uint64_t round)
        {
            if (!routing::owner_of(
                    upstream_id{static_cast<std::uint32_t>(round)}, ids))
                std::abort();
        });
}

void measure_permit(figures& all)
{
    auto accepted = std::make_shared<config::accepted_preset>();
    accepted->value = make_preset(1);
    const auto& service = accepted->value.services.front();
    const auto& upstream = service.upstreams.front();
    routing::permit_owner owner{make_router_id(2, 1)};
    const time_point now{duration{1'000'000}};
    owner.set_owned_upstreams(now, accepted, {{.admitted = true}}, {});
    owner.handle_load_report(now, upstream.id,
                             {.running = 0, .incarnation = 1});
    const auto requester = make_router_id(1, 1);
    measure_call(
        all, "permit.ask_and_release",
        [&](std::uint64_t round)
        {
            const auto sequence = static_cast<std::uint32_t>(round);
            owner.handle(now, requester,
                         routing::permit_request{.sequence = sequence,
                                                 .upstream = upstream.id,
                                                 .chat = chat_id{round},
                                                 .max_queue_wait_ms = 100,
                                                 .may_redirect = true});
            owner.handle(now, requester,
                         routing::permit_release{{{.sequence = sequence}}});
            if (owner.take_responses().empty())
                std::abort();
        });
}

void measure_codec(figures& all)
{
    const net::datagram_keys keys{{"a secret for benchmarks"}};
    const auto sender = make_router_id(1, 1);
    const fleet::message message{routing::permit_request{}};
    measure_call(all, "datagram.encode_and_decode",
                 [&](std::uint64_t)
                 {
                     failure reason;
                     const auto bytes =
                         net::encode_datagram(keys, sender, message);
                     if (!net::decode_datagram(keys, sender, bytes, reason))
                         std::abort();
                 });
}

/// Reads every directory entry as an upstream of one service.
class upstream_codec final : public directory::record_codec
{
public:
    [[nodiscard]] directory::parsed_key
    read_key(std::string_view key) const override
    {
        return {directory::key_kind::upstream, std::string{key}};
    }

    [[nodiscard]] directory::record
    read(const directory::parsed_key& key,
         const std::string& /*value*/) const override
    {
        directory::upstream_record upstream;
        upstream.id = key.name;
        upstream.service = "chat";
        upstream.data_centre = "a";
        return upstream;
    }
};

/// Measures a choice and the end of its request, with load reports known for
/// every upstream.
void measure_choice(figures& all, std::size_t upstreams)
{
    const upstream_codec codec;
    const time_point now{duration{100'000'000}};
    directory::directory_state state{codec};
    for (std::size_t index = 0; index < upstreams; ++index)
        state.apply(
            now,
            {"i-" + std::to_string(0xe1ae6e7000 + index), "", index + 1, false},
            {});
    dispatch::upstream_selector selector{state,
                                         {.data_centre = "a",
                                          .router = "router/0",
                                          .cold_limit = {},
                                          .started = {}},
                                         [](const auto&, const auto&)
                                         {
                                             return true;
                                         }};
    for (const auto& [id, item] : state.upstreams())
        selector.record_load(now, id, {.running = 1});
    const directory::routed_service service{.name = "chat"};
    measure_call(all, "choose." + std::to_string(upstreams) + "_upstreams",
                 [&](std::uint64_t round)
                 {
                     const auto chosen =
                         selector.choose(now, {.service = &service,
                                               .affinity = round % 200,
                                               .excluded_ids = {}});
                     if (chosen.upstream == nullptr)
                         std::abort();
                     const auto& id = chosen.upstream->record.id;
                     selector.record_sent(now, id);
                     selector.record_ended(id);
                 });
}

} // namespace

figures measure_decisions(const measure_options& /*options*/)
{
    figures all;
    for (const std::size_t upstreams : {9UL, 25UL, 100UL, 600UL})
        measure_ranking(all, upstreams);
    for (const std::size_t upstreams : {9UL, 25UL, 100UL, 600UL})
        measure_choice(all, upstreams);
    for (const std::size_t routers : {9UL, 50UL, 200UL, 390UL})
        measure_owner_lookup(all, routers);
    measure_permit(all);
    measure_codec(all);
    return all;
}

} // namespace baobabloft::measure
