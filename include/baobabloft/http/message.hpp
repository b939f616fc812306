// HTTP/1.1 messages and their serialized forms, by Boost.Beast's parsers and
// serializers without its transport.
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

/// Returns the value of `name`, or an empty view.
std::string_view field_value(const fields& all, std::string_view name);

/// Returns the library's string type as the standard's.
inline std::string_view std_view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Returns `text` as the library's string type.
inline boost::beast::string_view beast_view(std::string_view text)
{
    return {text.data(), text.size()};
}

/// Returns true if a header concerns one connection only and is not forwarded:
/// those of RFC 9110, section 7.6.1, and those that `Connection` names.
bool is_hop_by_hop(const fields& all, std::string_view name);

/// Returns the serialized start line and headers, blank line included.
std::string serialize_head(request_head& head);
std::string serialize_head(response_head& head);

/// Returns a serialized message with its body.
std::string serialize_message(response& message);

/// Returns `data` as one chunk of a chunked body.
std::string serialize_chunk(std::string_view data);

/// Returns the end of a chunked body.
std::string serialize_last_chunk();

} // namespace baobabloft::http
