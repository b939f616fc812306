// What routers tell each other about the store's contents, so that only a few
// of them call the store all the time.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace baobabloft::directory
{

/// Asks what changed behind a revision.
struct change_query
{
    /// Pairs the answer with the ask.
    std::uint32_t sequence = 0;
    std::uint64_t after = 0;
};

/// An entry as it travels between routers.
struct reported_entry
{
    std::string key;
    std::string value;
    std::uint64_t mod_revision = 0;
    bool removed = false;
    /// The value is too long for a datagram; it is read from the store, or in
    /// parts from a router.
    bool is_long = false;
};

/// Answers change_ask.
struct change_response
{
    std::uint32_t sequence = 0;
    /// False if the changes behind the asked revision are not known here.
    bool has_history = false;
    /// There are more behind the last entry.
    bool has_more = false;
    /// The entries are complete up to this revision.
    std::uint64_t as_of_revision = 0;
    /// Age of the proof behind them when the answer left, ms.
    std::uint32_t confirmation_age_ms = 0;
    std::vector<reported_entry> entries;
};

/// Asks for a part of a long entry.
struct entry_query
{
    /// Pairs the part with the ask.
    std::uint32_t sequence = 0;
    /// First byte of the value that is wanted.
    std::uint32_t offset = 0;
    std::string key;
};

/// Answers entry_ask.
struct entry_part
{
    std::uint32_t sequence = 0;
    /// Bytes of the whole value.
    std::uint32_t total_bytes = 0;
    /// Age of the proof that the sender has of the store, ms.
    std::uint32_t confirmation_age_ms = 0;
    /// Revision of the value; 0 if the sender does not have it.
    std::uint64_t mod_revision = 0;
    std::string bytes;
};

/// Says that something changed, so that the receiver asks at once.
struct change_notice
{
    std::uint64_t revision = 0;
};

} // namespace baobabloft::directory
