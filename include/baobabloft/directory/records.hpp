// Typed records of the entries in the platform's store: the configuration,
// upstreams, data centres out of service, roll-outs and the fleet's own
// routers.
#pragma once

#include "baobabloft/directory/rollout.hpp"
#include "baobabloft/directory/route_config.hpp"
#include "baobabloft/support/endpoint.hpp"

#include <variant>

namespace baobabloft::directory
{

/// A server of a service, as it registers itself.
struct upstream_record
{
    /// Usually unique for each lifetime of the server; see `started_ms`.
    std::string id;
    std::string service;
    endpoint address;
    std::string data_centre;
    /// Version of its software; empty if it reports none.
    std::string version;
    /// Requests that it can run concurrently.
    std::uint32_t slots = 1;
    /// Takes no new requests.
    bool draining = false;
    /// Time for which it stays cold, counted from its report.
    duration cold_remaining{0};
    /// Start of this lifetime, ms since the epoch. Distinguishes lifetimes with
    /// the same id.
    std::uint64_t started_ms = 0;
    /// Number of this write in the lifetime. The store may execute a write
    /// late.
    std::uint64_t write_number = 0;

    friend bool operator==(const upstream_record&,
                           const upstream_record&) = default;
};

/// A data centre that operators took out of service: it gets no new requests.
struct data_centre_out_of_service
{
    std::string name;
};

/// A router of this fleet.
struct router_record
{
    std::string name;
    /// Address at which it receives datagrams of other routers.
    endpoint control_address;
    std::string data_centre;

    friend bool operator==(const router_record&,
                           const router_record&) = default;
};

/// The secret that authenticates datagrams between routers. The first router of
/// a new fleet creates it.
struct fleet_secret
{
    std::string text;
};

/// An entry that could not be parsed, and the reason.
struct unreadable_record
{
    std::string reason;
};

/// An entry that the router does not use.
struct unrelated_record
{
};

using record =
    std::variant<config_snapshot, upstream_record, data_centre_out_of_service,
                 rollout_order, rollout_status, router_record, fleet_secret,
                 unreadable_record, unrelated_record>;

/// The kind of record under a key.
enum class key_kind : std::uint8_t
{
    config,
    upstream,
    data_centre_out_of_service,
    rollout_order,
    rollout_status,
    router,
    fleet_secret,
    other
};

/// The kind and the name in a key of the store.
struct parsed_key
{
    key_kind kind = key_kind::other;
    /// Id of the upstream, or name of the data centre, the service of a
    /// roll-out or the router.
    std::string name;
};

/// The store's revision counter. Revisions of different eras are not
/// comparable: a store that is restored gives out the same revisions again.
using revision = std::uint64_t;

/// Number of times that the store was restored from an older copy. After each
/// time, entries written since the copy are missing until their writers write
/// them again.
using store_era = std::uint64_t;

/// An entry of the store as written, or its removal.
struct entry
{
    std::string key;
    std::string value;
    /// Revision of the write or removal.
    revision mod_revision = 0;
    bool removed = false;
};

/// One page of a read of every entry.
struct entry_page
{
    std::vector<entry> entries;
    /// There are more entries after the last key.
    bool has_more = false;
    /// The store's revision at the time of the read.
    revision as_of_revision = 0;
    store_era era = 0;
};

/// The changes after a revision.
struct entry_changes
{
    std::vector<entry> entries;
    /// The entries are complete up to this revision.
    revision as_of_revision = 0;
    store_era era = 0;
};

/// The result of reading one entry.
struct entry_lookup
{
    /// Empty if the entry does not exist.
    std::optional<entry> item;
    store_era era = 0;
};

/// Parses keys and values of the store.
class record_codec
{
public:
    virtual ~record_codec() = default;
    [[nodiscard]] virtual parsed_key read_key(std::string_view key) const = 0;
    [[nodiscard]] virtual record read(const parsed_key& key,
                                      const std::string& value) const = 0;
};

} // namespace baobabloft::directory
