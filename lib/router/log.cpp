#include "baobabloft/router/log.hpp"

#include "baobabloft/support/enum_names.hpp"

#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/make_shared.hpp>

#include <atomic>
#include <chrono>
#include <map>
#include <mutex>
#include <optional>
#include <poll.h>
#include <unistd.h>
#include <utility>

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

/// Returns `value`, quoted if logfmt requires it. Line breaks become spaces.
std::string quoted(const std::string& value)
{
    if (!value.empty() && value.find_first_of(" =\"\n") == std::string::npos)
        return value;
    std::string result{"\""};
    for (const char character : value)
    {
        if (character == '"' || character == '\\')
            result += '\\';
        result += character == '\n' ? ' ' : character;
    }
    return result + '"';
}

/// Lines below this level are discarded before they are formatted.
log_level min_level = log_level::info;

/// Rate limit per event: longest burst of lines, and lines per second on
/// average. Lines beyond the limit are only counted, so that a surge of one
/// event cannot flood the log.
constexpr double line_burst = 200;
constexpr double lines_per_second = 40;
/// Longest line, including the line break. A pipe that polls as writable
/// accepts this many bytes without blocking (PIPE_BUF on Linux).
constexpr std::size_t max_line_bytes = 4096;

/// Token bucket of one event.
struct line_bucket
{
    double tokens = line_burst;
    std::chrono::steady_clock::time_point refilled_at =
        std::chrono::steady_clock::now();
    std::uint64_t suppressed = 0;
};

/// Rate limiter with one token bucket per event. The number of events is
/// bounded, because their names are literals in the program.
class line_limiter
{
public:
    /// Admits one line of `event`. Returns the number of lines suppressed since
    /// the last admitted one, or nothing if this line is suppressed too.
    std::optional<std::uint64_t> admit(std::string_view event)
    {
        const std::lock_guard guard{mutex_};
        auto& bucket = buckets_[std::string{event}];
        const auto now = std::chrono::steady_clock::now();
        const std::chrono::duration<double> elapsed = now - bucket.refilled_at;
        bucket.refilled_at = now;
        bucket.tokens = std::min(
            line_burst, bucket.tokens + elapsed.count() * lines_per_second);
        if (bucket.tokens < 1)
        {
            ++bucket.suppressed;
            return std::nullopt;
        }
        bucket.tokens -= 1;
        return std::exchange(bucket.suppressed, 0);
    }

private:
    std::mutex mutex_;
    std::map<std::string, line_bucket, std::less<>> buckets_;
};

/// Writes lines to standard output without blocking. If the reader does not
/// keep up, lines are dropped and counted.
class nonblocking_backend : public logging::sinks::basic_formatted_sink_backend<
                                char, logging::sinks::synchronized_feeding>
{
public:
    void consume(const logging::record_view& /*record*/,
                 const string_type& text)
    {
        auto line = text.substr(0, max_line_bytes - 1);
        line += '\n';
        pollfd entry{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
        const bool is_writable =
            poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
        if (!is_writable || write(STDOUT_FILENO, line.data(), line.size()) < 0)
            ++lost_lines;
    }

    static inline std::atomic<std::uint64_t> lost_lines{0};
};

} // namespace

std::uint64_t lost_log_lines()
{
    return nonblocking_backend::lost_lines;
}

void start_logging(std::string_view level)
{
    const auto threshold =
        value_in(level_names, level).value_or(log_level::info);
    logging::add_common_attributes();
    using sink = logging::sinks::synchronous_sink<nonblocking_backend>;
    const auto out = boost::make_shared<sink>();
    out->set_formatter(
        logging::expressions::stream
        << "ts="
        << logging::expressions::format_date_time<boost::posix_time::ptime>(
               "TimeStamp", "%Y-%m-%dT%H:%M:%S.%f")
        << " " << logging::expressions::smessage);
    logging::core::get()->add_sink(out);
    logging::core::get()->set_filter(
        logging::expressions::attr<int>("Severity") >=
        static_cast<int>(threshold));
    min_level = threshold;
}

void log_event(log_level level, std::string_view event,
               std::initializer_list<log_field> fields)
{
    if (level < min_level)
        return;
    static line_limiter limiter;
    const auto suppressed = limiter.admit(event);
    if (!suppressed)
        return;
    std::string line = "level=";
    line += name_in(level_names, level);
    line += " event=";
    line += event;
    for (const auto& field : fields)
    {
        line += ' ';
        line += field.name;
        line += '=' + quoted(field.value);
    }
    if (*suppressed > 0)
        line += " left_out=" + std::to_string(*suppressed);
    static logging::sources::severity_logger_mt<int> logger;
    BOOST_LOG_SEV(logger, static_cast<int>(level)) << line;
}

} // namespace baobabloft::router
