#include "baobabloft/routing/crash_protection.hpp"

#include "baobabloft/support/hash.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace baobabloft::routing
{

namespace
{

/// Keeps the ids of whole requests distinct from those of prompt parts.
constexpr std::uint64_t whole_request_salt = 0x7265'7175'6573'7400;
/// A crash is noticed later than a success of the next attempt, so a success
/// shortly before a report may have followed the crash.
constexpr duration recent_success = 2s;
/// A quarantine and its end are announced again after these times.
constexpr std::array announcement_delays{300ms, 1000ms};
/// Records per datagram, which must hold all of their crashes.
constexpr std::size_t max_records_per_notice = 10;
/// Routers asked for the features in quarantine after a start.
constexpr std::size_t max_routers_to_ask = 5;
/// A request that has crashed several upstreams here is refused for this time,
/// in which its judges decide.
constexpr duration judgement_time = 1s;
constexpr duration suspect_lifetime = 600s;
constexpr std::size_t max_noted_crashes = 8192;
constexpr std::size_t max_pending_trials = 64;
constexpr std::size_t max_waiting_requests = 256;

} // namespace

request_feature feature_of(fingerprint request)
{
    return request_feature{hash_combine(raw(request), whole_request_salt)};
}

crash_protection::crash_protection(router_id self, member_source members,
                                   const crash_protection_options& options)
    : self_(self), members_(std::move(members)), options_(options),
      judge_(options.judge), quarantine_(options.quarantine)
{
}

void crash_protection::tick(time_point now)
{
    const auto decisions =
        judge_.take_decisions(now,
                              [this](const crash_verdict& suspect)
                              {
                                  return quarantine_.is_explained(
                                      suspect.crashes, suspect.is_whole_request,
                                      {&suspect.feature, 1});
                              });
    for (const auto& query : decisions.queries)
    {
        send_to_all(query);
        handle(now, self_, query);
    }
    for (const auto& verdict : decisions.verdicts)
        begin_quarantine(now, verdict);
    repeat_announcements(now);
    check_trial_timeouts(now);
    if (start_deadline_ && now >= *start_deadline_)
        finish_start(now);
}

void crash_protection::begin_quarantine(time_point now,
                                        const crash_verdict& verdict)
{
    quarantine_record record{.feature = verdict.feature,
                             .is_whole_request = verdict.is_whole_request,
                             .crashes = {}};
    for (const auto& crash : verdict.crashes)
        record.crashes.push_back({crash.upstream, static_cast<std::uint32_t>(
                                                      (now - crash.at) / 1ms)});
    add_to_quarantine(now, record);
    send_to_all(notice_of(now, {&record.feature, 1}));
    for (const duration delay : announcement_delays)
        announcements_.push_back({.feature = verdict.feature,
                                  .at = now + delay,
                                  .is_cleared = false});
}

void crash_protection::announce_later(time_point now, request_feature feature)
{
    if (std::ranges::find(announcements_, feature, &announcement::feature) ==
        announcements_.end())
        announcements_.push_back({.feature = feature,
                                  .at = now + announcement_delays.front(),
                                  .is_cleared = false});
}

void crash_protection::add_to_quarantine(time_point now,
                                         const quarantine_record& record)
{
    const auto feature = record.feature;
    if (quarantine_.add(now, record))
        changes_.added.push_back(feature);
    // Another judge may have missed reports that arrived here.
    if (const auto crashes = judge_.crashes_of(feature); !crashes.empty())
    {
        quarantine_.add_crashes(feature, crashes);
        judge_.clear({&feature, 1});
        announce_later(now, feature);
    }
}

void crash_protection::repeat_announcements(time_point now)
{
    std::vector<request_feature> due;
    std::vector<request_feature> due_cleared;
    std::erase_if(
        announcements_,
        [&](const announcement& item)
        {
            if (item.at > now)
                return false;
            (item.is_cleared ? due_cleared : due).push_back(item.feature);
            return true;
        });
    if (!due_cleared.empty())
        send_to_all(features_cleared{std::move(due_cleared)});
    for (std::span rest{due}; !rest.empty();)
    {
        const auto count = std::min(rest.size(), max_records_per_notice);
        if (auto notice = notice_of(now, rest.first(count));
            !notice.records.empty())
            send_to_all(notice);
        rest = rest.subspan(count);
    }
}

quarantine_notice
crash_protection::notice_of(time_point now,
                            std::span<const request_feature> features) const
{
    quarantine_notice notice;
    for (const auto feature : features)
        if (auto record = quarantine_.find(now, feature))
            notice.records.push_back(std::move(*record));
    return notice;
}

void crash_protection::report_crash(time_point now,
                                    const feature_crash_report& report)
{
    note_crash(now, report.request, report.upstream);
    const auto members = members_();
    std::vector<std::uint64_t> hashes;
    hashes.reserve(members.size());
    for (const auto& member : members)
        hashes.push_back(member.hash);
    std::map<router_id, feature_crash_report> by_judge;
    for (const auto feature : report.features)
        for (const auto judge : judges_of(feature, hashes))
            by_judge
                .try_emplace(
                    members[judge].id,
                    feature_crash_report{report.request, report.upstream, {}})
                .first->second.features.push_back(feature);
    for (auto& [judge, judged] : by_judge)
        if (judge == self_)
            handle(now, self_, judged);
        else
            send(judge, std::move(judged));
}

void crash_protection::note_crash(time_point now, fingerprint request,
                                  upstream_id upstream)
{
    std::erase_if(noted_crashes_, [now](const auto& item)
                  { return now - item.second.last.at >= suspect_lifetime; });
    if (noted_crashes_.size() >= max_noted_crashes)
        return;
    auto& noted = noted_crashes_[feature_of(request)];
    const crash_event crash{upstream, now};
    if (noted.count == 0 || !is_same_crash(noted.last, crash))
        ++noted.count;
    noted.last = crash;
}

bool crash_protection::is_suspect(time_point now, fingerprint request) const
{
    const auto found = noted_crashes_.find(feature_of(request));
    return found != noted_crashes_.end() &&
           now - found->second.last.at < suspect_lifetime;
}

void crash_protection::record_success(time_point now,
                                      std::span<const request_feature> features)
{
    for (const auto feature : features)
        own_successes_.record(now, feature);
    if (auto cleared = clear(features); !cleared.empty())
        announce_cleared(now, std::move(cleared));
}

std::vector<request_feature>
crash_protection::clear(std::span<const request_feature> features)
{
    judge_.clear(features);
    std::vector<request_feature> cleared;
    for (const auto feature : features)
    {
        noted_crashes_.erase(feature);
        if (quarantine_.erase(feature))
            cleared.push_back(feature);
    }
    changes_.cleared.insert(changes_.cleared.end(), cleared.begin(),
                            cleared.end());
    return cleared;
}

void crash_protection::announce_cleared(time_point now,
                                        std::vector<request_feature> features)
{
    std::erase_if(announcements_,
                  [&](const announcement& item) {
                      return std::ranges::find(features, item.feature) !=
                             features.end();
                  });
    for (const auto feature : features)
        for (const duration delay : announcement_delays)
            announcements_.push_back(
                {.feature = feature, .at = now + delay, .is_cleared = true});
    send_to_all(features_cleared{std::move(features)});
}

bool crash_protection::has_success_since(request_feature feature,
                                         time_point since) const
{
    return own_successes_.has_since(feature, since) ||
           reported_successes_.has_since(feature, since);
}

bool crash_protection::is_refuted(time_point now,
                                  const quarantine_record& record) const
{
    std::uint32_t age_ms = 0;
    for (const auto& crash : record.crashes)
        age_ms = std::max(age_ms, crash.age_ms);
    return has_success_since(record.feature,
                             now - age_ms * 1ms - recent_success);
}

admission
crash_protection::check(time_point now,
                        std::span<const request_feature> features) const
{
    if (const auto found = features.empty()
                               ? noted_crashes_.end()
                               : noted_crashes_.find(features.front());
        found != noted_crashes_.end() &&
        found->second.count >= options_.judge.crashes_of_request &&
        now - found->second.last.at < judgement_time)
        return admission::refused;
    if (is_starting())
        return waiting_requests_.size() < max_waiting_requests
                   ? admission::trial_due
                   : admission::refused;
    const auto verdict = quarantine_.check(now, features);
    const auto is_asked_for = [&](const pending_trial& trial)
    {
        return std::ranges::any_of(features,
                                   [&](request_feature feature) {
                                       return std::ranges::find(trial.features,
                                                                feature) !=
                                              trial.features.end();
                                   });
    };
    if (verdict == admission::trial_due &&
        (trials_.size() >= max_pending_trials ||
         std::ranges::any_of(trials_, is_asked_for)))
        return admission::refused;
    return verdict;
}

void crash_protection::request_trial(time_point now,
                                     std::span<const request_feature> features,
                                     trial_callback callback)
{
    if (is_starting())
    {
        waiting_requests_.push_back(
            {.features = {features.begin(), features.end()},
             .judges = {},
             .callback = std::move(callback)});
        return;
    }
    pending_trial trial{.features = quarantine_.quarantined(now, features),
                        .judges = {},
                        .callback = std::move(callback)};
    if (trial.features.empty())
    {
        trial.callback(true);
        return;
    }
    const auto members = members_();
    std::vector<std::uint64_t> hashes;
    hashes.reserve(members.size());
    for (const auto& member : members)
        hashes.push_back(member.hash);
    // Requests with the same features ask the same judges.
    for (const auto judge : judges_of(std::ranges::min(trial.features), hashes))
        trial.judges.insert(trial.judges.begin(), members[judge].id);
    if (const auto granted = ask_next_judge(now, trial))
        trial.callback(*granted);
    else
        trials_.push_back(std::move(trial));
}

std::optional<bool> crash_protection::ask_next_judge(time_point now,
                                                     pending_trial& trial)
{
    if (trial.judges.empty())
        return false;
    const auto judge = trial.judges.back();
    trial.judges.pop_back();
    if (judge == self_)
        return !grant_trial(now, trial.features);
    trial.sequence = ++last_sequence_;
    trial.asked_at = now;
    auto query = trial_query{.sequence = trial.sequence, .records = {}};
    query.records = notice_of(now, trial.features).records;
    if (query.records.size() > max_records_per_notice)
        return false;
    send(judge, std::move(query));
    return std::nullopt;
}

std::optional<duration>
crash_protection::grant_trial(time_point now,
                              std::span<const request_feature> features)
{
    if (const auto next = quarantine_.next_trial_at(features); next > now)
        return next - now;
    quarantine_.begin_trial(now, features);
    return std::nullopt;
}

void crash_protection::check_trial_timeouts(time_point now)
{
    std::vector<std::pair<trial_callback, bool>> decided;
    std::erase_if(trials_,
                  [&](pending_trial& trial)
                  {
                      if (now - trial.asked_at < options_.trial_query_timeout)
                          return false;
                      const auto granted = ask_next_judge(now, trial);
                      if (granted)
                          decided.emplace_back(std::move(trial.callback),
                                               *granted);
                      return granted.has_value();
                  });
    // The callbacks may request other trials.
    for (const auto& [callback, granted] : decided)
        callback(granted);
}

bool crash_protection::is_starting() const
{
    return start_deadline_.has_value();
}

void crash_protection::query_quarantine(time_point now)
{
    // Routers that start together ask different ones.
    auto members = members_();
    std::ranges::sort(members, {},
                      [this](const fleet_member& member)
                      { return hash_combine(raw(self_), raw(member.id)); });
    asked_routers_.clear();
    for (const auto& member : members)
    {
        if (member.id == self_)
            continue;
        if (asked_routers_.size() >= max_routers_to_ask)
            break;
        asked_routers_.push_back(member.id);
        send(member.id, quarantine_query{});
    }
    if (!asked_routers_.empty())
        start_deadline_ = now + options_.start_query_timeout;
}

void crash_protection::finish_start(time_point now)
{
    start_deadline_.reset();
    asked_routers_.clear();
    for (auto& item : std::exchange(waiting_requests_, {}))
        switch (check(now, item.features))
        {
        case admission::admitted:
            item.callback(true);
            break;
        case admission::refused:
            item.callback(false);
            break;
        case admission::trial_due:
            request_trial(now, item.features, std::move(item.callback));
            break;
        }
}

void crash_protection::handle(time_point now, router_id from,
                              const feature_crash_report& message)
{
    std::vector<request_feature> known;
    for (const auto feature : message.features)
    {
        if (!quarantine_.quarantined(now, {&feature, 1}).empty())
        {
            known.push_back(feature);
            quarantine_.record_crash(now, feature, message.upstream);
            announce_later(now, feature);
        }
        else if (!has_success_since(feature, now - recent_success))
            judge_.record_crash(now, feature, message,
                                feature == feature_of(message.request));
    }
    // The sender may have missed the quarantine.
    if (auto notice = notice_of(now, known); !notice.records.empty())
        send(from, std::move(notice));
}

void crash_protection::handle(time_point now, router_id from,
                              const success_query& message)
{
    const auto* last = own_successes_.find(message.feature);
    if (last == nullptr)
        return;
    if (now - *last <= message.within_ms * 1ms + recent_success)
    {
        if (from == self_)
            judge_.clear({&message.feature, 1});
        send(from, features_cleared{{message.feature}});
        return;
    }
    if (from == self_)
        judge_.record_older_successes({&message.feature, 1});
    send(from, older_successes{{message.feature}});
}

void crash_protection::handle(time_point now, router_id /*from*/,
                              const features_cleared& message)
{
    for (const auto feature : message.features)
        reported_successes_.record(now, feature);
    // A router that knows of a success responds to the announcement of a
    // quarantine; the others need to know.
    std::vector<request_feature> announced;
    for (const auto feature : clear(message.features))
        if (std::ranges::any_of(
                announcements_, [&](const announcement& item)
                { return item.feature == feature && !item.is_cleared; }))
            announced.push_back(feature);
    if (!announced.empty())
        announce_cleared(now, std::move(announced));
}

void crash_protection::handle(time_point /*now*/, router_id /*from*/,
                              const older_successes& message)
{
    judge_.record_older_successes(message.features);
}

void crash_protection::handle(time_point now, router_id from,
                              const quarantine_query& /*message*/)
{
    const auto records = quarantine_.records(now);
    std::span rest{records};
    // A router without any record responds as well.
    do
    {
        const auto chunk =
            rest.first(std::min(rest.size(), max_records_per_notice));
        rest = rest.subspan(chunk.size());
        send(from,
             quarantine_notice{.records = {chunk.begin(), chunk.end()},
                               .is_complete = rest.empty() && !is_starting()});
    } while (!rest.empty());
}

void crash_protection::handle(time_point now, router_id from,
                              const quarantine_notice& message)
{
    std::vector<request_feature> refuted;
    for (const auto& record : message.records)
        if (is_refuted(now, record))
            refuted.push_back(record.feature);
        else
            add_to_quarantine(now, record);
    if (!refuted.empty())
        send(from, features_cleared{std::move(refuted)});
    if (!is_starting())
        return;
    std::erase(asked_routers_, from);
    if (message.is_complete || asked_routers_.empty())
        finish_start(now);
}

void crash_protection::handle(time_point now, router_id from,
                              const feature_quarantine& message)
{
    quarantine_notice notice;
    for (const auto feature : message.features)
        notice.records.push_back({.feature = feature, .crashes = {}});
    handle(now, from, notice);
}

void crash_protection::handle(time_point now, router_id from,
                              const trial_query& message)
{
    std::vector<request_feature> refuted;
    std::vector<request_feature> features;
    for (const auto& record : message.records)
    {
        if (is_refuted(now, record))
        {
            refuted.push_back(record.feature);
            continue;
        }
        // This router may have started since.
        add_to_quarantine(now, record);
        features.push_back(record.feature);
    }
    if (!refuted.empty())
        send(from, features_cleared{std::move(refuted)});
    const auto wait = grant_trial(now, features);
    send(from, trial_response{.sequence = message.sequence,
                              .granted = !wait,
                              .retry_ms = static_cast<std::uint32_t>(
                                  wait.value_or(duration{}) / 1ms)});
}

void crash_protection::handle(time_point now, router_id /*from*/,
                              const trial_response& message)
{
    const auto found =
        std::ranges::find(trials_, message.sequence, &pending_trial::sequence);
    if (found == trials_.end())
        return;
    const auto trial = std::move(*found);
    trials_.erase(found);
    if (message.granted)
        quarantine_.begin_trial(now, trial.features);
    else
        quarantine_.postpone_trial(trial.features,
                                   now + message.retry_ms * 1ms);
    trial.callback(message.granted);
}

std::vector<addressed_protection_message> crash_protection::take_messages()
{
    return std::exchange(messages_, {});
}

quarantine_changes crash_protection::take_changes()
{
    return std::exchange(changes_, {});
}

std::vector<quarantine_record>
crash_protection::quarantined(time_point now) const
{
    return quarantine_.records(now);
}

void crash_protection::send(router_id to, protection_message content)
{
    if (to != self_)
        messages_.push_back({to, std::move(content)});
}

void crash_protection::send_to_all(const protection_message& content)
{
    for (const auto& member : members_())
        send(member.id, content);
}

} // namespace baobabloft::routing
