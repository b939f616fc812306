// What the platform's store holds, as typed records: the configuration,
// upstreams, data centres that are taken out, and the fleet's own routers.
#pragma once

#include "baobabloft/directory/route_config.hpp"
#include "baobabloft/support/endpoint.hpp"

#include <variant>

namespace baobabloft::directory
{

/// A server of a service, as it reports itself.
struct upstream_record
{
    /// Names one lifetime of the server, mostly.
    std::string id;
    std::string service;
    endpoint address;
    std::string data_centre;
    /// Requests that it runs at once.
    std::uint32_t slots = 1;
    /// Takes no new requests.
    bool draining = false;
    /// How much longer it stays cold, as of the report.
    duration cold_remaining{0};
    /// Start of this lifetime, ms since the epoch; tells lifetimes apart that
    /// have the same id.
    std::uint64_t started_ms = 0;

    friend bool operator==(const upstream_record&,
                           const upstream_record&) = default;
};

/// Operators want nothing more to be sent to a data centre.
struct data_centre_out_of_service
{
    std::string name;
};

/// A router of this fleet.
struct router_record
{
    std::string name;
    /// Where it takes datagrams of other routers.
    endpoint control_address;
    std::string data_centre;

    friend bool operator==(const router_record&,
                           const router_record&) = default;
};

/// The secret that signs datagrams between routers; the first router of a new
/// fleet creates it.
struct fleet_secret
{
    std::string text;
};

/// An entry that names nothing usable, and why.
struct unreadable_record
{
    std::string reason;
};

/// An entry that this product does not read.
struct unrelated_record
{
};

using record = std::variant<config_snapshot, upstream_record,
                            data_centre_out_of_service, router_record,
                            fleet_secret, unreadable_record, unrelated_record>;

/// What a key is about.
enum class key_kind : std::uint8_t
{
    config,
    upstream,
    data_centre_out_of_service,
    router,
    fleet_secret,
    other
};

/// A key's kind and the name in it.
struct parsed_key
{
    key_kind kind = key_kind::other;
    std::string name;
};

/// The store's revision counter.
using revision = std::uint64_t;

/// An entry as written, or its removal.
struct entry
{
    std::string key;
    std::string value;
    revision mod_revision = 0;
    bool removed = false;
};

/// One page of a read of every entry.
struct entry_page
{
    std::vector<entry> entries;
    /// There are more behind the last key.
    bool has_more = false;
    /// The store's revision when it answered.
    revision as_of_revision = 0;
};

/// What changed behind a revision.
struct entry_changes
{
    std::vector<entry> entries;
    revision as_of_revision = 0;
};

/// Reads keys and values of the store.
class record_codec
{
public:
    virtual ~record_codec() = default;
    [[nodiscard]] virtual parsed_key read_key(std::string_view key) const = 0;
    [[nodiscard]] virtual record read(const parsed_key& key,
                                      const std::string& value) const = 0;
};

} // namespace baobabloft::directory
