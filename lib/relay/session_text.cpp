#include "session_text.hpp"

#include <algorithm>

namespace baobabloft::relay
{

namespace
{

constexpr unsigned status_request_timeout = 408;
constexpr unsigned status_misdirected = 421;
constexpr unsigned status_too_many = 429;
constexpr unsigned status_unavailable = 503;

} // namespace

bool promises_not_run(unsigned status)
{
    return status == status_request_timeout || status == status_misdirected ||
           status == status_too_many || status == status_unavailable;
}

std::string format_ms(duration value)
{
    return std::to_string(value / 1ms);
}

std::string format_one_decimal(double value)
{
    constexpr double tenth = 10;
    const auto scaled = static_cast<std::int64_t>(value * tenth);
    return std::to_string(scaled / 10) + "." + std::to_string(scaled % 10);
}

bool contains_field_name(const std::vector<std::string>& names,
                         std::string_view target)
{
    return std::any_of(names.begin(), names.end(),
                       [target](const std::string& name)
                       {
                           return boost::beast::iequals(
                               http::beast_view(name),
                               http::beast_view(target));
                       });
}

void copy_forwarded_fields(const http::fields& from, http::fields& to,
                           const std::vector<std::string>& excluded)
{
    for (const auto& field : from)
    {
        const auto name = http::std_view(field.name_string());
        if (!http::is_hop_by_hop(from, name) &&
            !contains_field_name(excluded, name))
            to.insert(field.name_string(), field.value());
    }
}

} // namespace baobabloft::relay
