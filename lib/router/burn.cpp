#include "baobabloft/router/burn.hpp"

#include <algorithm>

namespace baobabloft::router
{

void burn_meter::record(time_point now, const burn_key& key, double target,
                        bool missed)
{
    const auto index = now.time_since_epoch() / bucket_duration;
    auto& entry = series_[key];
    entry.target = target;
    if (entry.non_empty_buckets.empty() ||
        entry.non_empty_buckets.back().index != index)
    {
        const auto last_expired =
            index - static_cast<std::int64_t>(bucket_count);
        std::erase_if(entry.non_empty_buckets,
                      [last_expired](const bucket& candidate)
                      { return candidate.index <= last_expired; });
        entry.non_empty_buckets.push_back({index, 0, 0});
    }
    ++entry.non_empty_buckets.back().total;
    if (missed)
        ++entry.non_empty_buckets.back().missed;
}

std::vector<burn_row> burn_meter::rows(time_point now) const
{
    const auto current_index = now.time_since_epoch() / bucket_duration;
    std::vector<burn_row> result;
    result.reserve(series_.size());
    for (const auto& [key, entry] : series_)
    {
        burn_row row{.key = key, .target = entry.target};
        for (const auto& counted : entry.non_empty_buckets)
            for (std::size_t window = 0; window < burn_windows.size(); ++window)
            {
                const auto window_buckets =
                    burn_windows[window] / bucket_duration;
                if (counted.index <= current_index - window_buckets)
                    continue;
                row.windows[window].total += counted.total;
                row.windows[window].missed += counted.missed;
            }
        result.push_back(std::move(row));
    }
    return result;
}

} // namespace baobabloft::router
