#include "baobabloft/support/ids.hpp"

#include "baobabloft/support/hash.hpp"

namespace baobabloft
{

namespace
{

std::uint32_t low_32_bits(std::uint64_t value)
{
    return static_cast<std::uint32_t>(value);
}

} // namespace

upstream_id make_upstream_id(std::string_view name)
{
    return upstream_id{low_32_bits(hash_bytes(name))};
}

customer_id make_customer_id(std::string_view name)
{
    return customer_id{low_32_bits(hash_bytes(name))};
}

chat_id make_chat_id(std::string_view customer, std::string_view chat)
{
    return chat_id{hash_bytes(chat, hash_bytes(customer))};
}

std::string to_string(router_id id)
{
    const auto address = address_of(id);
    std::string text;
    for (unsigned shift = 32; shift != 0; shift -= 8)
    {
        if (!text.empty())
            text += '.';
        text += std::to_string((address >> (shift - 8)) & 0xffU);
    }
    return text + ':' + std::to_string(port_of(id));
}

} // namespace baobabloft
