#include "baobabloft/operators/rollout_report.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <map>
#include <sstream>

namespace baobabloft::operators
{

namespace
{

using nlohmann::json;

/// Width of the progress bar, in characters.
constexpr std::size_t bar_width = 20;
constexpr double percent = 100;

rollout_progress parse_rollout(const std::string& url, const json& item)
{
    return {.url = url,
            .service = item.value("service", ""),
            .target = item.value("target", ""),
            .phase = item.value("phase", ""),
            .stage = item.value("stage", ""),
            .share = item.value("share", 0.0),
            .age_s = item.value("age_s", 0.0),
            .finish_within_s = item.value("finish_within_s", 0.0),
            .is_judge = item.value("is_judge", false),
            .requests = item.value("requests", std::uint64_t{0}),
            .target_requests = item.value("target_requests", std::uint64_t{0}),
            .target_responses =
                item.value("target_responses", std::uint64_t{0}),
            .target_failures = item.value("target_failures", std::uint64_t{0}),
            .target_slow = item.value("target_slow", std::uint64_t{0})};
}

std::string progress_bar(double share)
{
    const auto filled =
        std::min(bar_width, static_cast<std::size_t>(
                                std::lround(std::max(share, 0.0) * bar_width)));
    return "[" + std::string(filled, '#') +
           std::string(bar_width - filled, '.') + "]";
}

} // namespace

std::vector<rollout_progress>
parse_rollouts(const std::vector<router_page>& pages)
{
    std::vector<rollout_progress> result;
    for (const auto& page : pages)
    {
        const auto list = json::parse(page.body, nullptr, false);
        if (!list.is_array())
            continue;
        for (const auto& item : list)
            // A member of another type throws.
            try
            {
                if (item.is_object())
                    result.push_back(parse_rollout(page.url, item));
            }
            catch (const json::exception&)
            {
                continue;
            }
    }
    return result;
}

std::string rollouts_text(const std::vector<rollout_progress>& rollouts)
{
    std::map<std::pair<std::string, std::string>,
             std::vector<const rollout_progress*>>
        by_order;
    for (const auto& item : rollouts)
        by_order[{item.service, item.target}].push_back(&item);
    std::ostringstream out;
    out << std::fixed << std::setprecision(1);
    for (const auto& [order, views] : by_order)
    {
        const auto& best = **std::ranges::max_element(
            views, {},
            [](const auto* item) {
                return std::pair{item->is_judge, item->requests};
            });
        const auto agreeing =
            std::ranges::count(views, best.stage, &rollout_progress::stage);
        out << order.first << " to " << order.second << ' '
            << progress_bar(best.phase == "complete" ? 1 : best.share) << ' '
            << best.share * percent << " % "
            << (best.phase.empty() ? "not started" : best.phase) << ", stage "
            << best.stage << ", " << best.age_s << " of "
            << best.finish_within_s << " s, target " << best.target_requests
            << " of " << best.requests << " requests, " << best.target_failures
            << " failures and " << best.target_slow << " slow in "
            << best.target_responses << " responses ("
            << (best.is_judge ? "fleet" : "this router only") << "), "
            << agreeing << " of " << views.size() << " routers in this stage\n";
    }
    return std::move(out).str();
}

std::string rollouts_json(const std::vector<rollout_progress>& rollouts)
{
    json list = json::array();
    for (const auto& item : rollouts)
        list.push_back({{"router", item.url},
                        {"service", item.service},
                        {"target", item.target},
                        {"phase", item.phase},
                        {"stage", item.stage},
                        {"share", item.share},
                        {"age_s", item.age_s},
                        {"finish_within_s", item.finish_within_s},
                        {"is_judge", item.is_judge},
                        {"requests", item.requests},
                        {"target_requests", item.target_requests},
                        {"target_responses", item.target_responses},
                        {"target_failures", item.target_failures},
                        {"target_slow", item.target_slow}});
    return list.dump();
}

bool are_rollouts_final(const std::vector<rollout_progress>& rollouts)
{
    return std::ranges::all_of(
        rollouts, [](const auto& item)
        { return item.phase == "complete" || item.phase == "reverted"; });
}

} // namespace baobabloft::operators
