// Stand-in for a plain service whose calls may not be repeated: it counts how
// often each idempotency key ran.
#include "standins.hpp"

#include <map>

namespace baobabloft::standins
{

namespace
{

class plain_service
{
public:
    explicit plain_service(unsigned work_ms) : work_ms_(work_ms) {}

    void handle(const request& item)
    {
        if (item.path == "/executions")
        {
            respond(item.message, SOUP_STATUS_OK, executions_);
            return;
        }
        if (item.path == "/standin/faults")
        {
            work_ms_ = item.json().value("work_ms", work_ms_);
            respond(item.message, SOUP_STATUS_OK, nlohmann::json::object());
            return;
        }
        nlohmann::json answer{{"path", item.path}, {"ok", true}};
        if (const auto key = item.header("Idempotency-Key"); !key.empty())
            answer["booking"] = ++executions_[key];
        const auto id = item.header("X-Request-Id");
        soup_message_headers_replace(
            soup_server_message_get_response_headers(item.message),
            "X-Request-Id", id.c_str());
        respond_later(item.message, work_ms_, SOUP_STATUS_OK, answer);
    }

private:
    std::map<std::string, int> executions_;
    unsigned work_ms_;
};

} // namespace

int run_plain(std::uint16_t port, unsigned work_ms)
{
    plain_service service{work_ms};
    return serve(port,
                 [&service](const request& item) { service.handle(item); });
}

} // namespace baobabloft::standins
