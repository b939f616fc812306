// Stand-in for the platform's list of live and leaving hosts, which lags.
// POST /standin/hosts {"name", "state", "control_address"} changes an entry.
#include "standins.hpp"

#include <map>

namespace baobabloft::standins
{

namespace
{

using nlohmann::json;

struct host
{
    json shown;
    std::int64_t visible_at = 0;
};

class host_list
{
public:
    explicit host_list(unsigned lag_ms) : lag_ms_(lag_ms) {}

    void handle(const request& item)
    {
        if (item.path == "/standin/hosts")
        {
            change(item.json());
            respond(item.message, SOUP_STATUS_OK, json::object());
            return;
        }
        json visible = json::array();
        for (const auto& [name, versions] : hosts_)
            for (auto version = versions.rbegin(); version != versions.rend();
                 ++version)
                if (version->visible_at <= monotonic_ms())
                {
                    visible.push_back(version->shown);
                    break;
                }
        respond(item.message, SOUP_STATUS_OK, {{"hosts", visible}});
    }

private:
    void change(json body)
    {
        auto& versions = hosts_[body.value("name", "")];
        body["version"] = versions.size() + 1;
        versions.push_back({body, monotonic_ms() + lag_ms_});
    }

    std::map<std::string, std::vector<host>> hosts_;
    unsigned lag_ms_;
};

} // namespace

int run_hosts(std::uint16_t port, unsigned lag_ms)
{
    host_list list{lag_ms};
    return serve(port, [&list](const request& item) { list.handle(item); });
}

} // namespace baobabloft::standins
