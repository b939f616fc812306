// Keeps a router on the newest accepted preset: from the KV service, from a
// peer that has a higher number, never backwards. No I/O.
#pragma once

#include "baobabloft/config/preset.hpp"
#include "baobabloft/support/failure.hpp"

#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace baobabloft::config
{

/// What the follower wants to be read.
struct preset_reads
{
    /// Read the preset in force from the KV service.
    bool from_kv = false;
    /// Fetch the preset from this peer.
    std::optional<router_id> from_peer;
};

/// Adopts presets.
class preset_follower
{
public:
    explicit preset_follower(std::uint64_t seed);

    /// Takes in that `peer` has preset number `number`.
    void record_peer_generation(router_id peer, generation number);

    /// Takes in an envelope from the KV service; nothing if none is stored.
    /// Returns true if it was adopted.
    bool handle_kv_response(time_point now,
                            const std::optional<std::string>& envelope);

    /// Takes in that the KV service gave no answer.
    void handle_kv_failure(time_point now);

    /// Takes in the envelope that a peer gave, or that it gave none. Returns
    /// true if it was adopted.
    bool handle_peer_response(const std::optional<std::string>& envelope);

    /// Returns what to read now and notes that it is being read. `eager` asks
    /// the KV service often, for routers that hear nothing else.
    preset_reads start_due_reads(time_point now, bool eager);

    /// Returns the preset in force here, or null before the first.
    [[nodiscard]] const preset_snapshot& current() const;

    /// Returns the number of the preset in force here, 0 before the first.
    [[nodiscard]] generation current_generation() const;

    /// Returns the time of the KV service's last answer.
    [[nodiscard]] std::optional<time_point> last_kv_response_at() const;

    /// Returns why the last offered preset was not adopted.
    [[nodiscard]] const failure& last_failure() const;

private:
    bool adopt(std::string_view envelope);

    std::mt19937_64 random_;
    preset_snapshot current_;
    std::optional<std::pair<router_id, generation>> newest_peer_;
    bool reading_kv_ = false;
    bool reading_peer_ = false;
    time_point next_kv_read_;
    std::optional<time_point> last_kv_response_at_;
    failure last_failure_;
};

} // namespace baobabloft::config
