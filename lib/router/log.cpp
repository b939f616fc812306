#include "baobabloft/router/log.hpp"

#include "baobabloft/support/enum_names.hpp"

#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

#include <iostream>

namespace baobabloft::router
{

namespace
{

namespace logging = boost::log;

constexpr std::array level_names{
    enum_name<log_level>{log_level::debug, "debug"},
    enum_name<log_level>{log_level::info, "info"},
    enum_name<log_level>{log_level::warning, "warning"},
    enum_name<log_level>{log_level::error, "error"},
};

/// Quotes a value that logfmt readers would split.
std::string quoted(const std::string& value)
{
    if (!value.empty() && value.find_first_of(" =\"\n") == std::string::npos)
        return value;
    std::string result{"\""};
    for (const char letter : value)
    {
        if (letter == '"' || letter == '\\')
            result += '\\';
        result += letter == '\n' ? ' ' : letter;
    }
    return result + '"';
}

} // namespace

void start_logging(std::string_view level)
{
    const auto least = value_in(level_names, level).value_or(log_level::info);
    logging::add_common_attributes();
    logging::add_console_log(std::cerr, logging::keywords::auto_flush = true,
                             logging::keywords::format =
                                 (logging::expressions::stream
                                  << "ts="
                                  << logging::expressions::format_date_time<
                                         boost::posix_time::ptime>(
                                         "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
                                  << " " << logging::expressions::smessage));
    logging::core::get()->set_filter(
        logging::expressions::attr<int>("Severity") >= static_cast<int>(least));
}

void log_event(log_level level, std::string_view what,
               std::initializer_list<log_field> fields)
{
    std::string line = "level=";
    line += name_in(level_names, level);
    line += " event=";
    line += what;
    for (const auto& field : fields)
    {
        line += ' ';
        line += field.name;
        line += '=' + quoted(field.value);
    }
    static logging::sources::severity_logger_mt<int> logger;
    BOOST_LOG_SEV(logger, static_cast<int>(level)) << line;
}

} // namespace baobabloft::router
