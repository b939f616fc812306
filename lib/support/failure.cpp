#include "baobabloft/support/failure.hpp"

namespace baobabloft
{

std::string failure::text() const
{
    std::string result{name_in(failure_kind_names, kind)};
    result += ": ";
    result += message;
    if (!remedy.empty())
        result += " (" + remedy + ")";
    return result;
}

} // namespace baobabloft
