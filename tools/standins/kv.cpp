// Stand-in for the platform's KV service: the part of the etcd v3 JSON gateway
// that the router uses (range, txn, put, watch, lease grant), in memory.
// Faults: POST /standin/faults {"outage", "delay_ms", "lost_answers"}.
#include "standins.hpp"

#include "baobabloft/net/base64.hpp"

#include <list>
#include <map>
#include <random>

namespace baobabloft::standins
{

namespace
{

using nlohmann::json;

struct stored
{
    std::string value;
    std::int64_t mod_revision = 0;
    std::int64_t create_revision = 0;
    std::int64_t version = 0;
};

struct watcher
{
    SoupServerMessage* message;
    std::string key;
};

std::int64_t number_at(const json& item, const char* key)
{
    const auto found = item.find(key);
    if (found == item.end())
        return 0;
    return found->is_string() ? std::stoll(found->get_ref<const std::string&>())
                              : found->get<std::int64_t>();
}

class kv_store
{
public:
    void handle(const request& item)
    {
        if (item.path == "/standin/faults")
        {
            set_faults(item.json());
            respond(item.message, SOUP_STATUS_OK, json::object());
            return;
        }
        if (item.path == "/standin/counters")
        {
            respond(item.message, SOUP_STATUS_OK,
                    {{"reads", reads_},
                     {"writes", writes_},
                     {"watches", watches_},
                     {"keys", data_.size()},
                     {"open_watches", watchers_.size()}});
            return;
        }
        if (outage_)
        {
            close_without_response(item.message);
            return;
        }
        const auto answer = apply(item);
        if (answer.is_null())
            return;
        std::uniform_real_distribution<double> chance(0, 1);
        if (chance(random_) < lost_answers_)
            close_without_response(item.message);
        else
            respond_later(item.message, delay_ms_, SOUP_STATUS_OK, answer);
    }

private:
    json apply(const request& item)
    {
        const auto body = item.json();
        if (item.path == "/v3/kv/range")
        {
            ++reads_;
            return range(body);
        }
        if (item.path == "/v3/kv/put")
        {
            ++writes_;
            put(body);
            return {{"header", header()}};
        }
        if (item.path == "/v3/kv/txn")
        {
            ++writes_;
            return transact(body);
        }
        if (item.path == "/v3/lease/grant")
        {
            ++writes_;
            return {{"header", header()},
                    {"ID", std::to_string(++last_lease_)},
                    {"TTL", body.value("TTL", "10")}};
        }
        if (item.path == "/v3/watch")
        {
            ++watches_;
            watch(item, body);
            return nullptr;
        }
        respond(item.message, SOUP_STATUS_NOT_FOUND, json::object());
        return nullptr;
    }

    void set_faults(const json& body)
    {
        outage_ = body.value("outage", outage_);
        delay_ms_ = body.value("delay_ms", delay_ms_);
        lost_answers_ = body.value("lost_answers", lost_answers_);
        if (!outage_)
            return;
        for (const auto& item : watchers_)
            g_socket_close(soup_server_message_get_socket(item.message),
                           nullptr);
    }

    [[nodiscard]] json header() const
    {
        return {{"revision", std::to_string(revision_)}};
    }

    static json to_json(const std::string& key, const stored& item)
    {
        return {{"key", net::encode_base64(key)},
                {"value", net::encode_base64(item.value)},
                {"mod_revision", std::to_string(item.mod_revision)},
                {"create_revision", std::to_string(item.create_revision)},
                {"version", std::to_string(item.version)}};
    }

    json range(const json& body)
    {
        const auto first = net::decode_base64(body.value("key", ""));
        const auto end = net::decode_base64(body.value("range_end", ""));
        const auto limit = number_at(body, "limit");
        json found = json::array();
        for (auto entry = data_.lower_bound(first); entry != data_.end();
             ++entry)
        {
            const bool inside =
                end.empty() ? entry->first == first : entry->first < end;
            const bool full =
                limit > 0 && found.size() >= static_cast<std::size_t>(limit);
            if (!inside || full)
                break;
            found.push_back(to_json(entry->first, entry->second));
        }
        return {{"header", header()}, {"kvs", found}};
    }

