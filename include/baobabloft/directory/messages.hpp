// Messages with which routers replicate the store's contents to each other, so
// that only a few of them call the store all the time.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace baobabloft::directory
{

/// Requests the changes after a revision.
struct change_query
{
    /// Matches the response to the query.
    std::uint32_t sequence = 0;
    /// Changes with a higher revision are requested.
    std::uint64_t after = 0;
    /// The store's era in which `after` counts.
    std::uint64_t era = 0;
    /// Version of the sender's configuration; 0 if it has none.
    std::uint64_t config_version = 0;
};

/// An entry of the store as sent between routers.
struct reported_entry
{
    std::string key;
    std::string value;
    /// Revision of the entry's last change.
    std::uint64_t mod_revision = 0;
    bool removed = false;
    /// The value is too long for a datagram and is not included. It is read
    /// from the store, or in parts from a router.
    bool is_long = false;
};

/// Response to a change_query.
struct change_response
{
    std::uint32_t sequence = 0;
    /// False if the sender does not have all changes after the queried
    /// revision, or none of the queried era.
    bool has_history = false;
    /// There are more changes after the last entry.
    bool has_more = false;
    /// The entries are complete up to this revision. Without history: 0, or the
    /// revision that the sender knows, if it has read all entries since the
    /// store had discarded the changes after the queried revision.
    std::uint64_t as_of_revision = 0;
    /// Time from the last confirmation of the sender's known state until the
    /// response was sent, ms.
    std::uint32_t confirmation_age_ms = 0;
    std::vector<reported_entry> entries;
};

/// Requests a part of a long entry.
struct entry_query
{
    /// Matches the part to the query.
    std::uint32_t sequence = 0;
    /// Offset in the value from which bytes are requested.
    std::uint32_t offset = 0;
    std::string key;
};

/// Response to an entry_query.
struct entry_part
{
    std::uint32_t sequence = 0;
    /// Length of the complete value.
    std::uint32_t total_bytes = 0;
    /// Time from the last confirmation of the sender's known state until the
    /// part was sent, ms.
    std::uint32_t confirmation_age_ms = 0;
    /// Revision of the value; 0 if the sender does not have it.
    std::uint64_t mod_revision = 0;
    /// The store's era in which `mod_revision` counts.
    std::uint64_t era = 0;
    /// Bytes of the value from the queried offset.
    std::string bytes;
};

/// Reports that something changed, so that the receiver queries the changes at
/// once. Also sent before the response to a query of an earlier era or with an
/// older configuration.
struct change_notice
{
    /// Revision up to which the sender knows the changes.
    std::uint64_t revision = 0;
    /// The store's era in which `revision` counts.
    std::uint64_t era = 0;
    /// Version of the sender's configuration; 0 if it has none.
    std::uint64_t config_version = 0;
};

/// Requests a page of the entries that the receiver knows.
struct listing_query
{
    /// Matches the response to the query.
    std::uint32_t sequence = 0;
    /// Entries with a greater key are requested.
    std::string after;
};

/// Response to a listing_query. Lists all entries but the fleet's secret and a
/// configuration that the sender does not have in force; the values of long
/// ones are not included.
struct listing_response
{
    std::uint32_t sequence = 0;
    /// False if the sender has not read all entries of its era, or reads them
    /// again.
    bool is_complete = false;
    /// There are more entries after the last one.
    bool has_more = false;
    /// The sender knows all changes up to this revision.
    std::uint64_t as_of_revision = 0;
    /// Time from the last confirmation of the sender's known state until the
    /// response was sent, ms.
    std::uint32_t confirmation_age_ms = 0;
    /// The store's era in which `as_of_revision` counts.
    std::uint64_t era = 0;
    /// Version of the sender's configuration; 0 if it has none.
    std::uint64_t config_version = 0;
    std::vector<reported_entry> entries;
};

/// Requests a part of the receiver's configuration in force, which the store
/// may have lost.
struct config_query
{
    /// Matches the part to the query.
    std::uint32_t sequence = 0;
    /// Offset in the configuration from which bytes are requested.
    std::uint32_t offset = 0;
};

/// Response to a config_query.
struct config_part
{
    std::uint32_t sequence = 0;
    /// Version of the configuration; 0 if the sender has none.
    std::uint64_t version = 0;
    /// Length of the complete configuration.
    std::uint32_t total_bytes = 0;
    /// Bytes of the configuration from the queried offset.
    std::string bytes;
};

} // namespace baobabloft::directory
