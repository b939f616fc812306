#include "baobabloft/ledger/appender.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace baobabloft::ledger
{

namespace
{

constexpr std::size_t entries_per_read = 64;
constexpr double max_tokens = 2;
constexpr duration first_back_off = 50ms;
constexpr duration longest_back_off = 1s;
constexpr duration compaction_period = 60s;
/// A claim of another attempt is looked up again after this.
constexpr duration stale_after = 500ms;
/// Keys from further ahead than this are refused: they would outlive the
/// retention.
constexpr std::uint64_t max_future_ms = 60'000;
/// Stored size of a record besides its answer, about.
constexpr std::size_t record_bytes = 64;

std::size_t size_of(const record& content)
{
    return record_bytes + content.upstream_response.body.size() +
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
        reply_to(ticket, content, {.result = append_result::key_from_future});
        return;
    }
    if (waiting_.size() >= options_.max_waiting_records)
    {
        reply_to(ticket, content, {.result = append_result::overloaded});
        return;
    }
    const auto same = std::find_if(waiting_.begin(), waiting_.end(),
                                   [&](const waiting_record& other)
                                   { return other.ticket == ticket; });
    if (same == waiting_.end())
        waiting_.push_back({ticket, content});
    if (phase_ == phase::unloaded)
    {
        load(now);
        return;
    }
    if (phase_ != phase::ready)
        return;
    const auto known = state_.find(content.key);
    if (known.status == key_status::claimed && is_stale(now))
    {
        // Another appender may have recorded the end of this claim.
        load(now);
        return;
    }
    answer_settled();
    advance(now);
}

void appender::on_entries_read(time_point now,
                               const std::vector<log_entry>& entries)
{
    assert(phase_ == phase::loading && "no read was asked for");
    failures_ = 0;
    last_contact_ = now;
    for (const auto& entry : entries)
    {
        const auto last = state_.last_entry();
        if (last && entry.number != *last + 1)
        {
            // Older entries were deleted between two reads: start again.
            state_ = {};
            load(now);
            return;
        }
        const auto content = decode_batch(entry.bytes);
        if (!content)
        {
            // Going on without this entry could run a call twice.
            ++counts_.damaged_entries;
            back_off(now);
            return;
        }
        state_.apply(entry.number, *content);
    }
    if (entries.size() >= entries_per_read)
    {
        load(now);
        return;
    }
    phase_ = phase::ready;
    answer_settled();
    advance(now);
}

void appender::on_read_failed(time_point now)
{
    assert(phase_ == phase::loading && "no read was asked for");
    back_off(now);
}

void appender::on_entry_created(time_point now, bool created)
{
    assert(phase_ == phase::writing && "no write was asked for");
    if (!created)
    {
        ++counts_.lost_races;
        load(now);
        return;
    }
    failures_ = 0;
    last_contact_ = now;
    counts_.records += in_flight_.records.size();
    state_.apply(state_.last_entry().value_or(0) + 1, in_flight_);
    phase_ = phase::ready;
    settle_written();
    answer_settled();
    advance(now);
}

void appender::on_create_unconfirmed(time_point now)
{
    assert(phase_ == phase::writing && "no write was asked for");
    // The log itself tells whether the entry exists: every waiting record is
    // settled by what is read, whoever wrote it.
    ++counts_.unknown_writes;
    back_off(now);
}

void appender::on_entries_deleted(entry_number end)
{
    state_.record_deleted_before(end);
}

void appender::tick(time_point now, std::uint64_t wall_ms)
{
    wall_ms_ = std::max(wall_ms_, wall_ms);
    if (phase_ == phase::backing_off && now >= retry_at_)
        load(now);
    if (phase_ == phase::ready)
        advance(now);
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

std::size_t appender::waiting_records() const
{
    return waiting_.size();
}

const appender_counts& appender::counts() const
{
    return counts_;
}

void appender::load(time_point /*now*/)
{
    phase_ = phase::loading;
    ++counts_.reads;
    std::optional<entry_number> first;
    if (const auto last = state_.last_entry())
        first = *last + 1;
    actions_.emplace_back(
        read_entries{options_.shard, first, entries_per_read});
}

void appender::advance(time_point now)
{
    if (!waiting_.empty() && take_write_token(now))
        write(now);
}

void appender::write(time_point /*now*/)
{
    in_flight_ = make_batch();
    phase_ = phase::writing;
    ++counts_.writes;
    actions_.emplace_back(create_entry{options_.shard,
                                       state_.last_entry().value_or(0) + 1,
                                       encode_batch(in_flight_)});
}

void appender::answer_settled()
{
    std::erase_if(waiting_,
                  [this](const waiting_record& item)
                  {
                      auto response = settled_response(item.content);
                      if (!response)
                          return false;
                      reply_to(item.ticket, item.content, std::move(*response));
                      return true;
                  });
}

void appender::reply_to(const append_ticket& ticket, const record& content,
                        append_response response)
{
    response.sequence = ticket.sequence;
    response.attempt = content.attempt;
    outcomes_.push_back({ticket, std::move(response)});
}

void appender::settle_written()
{
    const auto is_written = [this](const waiting_record& item)
    {
        const auto& written = in_flight_.records;
        return item.content.kind != record_kind::claimed &&
               std::find(written.begin(), written.end(), item.content) !=
                   written.end();
    };
    std::erase_if(waiting_,
                  [&](const waiting_record& item)
                  {
                      if (!is_written(item))
                          return false;
                      reply_to(item.ticket, item.content, {});
                      return true;
                  });
}

bool appender::is_stale(time_point now) const
{
    return now - last_contact_ >= stale_after;
}

std::optional<append_response>
appender::settled_response(const record& content) const
{
    const auto known = state_.find(content.key);
    const bool own = known.attempt == content.attempt;
    append_response response;
    response.fencing_number = state_.last_entry().value_or(0);
    // A release or an answer is settled only by its own write: this router may
    // not have read the claim that it ends yet.
    if (content.kind != record_kind::claimed)
        return std::nullopt;
    switch (known.status)
    {
    case key_status::free:
        if (!known.has_released(content.attempt))
            return std::nullopt;
        // The claim was given up and given back; it only still waited here.
        response.result = append_result::claimed_by_other;
        return response;
    case key_status::claimed:
        if (!own)
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
    // The horizon follows the keys themselves as well as the clock, so that one
    // host with a fast clock cannot push every key beyond it.
    const auto reached_ms = std::min(wall_ms_, state_.newest_key_ms());
    const auto oldest_ms =
        reached_ms > retention_ms ? reached_ms - retention_ms : 0;
    batch result{.nonce = random_(),
                 .low_water_mark_ms =
                     std::max(state_.low_water_mark_ms(), oldest_ms),
                 .records = {}};
    std::size_t bytes = 0;
    for (const auto& item : waiting_)
    {
        if (result.records.size() >= options_.max_records_per_entry)
            break;
        bytes += size_of(item.content);
        if (bytes > options_.max_bytes_per_entry && !result.records.empty())
            break;
        result.records.push_back(item.content);
    }
    return result;
}

void appender::compact(time_point now)
{
    if (!first_compaction_planned_)
    {
        // A random phase keeps the shards from compacting together.
        std::uniform_int_distribution<duration::rep> phase(
            0, compaction_period.count());
        next_compaction_ = now + duration{phase(random_)};
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
        to_seconds(now - tokens_updated_) * options_.writes_per_second;
    tokens_ = std::min(max_tokens, tokens_ + earned);
    tokens_updated_ = now;
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

void appender::back_off(time_point now)
{
    phase_ = phase::backing_off;
    const auto delay =
        std::min(first_back_off * (1U << std::min(failures_, 6U)),
                 duration{longest_back_off});
    ++failures_;
    retry_at_ = now + delay;
}

} // namespace baobabloft::ledger
