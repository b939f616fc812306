#include "baobabloft/http/message.hpp"

#include <boost/asio/buffers_iterator.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/serializer.hpp>

#include <array>

namespace baobabloft::http
{

namespace
{

namespace beast = boost::beast;
namespace bhttp = boost::beast::http;

constexpr std::array hop_by_hop{bhttp::field::connection,
                                bhttp::field::keep_alive,
                                bhttp::field::proxy_connection,
                                bhttp::field::te,
                                bhttp::field::trailer,
                                bhttp::field::transfer_encoding,
                                bhttp::field::upgrade,
                                bhttp::field::proxy_authenticate,
                                bhttp::field::proxy_authorization,
                                bhttp::field::content_length,
                                bhttp::field::expect};

/// Runs a serializer to the end of the header or of the message.
template <typename Serializer>
std::string drain(Serializer& serializer, bool head_only)
{
    std::string bytes;
    beast::error_code error;
    while (!(head_only ? serializer.is_header_done() : serializer.is_done()))
    {
        std::size_t taken = 0;
        serializer.next(error,
                        [&](beast::error_code& /*ignored*/, const auto& buffers)
                        {
                            bytes += beast::buffers_to_string(buffers);
                            taken = beast::buffer_bytes(buffers);
                        });
        if (error || taken == 0)
            break;
        serializer.consume(taken);
    }
    return bytes;
}

template <bool IsRequest>
std::string header_string(bhttp::message<IsRequest, bhttp::empty_body>& head)
{
    bhttp::serializer<IsRequest, bhttp::empty_body> serializer{head};
    serializer.split(true);
    return drain(serializer, true);
}

} // namespace

std::string_view field_value(const fields& all, std::string_view name)
{
    return std_view(all[beast_view(name)]);
}

bool is_hop_by_hop(const fields& all, std::string_view name)
{
    const auto known = bhttp::string_to_field(beast_view(name));
    for (const auto item : hop_by_hop)
        if (item == known)
            return true;
    const auto named = all[bhttp::field::connection];
    return !named.empty() && bhttp::token_list{named}.exists(beast_view(name));
}

std::string serialize_head(request_head& head)
{
    return header_string(head);
}

std::string serialize_head(response_head& head)
{
    return header_string(head);
}

std::string serialize_message(response& message)
{
    bhttp::serializer<false, bhttp::string_body> serializer{message};
    return drain(serializer, false);
}

std::string serialize_chunk(std::string_view data)
{
    return beast::buffers_to_string(
        bhttp::make_chunk(boost::asio::const_buffer{data.data(), data.size()}));
}

std::string serialize_last_chunk()
{
    return beast::buffers_to_string(bhttp::make_chunk_last());
}

} // namespace baobabloft::http
