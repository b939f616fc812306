// The platform's key-value service behind a small interface, and its client
// for the published etcd v3 JSON gateway.
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

/// A stored value with the revisions that the service assigned.
struct kv_entry
{
    std::string key;
    std::string value;
    std::int64_t mod_revision = 0;
};

/// What a comparison in a transaction looks at.
enum class kv_compare_target
{
    /// Last modification revision; 0 for a key that does not exist.
    mod_revision,
    /// Number of writes since creation; 0 for a key that does not exist.
    version
};

/// How the stored number must relate to the one given.
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
    std::int64_t operand = 0;
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

/// Writes that happen together if every condition holds.
struct kv_transaction
{
    std::vector<kv_compare> conditions;
    std::vector<kv_put> puts;
    std::vector<kv_delete_range> deletes;
};

/// Outcome of a transaction that the service answered.
struct kv_transaction_result
{
    bool succeeded = false;
    std::int64_t revision = 0;
};

/// Keys in [first, end); an empty end reads the one key.
struct kv_range
{
    std::string first;
    std::string end;
    /// Most keys to return; 0 for all.
    std::size_t limit = 0;
};

/// Answer to a range read, in key order.
struct kv_range_result
{
    std::vector<kv_entry> entries;
    std::int64_t revision = 0;
};

/// Returns the end of the range that holds every key beginning with `prefix`.
std::string prefix_end(std::string prefix);

/// Key-value operations; callbacks run on the caller's thread. An operation
/// without an answer may have taken effect.
class kv_client
{
public:
    template <typename Result>
    using callback = std::function<void(std::optional<Result>, const failure&)>;

    virtual ~kv_client() = default;

    /// Runs `transaction`.
    virtual void commit(const kv_transaction& transaction,
                        callback<kv_transaction_result> done) = 0;

    /// Reads the keys of `range` at one revision.
    virtual void read(const kv_range& range,
                      callback<kv_range_result> done) = 0;

    /// Waits until `key` changes after `revision`; `done` gets the new entry,
    /// or nothing when the wait ended without one.
    virtual void wait_for_change(const std::string& key, std::int64_t revision,
                                 callback<kv_entry> done) = 0;
};

/// Settings of the etcd client.
struct etcd_options
{
    /// For example "http://127.0.0.1:2379".
    std::string base_url;
    duration timeout = 1s;
    /// Bound on one waiting watch.
    duration watch_timeout = 30s;
};

/// Makes a client for the etcd v3 JSON gateway on the present thread.
std::unique_ptr<kv_client> make_etcd_client(etcd_options options);

} // namespace baobabloft::net
