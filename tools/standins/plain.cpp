// Stand-in for a plain service whose calls must not be repeated. Counts how
// often each idempotency key was executed.
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

    void handle(const request& incoming)
    {
        if (incoming.path == "/executions")
        {
            respond(incoming.message, SOUP_STATUS_OK, executions_);
            return;
        }
        if (incoming.path == "/standin/faults")
        {
            work_ms_ = incoming.json().value("work_ms", work_ms_);
            respond(incoming.message, SOUP_STATUS_OK, nlohmann::json::object());
            return;
        }
        nlohmann::json response{{"path", incoming.path}, {"ok", true}};
        if (const auto key = incoming.header("Idempotency-Key"); !key.empty())
            response["booking"] = ++executions_[key];
        const auto id = incoming.header("X-Request-Id");
        soup_message_headers_replace(
            soup_server_message_get_response_headers(incoming.message),
            "X-Request-Id", id.c_str());
        respond_later(incoming.message, work_ms_, SOUP_STATUS_OK, response);
    }

private:
    std::map<std::string, int> executions_;
    unsigned work_ms_;
};

} // namespace

int run_plain(std::uint16_t port, unsigned work_ms)
{
    plain_service service{work_ms};
    return serve(port, [&service](const request& incoming)
                 { service.handle(incoming); });
}

} // namespace baobabloft::standins
