// Keeps a router on the newest accepted preset, which is read from the KV
// service or from a peer that reports a higher generation. The generation never
// decreases. Performs no I/O.
#pragma once

#include "baobabloft/config/preset.hpp"
#include "baobabloft/support/failure.hpp"

#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace baobabloft::config
{

/// The reads that the caller must start.
struct preset_reads
{
    /// Read the preset in force from the KV service.
    bool from_kv = false;
    /// Fetch the preset from this peer.
    std::optional<router_id> from_peer;
};

/// A write that the caller must make in the KV service.
struct preset_replacement
{
    /// The stored envelope that is replaced, or nothing if none may be stored.
    std::optional<std::string> stored;
    /// The preset that is in force, and its envelope.
    generation number = 0;
    std::string envelope;
};

/// Decides when to read the preset and adopts newer generations.
class preset_follower
{
public:
    explicit preset_follower(std::uint64_t seed);

    /// Records that `peer` has the preset of generation `number`.
    void record_peer_generation(router_id peer, generation number);

    /// Handles a response of the KV service: the stored envelope, or nothing if
    /// none is stored. Returns true if the preset was adopted.
    bool handle_kv_response(time_point now,
                            const std::optional<std::string>& envelope);

    /// Schedules a retry after the KV service did not respond.
    void handle_kv_failure(time_point now);

    /// Handles the result of a read from a peer: the peer's envelope, or
    /// nothing if the read failed. Returns true if the preset was adopted.
    bool handle_peer_response(const std::optional<std::string>& envelope);

    /// Returns the write that the last response of the KV service requires, if
    /// any, and clears it. A service that was restored from an older copy has
    /// lost the adopted preset; until it has it again, the next change would
    /// get the same generation.
    std::optional<preset_replacement> take_replacement();

    /// Makes a KV read due at once.
    void request_kv_read(time_point now);

    /// Returns the reads that are due and records them as in progress.
    /// `frequent` schedules the following KV read after 1 s rather than after
    /// 80 to 120 s, for routers that receive nothing from peers.
    preset_reads start_due_reads(time_point now, bool frequent);

    /// Returns the adopted preset, or null if there is none yet.
    [[nodiscard]] const preset_snapshot& current() const;

    /// Returns the generation of the adopted preset, 0 if there is none yet.
    [[nodiscard]] generation current_generation() const;

    /// Returns the time of the KV service's last response.
    [[nodiscard]] std::optional<time_point> last_kv_response_at() const;

    /// Returns why the last invalid envelope was rejected. A valid envelope of
    /// an old generation is ignored and sets no failure.
    [[nodiscard]] const failure& last_failure() const;

private:
    /// Adopts the preset in `envelope` if it is valid and of a higher
    /// generation. Returns true if it was adopted.
    bool adopt(std::string_view envelope);
    /// Returns the write that restores the adopted preset if `stored` is older,
    /// or that gives `stored` the next generation if it was accepted after the
    /// adopted preset was lost.
    [[nodiscard]] std::optional<preset_replacement>
    replacement_of(const std::optional<std::string>& stored) const;

    std::mt19937_64 random_;
    preset_snapshot current_;
    /// The peer that reported the highest generation, and that generation.
    std::optional<std::pair<router_id, generation>> newest_peer_;
    bool reading_kv_ = false;
    bool reading_peer_ = false;
    time_point next_kv_read_at_;
    std::optional<time_point> last_kv_response_at_;
    std::optional<preset_replacement> replacement_;
    failure last_failure_;
};

} // namespace baobabloft::config
