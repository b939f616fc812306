// Interface to the platform's key-value service, and the factory of its client
// for the etcd v3 JSON gateway.
#pragma once

#include "baobabloft/net/http_client.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace baobabloft::net
{

/// A stored key and value, with the revision of the key's last modification.
struct kv_entry
{
    std::string key;
    std::string value;
    std::int64_t mod_revision = 0;
};

/// Property of a key that a condition of a transaction compares.
enum class kv_compare_target
{
    /// Last modification revision; 0 for a key that does not exist.
    mod_revision,
    /// Number of writes since creation; 0 for a key that does not exist.
    version,
    /// The stored value. The condition fails for a key that does not exist.
    value
};

/// Required relation of the stored number or value to the operand.
enum class kv_compare_relation
{
    equal,
    greater
};

/// One condition of a transaction.
struct kv_compare
{
    std::string key;
    kv_compare_target target = kv_compare_target::mod_revision;
    kv_compare_relation relation = kv_compare_relation::equal;
    /// Number with which the stored one is compared.
    std::int64_t operand = 0;
    /// Value with which the stored one is compared, for
    /// kv_compare_target::value.
    std::string value_operand{};
};

/// One write of a transaction.
struct kv_put
{
    std::string key;
    std::string value;
};

/// Deletion of the keys in [first, end).
struct kv_delete_range
{
    std::string first;
    std::string end;
};

/// Writes and deletions that are applied atomically if every condition holds.
struct kv_transaction
{
    std::vector<kv_compare> conditions;
    std::vector<kv_put> puts;
    std::vector<kv_delete_range> deletes;
};

/// Response of the service to a transaction.
struct kv_transaction_result
{
    /// True if every condition held and the writes were applied.
    bool succeeded = false;
    /// Revision of the store after the transaction.
    std::int64_t revision = 0;
};

/// Keys in [first, end). An empty `end` selects only the key `first`.
struct kv_range
{
    std::string first;
    std::string end;
    /// Largest number of keys to return; 0 for no limit.
    std::size_t limit = 0;
};

/// Result of a range read.
struct kv_range_result
{
    /// In key order.
    std::vector<kv_entry> entries;
    /// Revision of the store at the read.
    std::int64_t revision = 0;
};

/// Returns the end of the range [prefix, end) of all keys that begin with
/// `prefix`.
std::string prefix_end(std::string prefix);

/// Client of the key-value service. Callbacks run on the thread that
/// started the operation. An operation that gets no response may still have
/// taken effect.
class kv_client
{
public:
    template <typename Result>
    using callback = std::function<void(std::optional<Result>, const failure&)>;

    virtual ~kv_client() = default;

    /// Applies `transaction` if its conditions hold.
    virtual void commit(const kv_transaction& transaction,
                        callback<kv_transaction_result> done) = 0;

    /// Reads the entries of `range`, all at one revision.
    virtual void read(const kv_range& range,
                      callback<kv_range_result> done) = 0;

    /// Waits until `key` changes after `revision`. Calls `done` with the new
    /// entry, or with nothing and the reason if the watch ended without a
    /// change.
    virtual void wait_for_change(const std::string& key, std::int64_t revision,
                                 callback<kv_entry> done) = 0;
};

/// Settings of the etcd client.
struct etcd_options
{
    /// For example "http://127.0.0.1:2379".
    std::string base_url;
    /// Limit for one transaction or range read.
    duration timeout = 1s;
    /// Longest time for which one watch stays open.
    duration watch_timeout = 30s;
};

/// Creates a client for the etcd v3 JSON gateway that is used on the calling
/// thread.
std::unique_ptr<kv_client> make_etcd_client(etcd_options options);

} // namespace baobabloft::net
