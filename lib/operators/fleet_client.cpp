#include "baobabloft/operators/fleet_client.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace baobabloft::operators
{

namespace
{

using nlohmann::json;

constexpr unsigned status_ok = 200;
constexpr duration page_timeout = 2s;

owned_upstream_status parse_upstream(const json& item)
{
    return {.name = item.value("name", ""),
            .owner = item.value("owner", ""),
            .state = item.value("state", ""),
            .available = item.value("available", false),
            .admitted = item.value("admitted", false),
            .load = item.value("load", std::uint64_t{0}),
            .limit = item.value("limit", std::uint64_t{0}),
            .waiting = item.value("waiting", std::uint64_t{0}),
            .outages = item.value("setbacks", std::uint64_t{0})};
}

/// Returns the scheme of `url` with the separator, for example "http://".
std::string scheme_prefix_of(const std::string& url)
{
    return url.substr(0, url.find("://") + 3);
}

} // namespace

fleet_client::fleet_client(net::event_loop& loop, std::vector<std::string> urls,
                           std::string token)
    : loop_(loop), urls_(std::move(urls)), token_(std::move(token))
{
}

std::vector<std::string> fleet_client::discover_routers()
{
    std::vector<std::string> found;
    for (const auto& page : fetch_pages(urls_, "/status"))
    {
        const auto root = json::parse(page.body, nullptr, false);
        if (!root.is_object())
            continue;
        for (const auto& member : root.value("members", json::array()))
        {
            if (member.value("state", "") != "alive")
                continue;
            const auto id = member.value("id", "");
            const auto url = scheme_prefix_of(page.url) +
                             id.substr(0, id.rfind(':')) + ":" +
                             std::to_string(member.value("http_port", 0));
            if (std::find(found.begin(), found.end(), url) == found.end())
                found.push_back(url);
        }
        // The member list of one router covers the fleet, and a single /status
        // page suffices at the fleet's size.
        if (!found.empty())
            break;
    }
    return found;
}

std::vector<router_page>
fleet_client::fetch_pages(const std::vector<std::string>& urls,
                          const std::string& path)
{
    std::vector<router_page> pages;
    std::size_t pending = urls.size();
    if (pending == 0)
        return pages;
    for (const auto& url : urls)
        pages.push_back({url, {}});
    for (std::size_t index = 0; index < urls.size(); ++index)
    {
        net::http_request request;
        request.url = urls[index] + path;
        request.timeout = page_timeout;
        if (!token_.empty())
            request.headers.push_back({"Authorization", "Bearer " + token_});
        http_.send(request,
                   [&, index](const std::optional<net::http_response>& reply,
                              const failure&)
                   {
                       if (reply)
                           (reply->status == status_ok ? pages[index].body
                                                       : pages[index].problem) =
                               reply->body;
                       if (--pending == 0)
                           loop_.stop();
                   });
    }
    loop_.run();
    return pages;
}

std::vector<router_status> fleet_client::fetch_statuses()
{
    std::vector<router_status> result;
    for (const auto& page : fetch_pages(discover_routers(), "/status"))
    {
        router_status status{.url = page.url};
        const auto root = json::parse(page.body, nullptr, false);
        if (root.is_object())
        {
            status.id = root.value("id", "");
            status.data_centre = root.value("data_centre", "");
            status.readiness = root.value("readiness", "");
            status.preset = root.value("preset", "");
            status.generation = root.value("generation", std::uint64_t{0});
            for (const auto& item :
                 root.value("owned_upstreams", json::array()))
                status.upstreams.push_back(parse_upstream(item));
        }
        else
            status.readiness = "no answer";
        result.push_back(std::move(status));
    }
    return result;
}

} // namespace baobabloft::operators
