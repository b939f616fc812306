// What the relay needs from the platform it runs on: a store with the
// directory, and the names and forms of headers. An adapter implements both
// and decides nothing.
#pragma once

#include "baobabloft/directory/directory_follower.hpp"
#include "baobabloft/dispatch/upstream_selector.hpp"
#include "baobabloft/support/failure.hpp"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace baobabloft::relay
{

/// Names a lease at the store.
using lease_id = std::uint64_t;

/// How the renewal of a lease ended.
enum class lease_renewal : std::uint8_t
{
    renewed,
    ended,
    /// No answer; the lease may live.
    unknown
};

/// How a watch ended.
struct watch_result
{
    /// Nothing if the store gave no usable answer.
    std::optional<directory::entry_changes> changes;
    /// The store no longer knows what changed behind the revision.
    bool history_lost = false;
};

/// The platform's store. Every callback runs exactly once on the loop's
/// thread, within `timeout`.
class directory_store
{
public:
    template <typename Result>
    using callback = std::function<void(const Result&, const failure&)>;

    virtual ~directory_store() = default;

    /// Reads the page of entries behind the key `after`, as of now.
    virtual void
    read_page(const std::string& after, duration timeout,
              callback<std::optional<directory::entry_page>> done) = 0;

    /// Reads one entry; nothing inside the result if there is none.
    virtual void read_entry(
        const std::string& key, duration timeout,
        callback<std::optional<std::optional<directory::entry>>> done) = 0;

    /// Waits for changes behind `call.after`.
    virtual void watch(const directory::watch_changes& call, duration timeout,
                       callback<watch_result> done) = 0;

    virtual void grant_lease(duration lifetime, duration timeout,
                             callback<std::optional<lease_id>> done) = 0;
    virtual void renew_lease(lease_id lease, duration timeout,
                             callback<lease_renewal> done) = 0;
    /// Ends a lease; nobody waits for the answer.
    virtual void end_lease(lease_id lease, duration timeout) = 0;

    /// Writes this router's own entry under `lease`.
    virtual void write_router(const directory::router_record& router,
                              lease_id lease, duration timeout,
                              callback<bool> done) = 0;

    /// Writes the fleet's secret unless there is one. Nobody waits for the
    /// answer: the directory shows which secret it became.
    virtual void create_secret(const std::string& text, duration timeout) = 0;

    /// Goes to another address from now on.
    virtual void set_address(const endpoint& address) = 0;
};

/// A part of a request's prompt.
struct prompt_part
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;
};

/// Names and forms of the headers towards callers and upstreams.
struct header_dialect
{
    /// Names a request; upstreams echo it.
    std::string request_id;
    /// Milliseconds that the sender waits.
    std::string time_left_ms;
    /// Key of a customer, from callers only.
    std::string key;
    /// Name of the customer, to upstreams only.
    std::string customer;
    /// Identity that the upstream must have to run the request.
    std::string expected_upstream;
    /// Proof that an answer is an upstream's.
    std::string signature;
    /// Mark of an answer that says the request did not run.
    std::string not_run;
    /// Load of the upstream that answers.
    std::string load;
    /// Milliseconds for which the upstream stays cold.
    std::string cold_left_ms;
    /// Number of the last event that the reader has.
    std::string resume_after;
    /// Parts of the prompt, those shared with other requests first.
    std::string prompt_parts;
    /// 0 to 9, where 0 is served first.
    std::string urgency;
    /// Address of another upstream from which the one that runs the request
    /// copies what is cached there of the prompt.
    std::string prefix_source;
    /// Headers that only this fleet may set; dropped from callers' requests.
    std::vector<std::string> reserved;
    /// Headers of answers that are for this fleet only.
    std::vector<std::string> internal;
    /// Path at which the balancer asks whether this router takes connections.
    std::string readiness_path;

    std::optional<dispatch::reported_load> (*read_load)(std::string_view) =
        nullptr;
    std::vector<prompt_part> (*read_prompt_parts)(std::string_view) = nullptr;
};

} // namespace baobabloft::relay
