// Keeps requests that crash upstreams away from them, at all routers of a
// fleet: reports crashes to the judges of the requests' features, answers their
// queries, refuses requests with features in quarantine, and has a judge grant
// the trials that end a quarantine. Does no I/O: messages to send are returned.
#pragma once

#include "baobabloft/routing/quarantine.hpp"
#include "baobabloft/routing/success_log.hpp"

#include <variant>

namespace baobabloft::routing
{

/// Returns the feature that all repetitions of a request share.
[[nodiscard]] request_feature feature_of(fingerprint request);

/// A router of the fleet.
struct fleet_member
{
    router_id id{};
    /// Hash of its name, by which judges are ranked.
    std::uint64_t hash = 0;
};

/// Messages between the routers' instances of crash_protection.
using protection_message =
    std::variant<feature_crash_report, success_query, features_cleared,
                 older_successes, quarantine_query, quarantine_notice,
                 trial_query, trial_response>;

struct addressed_protection_message
{
    router_id to{};
    protection_message content;
};

/// Settings of crash_protection.
struct crash_protection_options
{
    crash_judge_options judge;
    quarantine_options quarantine;
    /// Time after which another judge is asked for a trial.
    duration trial_query_timeout = 100ms;
    /// Time that other routers have, after a start, to respond with the
    /// features in quarantine.
    duration start_query_timeout = 200ms;
};

/// Changes of the quarantine at this router, for logs.
struct quarantine_changes
{
    std::vector<request_feature> added;
    std::vector<request_feature> cleared;
};

/// One router's part in the protection of upstreams.
class crash_protection
{
public:
    /// Returns all routers of the fleet, this one included.
    using member_source = std::function<std::vector<fleet_member>()>;
    using trial_callback = std::function<void(bool granted)>;

    crash_protection(router_id self, member_source members,
                     const crash_protection_options& options = {});

    /// Takes the decisions that are due; to be called several times a second.
    void tick(time_point now);

    /// Reports to the judges that a request was running when its upstream
    /// crashed.
    void report_crash(time_point now, const feature_crash_report& report);

    /// Records that a request was running when its upstream crashed, without a
    /// report to the judges.
    void note_crash(time_point now, fingerprint request, upstream_id upstream);

    /// Returns true if the request was running at a crash and has not ended
    /// well since.
    [[nodiscard]] bool is_suspect(time_point now, fingerprint request) const;

    /// Records that a request with these features ended well.
    void record_success(time_point now,
                        std::span<const request_feature> features);

    /// Returns whether a request may run. The first feature is that of its
    /// repetitions. After a start, every request is a trial until it is known
    /// what is in quarantine.
    [[nodiscard]] admission
    check(time_point now, std::span<const request_feature> features) const;

    /// Asks the judges whether a request may run as a trial; calls back once,
    /// possibly before it returns.
    void request_trial(time_point now,
                       std::span<const request_feature> features,
                       trial_callback callback);

    /// Asks a few routers for the features in quarantine, after a start.
    void query_quarantine(time_point now);

    /// Returns true until it is known what is in quarantine, after a start.
    [[nodiscard]] bool is_starting() const;

    void handle(time_point now, router_id from,
                const feature_crash_report& message);
    void handle(time_point now, router_id from, const success_query& message);
    void handle(time_point now, router_id from,
                const features_cleared& message);
    void handle(time_point now, router_id from, const older_successes& message);
    void handle(time_point now, router_id from,
                const quarantine_query& message);
    void handle(time_point now, router_id from,
                const quarantine_notice& message);
    void handle(time_point now, router_id from, const trial_query& message);
    void handle(time_point now, router_id from, const trial_response& message);
    /// Handles an announcement of a router of a former version.
    void handle(time_point now, router_id from,
                const feature_quarantine& message);

    /// Returns the messages to send, and clears the list.
    std::vector<addressed_protection_message> take_messages();

    /// Returns what changed since the last call.
    quarantine_changes take_changes();

    /// Returns all features in quarantine.
    [[nodiscard]] std::vector<quarantine_record>
    quarantined(time_point now) const;

private:
    /// Crashes under one request, as far as this router knows.
    struct noted_crashes
    {
        crash_event last;
        std::size_t count = 0;
    };

    /// A quarantine or its end that this router announces once more.
    struct announcement
    {
        request_feature feature{};
        time_point at;
        bool is_cleared = false;
    };

    struct pending_trial
    {
        std::vector<request_feature> features;
        /// The judges not asked yet, next at the end.
        std::vector<router_id> judges;
        std::uint32_t sequence = 0;
        time_point asked_at{};
        trial_callback callback;
    };

    [[nodiscard]] bool has_success_since(request_feature feature,
                                         time_point since) const;
    /// Returns true if a request with the feature has ended well since the
    /// first crash of the record.
    [[nodiscard]] bool is_refuted(time_point now,
                                  const quarantine_record& record) const;
    /// Ends the quarantine of those features that are in quarantine here, and
    /// returns them.
    std::vector<request_feature>
    clear(std::span<const request_feature> features);
    void announce_cleared(time_point now,
                          std::vector<request_feature> features);
    void begin_quarantine(time_point now, const crash_verdict& verdict);
    void add_to_quarantine(time_point now, const quarantine_record& record);
    /// Announces what has become known of a feature in quarantine.
    void announce_later(time_point now, request_feature feature);
    /// Repeats announcements, since datagrams may be lost.
    void repeat_announcements(time_point now);
    [[nodiscard]] quarantine_notice
    notice_of(time_point now, std::span<const request_feature> features) const;
    /// Asks the next judge, or decides if this router is the next one. Returns
    /// the decision, if there is one.
    std::optional<bool> ask_next_judge(time_point now, pending_trial& trial);
    /// Decides on the requests that were received meanwhile.
    void finish_start(time_point now);
    /// Returns nothing if a trial of the features may begin, or the time until
    /// then.
    std::optional<duration>
    grant_trial(time_point now, std::span<const request_feature> features);
    void check_trial_timeouts(time_point now);
    void send(router_id to, protection_message content);
    void send_to_all(const protection_message& content);

    router_id self_;
    member_source members_;
    crash_protection_options options_;
    crash_judge judge_;
    quarantine quarantine_;
    success_log own_successes_;
    /// When other routers reported a success.
    success_log reported_successes_;
    std::unordered_map<request_feature, noted_crashes> noted_crashes_;
    std::vector<announcement> announcements_;
    std::vector<pending_trial> trials_;
    /// Routers asked after a start that have not responded yet, and the time by
    /// which they have to.
    std::vector<router_id> asked_routers_;
    std::optional<time_point> start_deadline_;
    /// Requests received until the start is finished; their judges are chosen
    /// then.
    std::vector<pending_trial> waiting_requests_;
    std::vector<addressed_protection_message> messages_;
    quarantine_changes changes_;
    std::uint32_t last_sequence_ = 0;
};

} // namespace baobabloft::routing
