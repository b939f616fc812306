// Serializes HTTP/1.1 messages with Boost.Beast and classifies headers.
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

constexpr std::array hop_by_hop_fields{bhttp::field::connection,
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

/// Returns the output of a serializer up to the end of the header, or of the
/// message.
template <typename Serializer>
std::string run_serializer(Serializer& serializer, bool head_only)
{
    std::string bytes;
    beast::error_code error;
    while (!(head_only ? serializer.is_header_done() : serializer.is_done()))
    {
        std::size_t size = 0;
        serializer.next(error,
                        [&](beast::error_code& /*ignored*/, const auto& buffers)
                        {
                            bytes += beast::buffers_to_string(buffers);
                            size = beast::buffer_bytes(buffers);
                        });
        if (error || size == 0)
            break;
        serializer.consume(size);
    }
    return bytes;
}

template <bool IsRequest>
std::string head_to_string(bhttp::message<IsRequest, bhttp::empty_body>& head)
{
    bhttp::serializer<IsRequest, bhttp::empty_body> serializer{head};
    serializer.split(true);
    return run_serializer(serializer, true);
}

} // namespace

std::string_view field_value(const fields& headers, std::string_view name)
{
    return std_view(headers[beast_view(name)]);
}

bool is_hop_by_hop(const fields& headers, std::string_view name)
{
    const auto field = bhttp::string_to_field(beast_view(name));
    for (const auto item : hop_by_hop_fields)
        if (item == field)
            return true;
    const auto connection_options = headers[bhttp::field::connection];
    return !connection_options.empty() &&
           bhttp::token_list{connection_options}.exists(beast_view(name));
}

std::string serialize_head(request_head& head)
{
    return head_to_string(head);
}

std::string serialize_head(response_head& head)
{
    return head_to_string(head);
}

std::string serialize_message(response& message)
{
    bhttp::serializer<false, bhttp::string_body> serializer{message};
    return run_serializer(serializer, false);
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