    bool holds(const json& condition)
    {
        const auto found =
            data_.find(net::decode_base64(condition.value("key", "")));
        const stored item = found == data_.end() ? stored{} : found->second;
        const auto target = condition.value("target", "VERSION");
        std::int64_t known = item.version;
        std::int64_t wanted = number_at(condition, "version");
        if (target == "MOD")
        {
            known = item.mod_revision;
            wanted = number_at(condition, "mod_revision");
        }
        else if (target == "CREATE")
        {
            known = item.create_revision;
            wanted = number_at(condition, "create_revision");
        }
        return condition.value("result", "EQUAL") == "GREATER"
                   ? known > wanted
                   : known == wanted;
    }

    json transact(const json& body)
    {
        bool succeeded = true;
        for (const auto& condition : body.value("compare", json::array()))
            succeeded = succeeded && holds(condition);
        const auto* branch = succeeded ? "success" : "failure";
        for (const auto& step : body.value(branch, json::array()))
        {
            if (step.contains("request_put"))
                put(step["request_put"]);
            if (step.contains("request_delete_range"))
                erase(step["request_delete_range"]);
        }
        return {{"header", header()}, {"succeeded", succeeded}};
    }

    void put(const json& body)
    {
        const auto key = net::decode_base64(body.value("key", ""));
        auto& item = data_[key];
        ++revision_;
        if (item.version == 0)
            item.create_revision = revision_;
        item.mod_revision = revision_;
        ++item.version;
        item.value = net::decode_base64(body.value("value", ""));
        notify(key);
    }

    void erase(const json& body)
    {
        ++revision_;
        const auto first = net::decode_base64(body.value("key", ""));
        const auto end = net::decode_base64(body.value("range_end", ""));
        data_.erase(data_.lower_bound(first), end.empty()
                                                  ? data_.upper_bound(first)
                                                  : data_.lower_bound(end));
    }

    void watch(const request& item, const json& body)
    {
        const auto create = body.value("create_request", json::object());
        const auto key = net::decode_base64(create.value("key", ""));
        auto* message = item.message;
        soup_server_message_set_status(message, SOUP_STATUS_OK, nullptr);
        soup_message_headers_set_encoding(
            soup_server_message_get_response_headers(message),
            SOUP_ENCODING_CHUNKED);
        g_object_ref(message);
        watchers_.push_back({message, key});
        g_signal_connect(message, "finished", G_CALLBACK(on_finished), this);
        send_line(message, {{"result", {{"created", true}}}});
        const auto found = data_.find(key);
        if (found != data_.end() &&
            found->second.mod_revision >= number_at(create, "start_revision"))
            send_event(message, key);
    }

    void notify(const std::string& key)
    {
        for (const auto& item : watchers_)
            if (item.key == key)
                send_event(item.message, key);
    }

    void send_event(SoupServerMessage* message, const std::string& key)
    {
        send_line(message,
                  {{"result",
                    {{"header", header()},
                     {"events", {{{"kv", to_json(key, data_.at(key))}}}}}}});
    }

    static void send_line(SoupServerMessage* message, const json& line)
    {
        const auto text = line.dump() + "\n";
        soup_message_body_append(soup_server_message_get_response_body(message),
                                 SOUP_MEMORY_COPY, text.data(), text.size());
        soup_server_message_unpause(message);
    }

    static void on_finished(SoupServerMessage* message, gpointer data)
    {
        auto& watchers = static_cast<kv_store*>(data)->watchers_;
        watchers.remove_if([message](const watcher& item)
                           { return item.message == message; });
        g_object_unref(message);
    }

    std::map<std::string, stored> data_;
    std::list<watcher> watchers_;
    std::mt19937_64 random_{1};
    std::int64_t revision_ = 0;
    std::int64_t last_lease_ = 0;
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
    std::uint64_t watches_ = 0;
    bool outage_ = false;
    unsigned delay_ms_ = 0;
    double lost_answers_ = 0;
};

} // namespace

int run_kv(std::uint16_t port)
{
    kv_store store;
    return serve(port, [&store](const request& item) { store.handle(item); });
}

} // namespace baobabloft::standins
