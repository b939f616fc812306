// HTTP/1.1 message types and their serialization. Uses the messages and
// serializers of Boost.Beast, without its transport.
#pragma once

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <string>
#include <string_view>

namespace baobabloft::http
{

using fields = boost::beast::http::fields;
using request = boost::beast::http::request<boost::beast::http::string_body>;
using request_head =
    boost::beast::http::request<boost::beast::http::empty_body>;
using response_head =
    boost::beast::http::response<boost::beast::http::empty_body>;
using response = boost::beast::http::response<boost::beast::http::string_body>;

/// Returns the value of the header `name`, or an empty view if it is absent.
std::string_view field_value(const fields& headers, std::string_view name);

/// Converts Beast's string view to std::string_view.
inline std::string_view std_view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Converts std::string_view to Beast's string view.
inline boost::beast::string_view beast_view(std::string_view text)
{
    return {text.data(), text.size()};
}

/// Returns true if the header `name` applies to one connection only and must
/// not be forwarded: the hop-by-hop headers of RFC 9110, section 7.6.1, and
/// those that the `Connection` header in `headers` lists.
bool is_hop_by_hop(const fields& headers, std::string_view name);

/// Returns the serialized start line and headers, including the blank line that
/// ends them.
std::string serialize_head(request_head& head);
std::string serialize_head(response_head& head);

/// Returns the serialized message with its body.
std::string serialize_message(response& message);

/// Returns `data` encoded as one chunk of a chunked body.
std::string serialize_chunk(std::string_view data);

/// Returns the chunk that ends a chunked body.
std::string serialize_last_chunk();

} // namespace baobabloft::http
