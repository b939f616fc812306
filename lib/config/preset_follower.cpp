// Scheduling of preset reads and adoption of newer generations.
#include "baobabloft/config/preset_follower.hpp"

#include "baobabloft/config/preset_parser.hpp"

#include <utility>

namespace baobabloft::config
{

namespace
{

constexpr duration normal_read_period = 80s;
constexpr duration normal_read_jitter = 40s;
// Also the delay before a failed read is retried.
constexpr duration frequent_read_period = 1s;

} // namespace

preset_follower::preset_follower(std::uint64_t seed) : random_(seed) {}

void preset_follower::record_peer_generation(router_id peer, generation number)
{
    if (number <= this->current_generation())
        return;
    if (!newest_peer_ || number >= newest_peer_->second)
        newest_peer_ = {peer, number};
}

bool preset_follower::handle_kv_response(
    time_point now, const std::optional<std::string>& envelope)
{
    reading_kv_ = false;
    last_kv_response_at_ = now;
    if (envelope && adopt(*envelope))
        return true;
    replacement_ = replacement_of(envelope);
    return false;
}

void preset_follower::handle_kv_failure(time_point now)
{
    reading_kv_ = false;
    next_kv_read_at_ = now + frequent_read_period;
}

bool preset_follower::handle_peer_response(
    const std::optional<std::string>& envelope)
{
    reading_peer_ = false;
    // If the peer returned no preset, it is queried again only after another
    // report of a higher generation.
    newest_peer_.reset();
    return envelope && adopt(*envelope);
}

std::optional<preset_replacement> preset_follower::take_replacement()
{
    return std::exchange(replacement_, std::nullopt);
}

void preset_follower::request_kv_read(time_point now)
{
    next_kv_read_at_ = std::min(next_kv_read_at_, now);
}

preset_reads preset_follower::start_due_reads(time_point now, bool frequent)
{
    preset_reads reads;
    if (newest_peer_ && !reading_peer_ &&
        newest_peer_->second > current_generation())
    {
        reads.from_peer = newest_peer_->first;
        reading_peer_ = true;
    }
    const auto due =
        frequent ? std::min(next_kv_read_at_, now + frequent_read_period)
                 : next_kv_read_at_;
    if (reading_kv_ || now < due)
        return reads;
    std::uniform_int_distribution<duration::rep> jitter(
        0, duration{normal_read_jitter}.count());
    next_kv_read_at_ =
        now + (frequent ? duration{frequent_read_period}
                        : normal_read_period + duration{jitter(random_)});
    reading_kv_ = true;
    reads.from_kv = true;
    return reads;
}

const preset_snapshot& preset_follower::current() const
{
    return current_;
}

generation preset_follower::current_generation() const
{
    return current_ ? current_->generation_number : 0;
}

std::optional<time_point> preset_follower::last_kv_response_at() const
{
    return last_kv_response_at_;
}

const failure& preset_follower::last_failure() const
{
    return last_failure_;
}

std::optional<preset_replacement>
preset_follower::replacement_of(const std::optional<std::string>& stored) const
{
    if (!current_)
        return std::nullopt;
    auto newest = *current_;
    if (stored)
    {
        failure ignored;
        auto accepted = parse_envelope(*stored, ignored);
        if (!accepted || (accepted->generation_number == current_generation() &&
                          accepted->nonce == current_->nonce))
            return std::nullopt;
        if (is_superseded_by(*current_, *accepted))
            newest = succeed(*current_, std::move(*accepted));
    }
    return preset_replacement{stored, newest.generation_number,
                              to_envelope(newest)};
}

bool preset_follower::adopt(std::string_view envelope)
{
    auto accepted = parse_envelope(envelope, last_failure_);
    if (!accepted || accepted->generation_number <= current_generation())
        return false;
    current_ = std::make_shared<const accepted_preset>(std::move(*accepted));
    return true;
}

} // namespace baobabloft::config
