#include "baobabloft/router/burn.hpp"

#include <algorithm>

namespace baobabloft::router
{

void burn_meter::record(time_point now, const burn_key& key, double target,
                        bool missed)
{
    const auto index = now.time_since_epoch() / bucket_length;
    auto& item = series_[key];
    item.target = target;
    if (item.filled.empty() || item.filled.back().index != index)
    {
        const auto oldest = index - static_cast<std::int64_t>(buckets);
        std::erase_if(item.filled, [oldest](const bucket& old)
                      { return old.index <= oldest; });
        item.filled.push_back({index, 0, 0});
    }
    ++item.filled.back().total;
    if (missed)
        ++item.filled.back().missed;
}

std::vector<burn_row> burn_meter::rows(time_point now) const
{
    const auto present = now.time_since_epoch() / bucket_length;
    std::vector<burn_row> result;
    result.reserve(series_.size());
    for (const auto& [key, item] : series_)
    {
        burn_row row{.key = key, .target = item.target};
        for (const auto& filled : item.filled)
            for (std::size_t window = 0; window < burn_windows.size(); ++window)
            {
                const auto length = burn_windows[window] / bucket_length;
                if (filled.index <= present - length)
                    continue;
                row.windows[window].total += filled.total;
                row.windows[window].missed += filled.missed;
            }
        result.push_back(std::move(row));
    }
    return result;
}

} // namespace baobabloft::router
