// Base64 encoding and decoding of byte strings.
#pragma once

#include <glib.h>
#include <string>

namespace baobabloft::net
{

/// Returns `bytes` encoded in base64.
inline std::string encode_base64(const std::string& bytes)
{
    gchar* encoded = g_base64_encode(
        reinterpret_cast<const guchar*>(bytes.data()), bytes.size());
    std::string result{encoded};
    g_free(encoded);
    return result;
}

/// Returns the bytes that the base64 text `text` encodes. Characters outside
/// the base64 alphabet are skipped.
inline std::string decode_base64(const std::string& text)
{
    gsize size = 0;
    guchar* decoded = g_base64_decode(text.c_str(), &size);
    std::string result{reinterpret_cast<const char*>(decoded), size};
    g_free(decoded);
    return result;
}

} // namespace baobabloft::net
