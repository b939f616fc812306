// The features of requests that crash upstreams. Requests with such a feature
// are refused; now and then one is let through as a trial. Does no I/O.
#pragma once

#include "baobabloft/routing/crash_judge.hpp"

namespace baobabloft::routing
{

/// Settings of quarantine.
struct quarantine_options
{
    /// Time from the quarantine of a feature to the first trial. Later pauses
    /// are each longer by a factor of `trial_pause_growth`.
    duration trial_pause = 10s;
    int trial_pause_growth = 4;
    /// Pause after the first trial of a feature whose crashes all have another
    /// known cause; doubles with each up to `trial_pause`.
    duration explained_trial_pause = 1s;
    /// A quarantine ends by itself after this time without a crash.
    duration lifetime = 600s;
};

/// Whether a request may run.
enum class admission
{
    admitted,
    refused,
    /// It may run if no other router runs such a trial at the moment.
    trial_due
};

/// The features in quarantine, as one router knows them.
class quarantine
{
public:
    explicit quarantine(const quarantine_options& options = {});

    /// Adds a feature, or what another judge knows of its crashes. Returns true
    /// if it was not in quarantine.
    bool add(time_point now, const quarantine_record& record);

    /// Adds crashes of a feature in quarantine that happened before it was.
    void add_crashes(request_feature feature,
                     std::span<const crash_event> crashes);

    /// Returns true if the feature was in quarantine.
    bool erase(request_feature feature);

    /// Records another crash of a feature in quarantine.
    void record_crash(time_point now, request_feature feature,
                      upstream_id upstream);

    /// Returns what is known of a feature in quarantine.
    [[nodiscard]] std::optional<quarantine_record>
    find(time_point now, request_feature feature) const;

    /// Returns those of the features that are in quarantine.
    [[nodiscard]] std::vector<request_feature>
    quarantined(time_point now,
                std::span<const request_feature> features) const;

    /// Returns all features in quarantine.
    [[nodiscard]] std::vector<quarantine_record> records(time_point now) const;

    /// Returns true if at each of the crashes a request with a feature in
    /// quarantine was running, other than the features of `request`. A feature
    /// of one of the crashes alone is no explanation, and neither is a repeated
    /// request if the crashes are those of a part, which it may contain.
    [[nodiscard]] bool
    is_explained(std::span<const crash_event> crashes, bool is_whole_request,
                 std::span<const request_feature> request) const;

    [[nodiscard]] admission
    check(time_point now, std::span<const request_feature> features) const;

    /// Returns the time from which a request with these features, all in
    /// quarantine, may run as a trial.
    [[nodiscard]] time_point
    next_trial_at(std::span<const request_feature> features) const;

    /// Records that a trial of these features has begun.
    void begin_trial(time_point now, std::span<const request_feature> features);

    /// Lets no trial of these features begin before `earliest`.
    void postpone_trial(std::span<const request_feature> features,
                        time_point earliest);

private:
    struct entry
    {
        std::vector<crash_event> crashes;
        bool is_whole_request = false;
        time_point updated_at;
        /// Next trial of a request in which nothing else explains the crashes.
        time_point next_trial_at;
        duration trial_pause{0};
        /// Next trial of other requests.
        time_point next_explained_trial_at;
        duration explained_trial_pause{0};
    };

    [[nodiscard]] bool is_active(time_point now, const entry& item) const;
    /// Lengthens the pause, unless it grew a short time ago.
    void lengthen_pause(time_point now, entry& item) const;
    [[nodiscard]] quarantine_record
    record_of(time_point now, request_feature feature, const entry& item) const;
    void erase_expired(time_point now);

    quarantine_options options_;
    std::unordered_map<request_feature, entry> entries_;
};

} // namespace baobabloft::routing
