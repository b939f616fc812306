#include "baobabloft/ledger/appender.hpp"

#include "baobabloft/support/hash.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace baobabloft::ledger
{

namespace
{

constexpr std::size_t entries_per_read = 64;
constexpr double max_write_tokens = 2;
constexpr duration first_back_off = 50ms;
constexpr duration max_back_off = 1s;
constexpr duration compaction_period = 60s;
/// If the log was last read or written longer ago, it is read again before a
/// claim is refused because another attempt holds the key.
constexpr duration state_stale_after = 500ms;
/// Longest time between contacts with the KV service within one view of the
/// log. The service is unavailable for longer when it is restored from a copy.
constexpr duration max_contact_gap = 900ms;
constexpr unsigned max_outdated_checks = 3;
/// Keys created further in the future than this are refused, since they would
/// be kept beyond the retention period.
constexpr std::uint64_t max_future_ms = 60'000;
/// Approximate stored size of a record without its upstream response.
constexpr std::size_t record_overhead_bytes = 64;

std::size_t stored_size(const record& content)
{
    return record_overhead_bytes + content.upstream_response.body.size() +
           content.upstream_response.content_type.size();
}

} // namespace

appender::appender(const appender_options& options)
    : options_(options), random_(options.seed)
{
}

void appender::submit(time_point now, std::uint64_t wall_ms,
                      const append_ticket& ticket, const record& content)
{
    wall_ms_ = std::max(wall_ms_, wall_ms);
    const bool is_claim = content.kind == record_kind::claimed;
    if (is_claim && created_at_ms(content.key) > wall_ms_ + max_future_ms)
    {
        respond(ticket, content, {.result = append_result::key_from_future});
        return;
    }
    if (waiting_.size() >= options_.max_waiting_records)
    {
        respond(ticket, content, {.result = append_result::overloaded});
        return;
    }
    const auto same = std::find_if(waiting_.begin(), waiting_.end(),
                                   [&](const waiting_record& other)
                                   { return other.ticket == ticket; });
    if (same == waiting_.end())
        waiting_.push_back({ticket, content});
    if (phase_ == phase::unloaded)
    {
        read_log(now);
        return;
    }
    if (phase_ != phase::ready)
        return;
    const auto known = state_.find(content.key);
    const bool may_have_changed =
        known.status == key_status::claimed ||
        (is_claim && known.status == key_status::free);
    if (may_have_changed && is_state_stale(now))
    {
        // Another appender may have recorded a claim or its end since the last
        // contact, so read the log before responding.
        read_log(now);
        return;
    }
    respond_to_settled();
    write_if_allowed(now);
}

void appender::on_entries_read(time_point now,
                               const std::vector<log_entry>& entries)
{
    assert(phase_ == phase::loading && "no read is in progress");
    consecutive_failures_ = 0;
    if (has_lost_entries(entries))
    {
        recover_lost_entries(now);
        return;
    }
    record_contact(now);
    for (const auto& entry : entries)
    {
        const auto last = state_.last_entry();
        if (last && entry.number == *last)
            continue;
        if (last && entry.number != *last + 1)
        {
            // Entries in between were deleted since the last read; rebuild the
            // state from the oldest entry.
            state_ = {};
            read_log(now);
            return;
        }
        const auto content = decode_batch(entry.bytes);
        if (!content)
        {
            // Skipping this entry could let a call run twice.
            ++counts_.damaged_entries;
            back_off(now);
            return;
        }
        state_.apply(entry.number, *content, hash_bytes(entry.bytes));
        last_entry_bytes_ = entry.bytes;
    }
    if (entries.size() >= entries_per_read)
    {
        read_log(now);
        return;
    }
    drop_stored_records();
    may_have_written_ = false;
    phase_ = phase::ready;
    respond_to_settled();
    write_if_allowed(now);
}

void appender::on_read_failed(time_point now)
{
    assert(phase_ == phase::loading && "no read is in progress");
    view_broken_ = true;
    back_off(now);
}

void appender::on_entry_created(time_point now, bool created)
{
    assert(phase_ == phase::writing && "no write is in progress");
    const auto lost_records_written = std::exchange(lost_records_in_flight_, 0);
    may_have_written_ = false;
    const bool lost_during_write = std::exchange(lost_during_write_, false);
    if (!created)
    {
        ++counts_.lost_races;
        read_log(now);
        return;
    }
    if (lost_during_write)
        refuse_claims_in_flight();
    consecutive_failures_ = 0;
    record_contact(now);
    counts_.records += batch_in_flight_.records.size();
    state_.apply(state_.last_entry().value_or(0) + 1, batch_in_flight_,
                 hash_bytes(bytes_in_flight_));
    lost_records_.erase(lost_records_.begin(),
                        lost_records_.begin() +
                            static_cast<std::ptrdiff_t>(lost_records_written));
    last_entry_bytes_ = std::move(bytes_in_flight_);
    phase_ = phase::ready;
    respond_to_written();
    respond_to_settled();
    write_if_allowed(now);
}

void appender::on_create_unconfirmed(time_point now)
{
    assert(phase_ == phase::writing && "no write is in progress");
    // Reading the log shows whether the entry exists. The waiting records are
    // settled by what is read, regardless of which appender wrote it.
    ++counts_.unknown_writes;
    view_broken_ = true;
    if (std::exchange(lost_during_write_, false))
        refuse_claims_in_flight();
    lost_records_in_flight_ = 0;
    back_off(now);
}

void appender::on_history_checked(time_point now, const check_history& action,
                                  const history_result& result)
{
    if (action.view != view_)
        return;
    check_in_progress_ = false;
    if (result.is_outdated && ++outdated_checks_ < max_outdated_checks)
    {
        if (phase_ == phase::ready)
            read_log(now);
        return;
    }
    const auto covered_ms = static_cast<std::uint64_t>(result.covered / 1ms);
    covered_since_ms_ = std::min(
        covered_since_ms_, wall_ms_ > covered_ms ? wall_ms_ - covered_ms : 0);
    checked_since_ms_ =
        std::min(checked_since_ms_.value_or(action.since_ms), action.since_ms);
    if (phase_ != phase::ready)
        return;
    respond_to_settled();
    write_if_allowed(now);
}

void appender::on_entries_deleted(entry_number end)
{
    state_.record_deleted_before(end);
}

void appender::handle_possible_loss(time_point now, std::uint64_t wall_ms,
                                    std::uint64_t since_ms)
{
    wall_ms_ = std::max(wall_ms_, wall_ms);
    plan_loss_record();
    view_broken_ = true;
    loss_since_ms_ = since_ms;
    if (phase_ == phase::writing)
        lost_during_write_ = true;
    else if (may_have_written_)
        refuse_claims_in_flight();
    // In any other phase a read follows, or a write that fails if entries are
    // missing.
    if (phase_ == phase::unloaded || phase_ == phase::ready)
        read_log(now);
}

void appender::tick(time_point now, std::uint64_t wall_ms)
{
    wall_ms_ = std::max(wall_ms_, wall_ms);
    if (phase_ == phase::backing_off && now >= retry_at_)
        read_log(now);
    if (phase_ == phase::ready)
        write_if_allowed(now);
    compact(now);
}

std::vector<log_action> appender::take_actions()
{
    return std::exchange(actions_, {});
}

std::vector<append_outcome> appender::take_outcomes()
{
    return std::exchange(outcomes_, {});
}

const shard_state& appender::state() const
{
    return state_;
}

bool appender::has_unrecorded_loss() const
{
    return !lost_records_.empty();
}

std::size_t appender::waiting_records() const
{
    return waiting_.size();
}

const appender_counts& appender::counts() const
{
    return counts_;
}

void appender::read_log(time_point /*now*/)
{
    phase_ = phase::loading;
    ++counts_.reads;
    // The last entry applied is read again to see whether it is still there.
    actions_.emplace_back(
        read_entries{options_.shard, state_.last_entry(), entries_per_read});
}

bool appender::has_lost_entries(const std::vector<log_entry>& entries) const
{
    const auto last = state_.last_entry();
    if (!last)
        return false;
    if (entries.empty())
        return true;
    return entries.front().number == *last &&
           entries.front().bytes != last_entry_bytes_;
}

void appender::recover_lost_entries(time_point now)
{
    ++counts_.losses;
    view_broken_ = true;
    std::erase_if(lost_records_, [](const record& item)
                  { return item.kind == record_kind::entries_lost; });
    for (auto& item : state_.records())
        lost_records_.push_back(std::move(item));
    plan_loss_record();
    if (!loss_since_ms_)
        loss_since_ms_ = wall_ms_ - static_cast<std::uint64_t>(
                                        (now - last_contact_at_) / 1ms);
    state_ = {};
    read_log(now);
}

void appender::plan_loss_record()
{
    // Replaces an earlier one unless it is being written.
    const bool has_unsent = lost_records_.size() > lost_records_in_flight_;
    if (has_unsent && lost_records_.back().kind == record_kind::entries_lost)
        lost_records_.pop_back();
    const auto lost_until_ms = std::max(wall_ms_, state_.newest_key_ms());
    lost_records_.push_back({record_kind::entries_lost,
                             make_idempotency_key(lost_until_ms, 0, 0),
                             random_(),
                             {}});
}

void appender::refuse_claims_in_flight()
{
    // The write may have reached the service after its entries were lost.
    const auto& written = batch_in_flight_.records;
    std::erase_if(waiting_,
                  [&](const waiting_record& item)
                  {
                      if (item.content.kind != record_kind::claimed ||
                          std::find(written.begin(), written.end(),
                                    item.content) == written.end())
                          return false;
                      respond(item.ticket, item.content,
                              {.result = append_result::below_low_water_mark});
                      return true;
                  });
}

void appender::drop_stored_records()
{
    const auto since_ms = std::exchange(loss_since_ms_, std::nullopt);
    // True if another appender has recorded the same loss.
    const bool is_recorded = since_ms && state_.lost_until_ms() > *since_ms;
    std::erase_if(lost_records_,
                  [this, is_recorded](const record& item)
                  {
                      if (item.kind == record_kind::entries_lost)
                          return is_recorded;
                      const auto known = state_.find(item.key);
                      if (known.status == key_status::free)
                          return false;
                      return item.kind == record_kind::claimed ||
                             known.status != key_status::claimed ||
                             known.attempt != item.attempt;
                  });
}

void appender::write_if_allowed(time_point now)
{
    const auto may_write = [this](const waiting_record& item)
    {
        return !is_uncovered(item.content);
    };
    const bool has_records =
        !lost_records_.empty() ||
        std::any_of(waiting_.begin(), waiting_.end(), may_write);
    if (!has_records)
        return;
    if (now - last_contact_at_ > max_contact_gap)
        read_log(now);
    else if (take_write_token(now))
        start_write(now);
}

void appender::start_write(time_point /*now*/)
{
    batch_in_flight_ = make_batch();
    phase_ = phase::writing;
    ++counts_.writes;
    bytes_in_flight_ = encode_batch(batch_in_flight_);
    may_have_written_ = true;
    const auto last = state_.last_entry();
    actions_.emplace_back(
        create_entry{options_.shard, last.value_or(0) + 1, bytes_in_flight_,
                     last ? last_entry_bytes_ : std::string{}});
}

void appender::record_contact(time_point now)
{
    if (std::exchange(view_broken_, false) ||
        now - last_contact_at_ > max_contact_gap)
    {
        ++view_;
        covered_since_ms_ = wall_ms_;
        checked_since_ms_.reset();
        check_in_progress_ = false;
        outdated_checks_ = 0;
    }
    last_contact_at_ = now;
}

bool appender::is_uncovered(const record& content) const
{
    return content.kind == record_kind::claimed &&
           created_at_ms(content.key) <= covered_since_ms_ &&
           state_.find(content.key).status == key_status::free;
}

void appender::settle_uncovered()
{
    std::optional<std::uint64_t> oldest_ms;
    std::erase_if(
        waiting_,
        [&](const waiting_record& item)
        {
            if (!is_uncovered(item.content))
                return false;
            const auto created_ms = created_at_ms(item.content.key);
            if (checked_since_ms_ && created_ms >= *checked_since_ms_)
            {
                respond(item.ticket, item.content,
                        {.result = append_result::below_low_water_mark});
                return true;
            }
            oldest_ms = std::min(oldest_ms.value_or(created_ms), created_ms);
            return false;
        });
    if (!oldest_ms || check_in_progress_)
        return;
    check_in_progress_ = true;
    actions_.emplace_back(check_history{options_.shard, *oldest_ms, view_});
}

void appender::respond_to_settled()
{
    settle_uncovered();
    std::erase_if(waiting_,
                  [this](const waiting_record& item)
                  {
                      auto response = settled_response(item.content);
                      if (!response)
                          return false;
                      respond(item.ticket, item.content, std::move(*response));
                      return true;
                  });
}

void appender::respond(const append_ticket& ticket, const record& content,
                       append_response response)
{
    response.sequence = ticket.sequence;
    response.attempt = content.attempt;
    outcomes_.push_back({ticket, std::move(response)});
}

void appender::respond_to_written()
{
    const auto is_written = [this](const waiting_record& item)
    {
        const auto& written = batch_in_flight_.records;
        return item.content.kind != record_kind::claimed &&
               std::find(written.begin(), written.end(), item.content) !=
                   written.end();
    };
    std::erase_if(waiting_,
                  [&](const waiting_record& item)
                  {
                      if (!is_written(item))
                          return false;
                      respond(item.ticket, item.content, {});
                      return true;
                  });
}

bool appender::is_state_stale(time_point now) const
{
    return now - last_contact_at_ >= state_stale_after;
}

std::optional<append_response>
appender::settled_response(const record& content) const
{
    const auto known = state_.find(content.key);
    const bool is_same_attempt = known.attempt == content.attempt;
    append_response response;
    response.fencing_number = state_.last_entry().value_or(0);
    // A release or a result is settled only when this appender has written it:
    // the local state may not yet contain the claim that the record ends.
    if (content.kind != record_kind::claimed)
        return std::nullopt;
    switch (known.status)
    {
    case key_status::free:
        if (!known.has_released(content.attempt))
            return std::nullopt;
        // The router gave up this claim and released it through another
        // appender while a copy was still waiting here.
        response.result = append_result::claimed_by_other;
        return response;
    case key_status::claimed:
        if (!is_same_attempt)
            response.result = append_result::claimed_by_other;
        return response;
    case key_status::done:
        response.result = append_result::already_done;
        response.upstream_response = known.upstream_response;
        return response;
    case key_status::below_low_water_mark:
        response.result = append_result::below_low_water_mark;
        return response;
    }
    return std::nullopt;
}

batch appender::make_batch()
{
    const auto retention_ms =
        static_cast<std::uint64_t>(options_.retention.count());
    // The low-water mark is bounded by the newest key as well as by the wall
    // clock, so that one host with a fast clock cannot push all keys below it.
    const auto newest_trusted_ms = std::min(wall_ms_, state_.newest_key_ms());
    const auto oldest_retained_ms =
        newest_trusted_ms > retention_ms ? newest_trusted_ms - retention_ms : 0;
    batch result{.nonce = random_(),
                 .low_water_mark_ms =
                     std::max(state_.low_water_mark_ms(), oldest_retained_ms),
                 .records = {}};
    std::size_t bytes = 0;
    const auto add = [&](const record& content)
    {
        bytes += stored_size(content);
        if (result.records.size() >= options_.max_records_per_entry ||
            (bytes > options_.max_bytes_per_entry && !result.records.empty()))
            return false;
        result.records.push_back(content);
        return true;
    };
    const bool all_lost_added =
        std::all_of(lost_records_.begin(), lost_records_.end(), add);
    lost_records_in_flight_ = result.records.size();
    if (all_lost_added)
        for (const auto& item : waiting_)
            if (!is_uncovered(item.content) && !add(item.content))
                break;
    return result;
}

void appender::compact(time_point now)
{
    if (!first_compaction_planned_)
    {
        // A random initial delay keeps the shards from compacting at the same
        // time.
        std::uniform_int_distribution<duration::rep> initial_delay(
            0, compaction_period.count());
        next_compaction_ = now + duration{initial_delay(random_)};
        first_compaction_planned_ = true;
    }
    if (now < next_compaction_ || phase_ != phase::ready)
        return;
    next_compaction_ = now + compaction_period;
    const auto first = state_.first_undeleted_entry();
    const auto end = state_.first_needed_entry();
    if (first < end)
        actions_.emplace_back(delete_entries{options_.shard, first, end});
}

bool appender::take_write_token(time_point now)
{
    const double earned =
        to_seconds(now - write_tokens_updated_) * options_.writes_per_second;
    write_tokens_ = std::min(max_write_tokens, write_tokens_ + earned);
    write_tokens_updated_ = now;
    if (write_tokens_ < 1)
        return false;
    write_tokens_ -= 1;
    return true;
}

void appender::back_off(time_point now)
{
    phase_ = phase::backing_off;
    const auto delay =
        std::min(first_back_off * (1U << std::min(consecutive_failures_, 6U)),
                 duration{max_back_off});
    ++consecutive_failures_;
    retry_at_ = now + delay;
}

} // namespace baobabloft::ledger
