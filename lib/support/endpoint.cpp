#include "baobabloft/support/endpoint.hpp"

#include "baobabloft/support/numbers.hpp"

namespace baobabloft
{

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const auto host = text.substr(0, colon);
    const auto port = parse_number<std::uint16_t>(text.substr(colon + 1));
    if (!port || !parse_ipv4(host))
        return std::nullopt;
    return endpoint{std::string{host}, *port};
}

std::optional<std::uint32_t> parse_ipv4(std::string_view host)
{
    constexpr unsigned max_part = 255;
    std::uint32_t address = 0;
    std::size_t start = 0;
    for (int part = 0; part < 4; ++part)
    {
        const bool last = part == 3;
        const auto end = last ? host.size() : host.find('.', start);
        if (end == std::string_view::npos)
            return std::nullopt;
        const auto value =
            parse_number<unsigned>(host.substr(start, end - start));
        if (!value || *value > max_part)
            return std::nullopt;
        address = (address << 8U) | *value;
        start = end + 1;
    }
    return address;
}

std::string to_string(const endpoint& address)
{
    return address.host + ":" + std::to_string(address.port);
}

} // namespace baobabloft
