// Keeps the directory state true to the store: a whole read first, then paced
// watches; a whole read again whenever the history was lost. Does no I/O: it
// says which call to make next and takes in how the call ended.
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

using store_call = std::variant<read_page, watch_changes>;

/// Times of the follower.
struct follower_options
{
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
    duration lapse_grace = 2200ms;
    /// A proof older than this means that the store was away.
    duration away_after = 1800ms;
};

/// Follows the store.
class directory_follower
{
public:
    directory_follower(const record_codec& codec,
                       const follower_options& options);

    /// Returns the next call, or nothing while one is out or none is due.
    std::optional<store_call> next(time_point now);

    /// Takes in how the call ended.
    void page_arrived(time_point now, const entry_page& page);
    void changes_arrived(time_point now, const entry_changes& changes);
    void history_lost(time_point now);
    void call_failed(time_point now);

    /// Makes the next call due at once, unless one is out.
    void hurry(time_point now);

    /// Returns when the read that last proved the state was sent, or nothing
    /// before the first whole read.
    [[nodiscard]] std::optional<time_point> proven_at() const;

    /// Returns true once the store was read whole.
    [[nodiscard]] bool is_complete() const;

    [[nodiscard]] directory_state& state();
    [[nodiscard]] const directory_state& state() const;

private:
    void proved(time_point now);
    [[nodiscard]] std::optional<time_point> lapse_end(time_point now) const;

    follower_options options_;
    directory_state state_;
    bool complete_ = false;
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
    /// Latest return of the store after an absence.
    std::optional<time_point> returned_;
};

} // namespace baobabloft::directory
