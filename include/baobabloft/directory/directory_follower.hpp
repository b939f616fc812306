// Keeps the directory state true to the store: a whole read first, then paced
// watches; a whole read again whenever the history was lost. In each data
// centre a few routers watch the store and the others ask them; who gets no
// fresh answer calls the store itself. Does no I/O: it says which call to make
// next and takes in how the call ended.
#pragma once

#include "baobabloft/directory/directory_state.hpp"

#include <variant>

namespace baobabloft::directory
{

/// Read the page behind the key `after`.
struct read_page
{
    std::string after;
};

/// Wait for changes behind `after`, at most for `wait`.
struct watch_changes
{
    revision after = 0;
    duration wait{0};
};

/// Read one entry whose value another router could not tell.
struct read_entry
{
    std::string key;
};

/// Ask another router.
struct query_router
{
    std::string router;
    endpoint control_address;
    std::variant<change_query, entry_query> message;
};

using directory_call =
    std::variant<read_page, watch_changes, read_entry, query_router>;

/// Times of the follower.
struct follower_options
{
    /// This router's name and data centre.
    std::string router;
    std::string data_centre;
    /// Routers that one watching router answers: at 65 bytes an answer and one
    /// ask in 0.6 s each, their answers stay below 2 kB a second.
    std::size_t routers_per_watcher = 12;
    /// From one answer of a router to the next ask.
    duration query_pause = 600ms;
    /// The next ask leaves earlier if the proof would be older than this by
    /// then: with two lost asks and a call to the store, a belief stays younger
    /// than the two seconds within which a leaving upstream is obeyed.
    duration max_age_at_query = 1500ms;
    /// An answer with an older proof is not taken.
    duration max_reported_age = 1300ms;
    /// Pause before a router that did not answer is asked again.
    duration unresponsive_router_pause = 3s;
    /// Pause before a router whose proof was too old is asked again while the
    /// store does not answer here.
    duration stale_router_pause = 500ms;
    /// After a failed call others are asked for this long before the next one.
    duration store_retry_pause = 1s;
    /// From one answer to the next watch. Bounds calls to the store while
    /// entries change all the time, and how old a belief gets on a calm day.
    duration watch_pause = 700ms;
    /// Longest wait of one watch; the answer proves the belief fresh.
    duration watch_wait = 300ms;
    /// From a failed call to the next one, first and at most.
    duration retry_pause = 50ms;
    duration max_retry_pause = 400ms;
    /// Time after the store's return within which live upstreams have
    /// registered again; the platform states about two seconds.
    duration expiry_grace = 2200ms;
    /// If no router is known to have had an answer for this long, the store was
    /// away. Above the age that proofs reach while it turns away just the
    /// router that the others ask (2.1 s in the model of unittests/directory).
    duration store_unavailable_after = 2200ms;
};

/// Follows the store.
class directory_follower
{
public:
    directory_follower(const record_codec& codec,
                       const follower_options& options);

    /// Returns the next call, or nothing while one is out or none is due.
    std::optional<directory_call> next_call(time_point now);

    /// Takes in how the call ended.
    void handle_page(time_point now, const entry_page& page);
    void handle_changes(time_point now, const entry_changes& changes);
    void handle_history_loss(time_point now);
    void handle_call_failure(time_point now);
    /// The entry that was read, or nothing if there is none.
    void handle_entry(time_point now, const std::optional<entry>& item);
    /// Returns false if the answer belongs to no ask in progress.
    bool handle_response(time_point now, const change_response& answer);
    /// Returns false if the part belongs to no ask in progress.
    bool handle_part(time_point now, const entry_part& part);
    void handle_router_timeout(time_point now);

    /// Answers another router.
    [[nodiscard]] change_response respond(time_point now,
                                          const change_query& ask) const;
    [[nodiscard]] entry_part respond(time_point now,
                                     const entry_query& ask) const;
    /// Takes in another router's notice.
    void handle_notice(time_point now, const change_notice& notice);
    /// Returns true while this router watches the store for others.
    [[nodiscard]] bool is_watching_store(time_point now) const;
    /// Returns the revision up to which everything is known.
    [[nodiscard]] revision known_revision() const;

    /// Returns when the read that last proved the state was sent, or nothing
    /// before the first whole read.
    [[nodiscard]] std::optional<time_point> confirmed_at() const;

    /// Returns true once the store was read whole.
    [[nodiscard]] bool has_complete_state() const;

    [[nodiscard]] directory_state& state();
    [[nodiscard]] const directory_state& state() const;

private:
    /// Notes the store's return if the last proof is old.
    void note_return(time_point now, time_point as_of);
    void proved(time_point as_of);
    void forget_read();
    /// Ends the ask in progress and returns the router that was asked; empty if
    /// the answer belongs to no ask.
    std::string end_ask(time_point now, std::uint32_t sequence);
    /// Another router's proof of this age says that the store answered it.
    void note_alive(std::uint32_t confirmation_age_ms);
    /// Returns the age of this router's proof as it is told to others, ms.
    [[nodiscard]] std::uint32_t told_age(time_point now) const;
    [[nodiscard]] bool store_failed_lately(time_point now) const;
    /// The entry that was awaited is known.
    void finish_long_entry(time_point now, const std::optional<entry>& item);
    /// Returns the router that watches the store for this one, or null if this
    /// router does so itself.
    [[nodiscard]] const router_record* router_to_ask(time_point now) const;
    [[nodiscard]] bool is_silent(time_point now,
                                 const std::string& router) const;
    /// Returns a router of any data centre, or null.
    [[nodiscard]] const router_record* any_router(time_point now) const;
    [[nodiscard]] std::optional<time_point> lapse_end(time_point now) const;

    follower_options options_;
    directory_state state_;
    bool complete_ = false;
    bool complete_once_ = false;
    bool out_ = false;
    time_point sent_;
    time_point due_;
    duration pause_{0};
    revision watched_ = 0;
    /// Of a whole read in progress.
    std::string page_after_;
    std::optional<revision> read_as_of_;
    time_point read_started_;
    std::set<std::string> listed_;
    std::optional<time_point> proven_;
    /// Of an ask in progress, and routers that did not answer lately.
    std::uint32_t sequence_ = 0;
    std::string asked_;
    /// Asks of one router without an answer, one after the other.
    std::uint32_t unanswered_ = 0;
    std::map<std::string, time_point> silent_until_;
    std::optional<time_point> store_failed_at_;
    /// The next call goes to the store.
    bool go_direct_ = false;
    /// An entry to read before asking on, what of it has come in parts, and
    /// the revision of these.
    std::optional<reported_entry> long_entry_;
    std::string parts_;
    revision parts_of_ = 0;
    /// Latest time at which the store is known to have answered any router.
    time_point store_alive_;
    /// Latest return of the store after an absence.
    std::optional<time_point> returned_;
};

} // namespace baobabloft::directory
