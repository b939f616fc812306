// When requests with each feature last ended well.
#pragma once

#include "baobabloft/support/ids.hpp"
#include "baobabloft/support/time.hpp"

#include <unordered_map>

namespace baobabloft::routing
{

/// Remembers the features of the most recent successes, up to a fixed number
/// of features.
class success_log
{
public:
    void record(time_point now, request_feature feature);

    /// Returns the time of the last success that is remembered, or nullptr.
    [[nodiscard]] const time_point* find(request_feature feature) const;

    [[nodiscard]] bool has_since(request_feature feature,
                                 time_point since) const;

private:
    using times = std::unordered_map<request_feature, time_point>;

    /// When `newer_` is full, it replaces `older_`, so that no feature needs to
    /// be removed alone.
    times newer_;
    times older_;
};

} // namespace baobabloft::routing
