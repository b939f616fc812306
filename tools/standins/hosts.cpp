// Stand-in for the platform's list of live and leaving hosts. Changes become
// visible after a lag.
// POST /standin/hosts {"name", "state", "control_address"} changes an entry.
#include "standins.hpp"

#include <map>

namespace baobabloft::standins
{

namespace
{

using nlohmann::json;

/// A version of a host's entry.
struct host_version
{
    json entry;
    std::int64_t visible_at_ms = 0;
};

class host_list
{
public:
    explicit host_list(unsigned lag_ms) : lag_ms_(lag_ms) {}

    void handle(const request& incoming)
    {
        if (incoming.path == "/standin/hosts")
        {
            add_version(incoming.json());
            respond(incoming.message, SOUP_STATUS_OK, json::object());
            return;
        }
        json visible_entries = json::array();
        for (const auto& [name, versions] : versions_by_host_)
            for (auto version = versions.rbegin(); version != versions.rend();
                 ++version)
                if (version->visible_at_ms <= monotonic_ms())
                {
                    visible_entries.push_back(version->entry);
                    break;
                }
        respond(incoming.message, SOUP_STATUS_OK, {{"hosts", visible_entries}});
    }

private:
    void add_version(json body)
    {
        auto& versions = versions_by_host_[body.value("name", "")];
        body["version"] = versions.size() + 1;
        versions.push_back({body, monotonic_ms() + lag_ms_});
    }

    std::map<std::string, std::vector<host_version>> versions_by_host_;
    unsigned lag_ms_;
};

} // namespace

int run_hosts(std::uint16_t port, unsigned lag_ms)
{
    host_list list{lag_ms};
    return serve(port,
                 [&list](const request& incoming) { list.handle(incoming); });
}

} // namespace baobabloft::standins
