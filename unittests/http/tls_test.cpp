// Tests callers over TLS: complete and aborted responses, reload of the
// certificate, disconnects, and peers that do not speak TLS.
#include "baobabloft/http/caller_table.hpp"
#include "baobabloft/http/tcp_stream.hpp"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <atomic>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace baobabloft::http
{

namespace
{

const std::string data_folder =
    std::string{BAOBAB_SOURCE_DIR} + "/unittests/http/data/";

/// What a client has received.
struct client_result
{
    std::string bytes;
    /// The connection ended with a TLS closing record (close_notify).
    bool orderly_close = false;
};

gboolean accept_any(GTlsConnection* /*connection*/, GTlsCertificate* /*peer*/,
                    GTlsCertificateFlags /*errors*/, gpointer /*data*/)
{
    return TRUE;
}

/// Connects, sends `bytes` and reads to the end of the connection. Blocks.
client_result call(std::uint16_t port, const std::string& bytes)
{
    const net::object_ptr<GSocketClient> client{g_socket_client_new()};
    const net::object_ptr<GSocketConnection> base{
        g_socket_client_connect_to_host(client.get(), "127.0.0.1", port,
                                        nullptr, nullptr)};
    if (!base)
        return {};
    const net::object_ptr<GIOStream> secured{
        g_tls_client_connection_new(G_IO_STREAM(base.get()), nullptr, nullptr)};
    g_signal_connect(secured.get(), "accept-certificate",
                     G_CALLBACK(accept_any), nullptr);
    auto* output = g_io_stream_get_output_stream(secured.get());
    if (g_output_stream_write_all(output, bytes.data(), bytes.size(), nullptr,
                                  nullptr, nullptr) == FALSE)
        return {};
    client_result result;
    std::array<char, 4096> buffer{};
    while (true)
    {
        const auto size =
            g_input_stream_read(g_io_stream_get_input_stream(secured.get()),
                                buffer.data(), buffer.size(), nullptr, nullptr);
        if (size <= 0)
        {
            result.orderly_close = size == 0;
            return result;
        }
        result.bytes.append(buffer.data(), static_cast<std::size_t>(size));
    }
}

class tls_test : public testing::Test
{
protected:
    tls_test()
    {
        failure reason;
        EXPECT_TRUE(certificate.load(data_folder + "test.crt",
                                     data_folder + "test.key", reason))
            << reason.text();
        listener = tcp_listener::open(
            loop, {"127.0.0.1", 0}, {.certificate = &certificate},
            [this](std::shared_ptr<byte_stream> stream)
            {
                callers.accept(std::move(stream), {},
                               {.on_request = serve, .on_rejected = nullptr});
            },
            reason);
        EXPECT_NE(listener, nullptr) << reason.text();
        port = listener->port();
    }

    /// Runs the loop while a client on another thread connects and sends
    /// `bytes`.
    client_result call_server(const std::string& bytes)
    {
        client_result result;
        std::atomic<bool> done = false;
        std::thread client{[&]
                           {
                               result = call(port, bytes);
                               done = true;
                               loop.post([] {});
                           }};
        while (!done)
            g_main_context_iteration(loop.context(), TRUE);
        client.join();
        return result;
    }

    net::event_loop loop;
    net::event_loop::default_context_scope loop_scope{loop};
    tls_certificate certificate;
    std::uint16_t port = 0;
    std::unique_ptr<tcp_listener> listener;
    std::function<std::shared_ptr<caller_session>(
        const caller_table::caller_ptr&, request&&)>
        serve;
    caller_table callers;
};

constexpr const char* one_request =
    "GET /x HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

TEST_F(tls_test, a_large_response_arrives_completely_with_an_orderly_close)
{
    constexpr std::size_t size = 3'000'000;
    serve = [](const auto& caller, request&&)
    {
        response out;
        out.result(200);
        out.body() = std::string(size, 'x');
        caller->respond(net::boot_now(), std::move(out), true);
        return nullptr;
    };
    const auto result = call_server(one_request);
    EXPECT_TRUE(result.bytes.starts_with("HTTP/1.1 200"));
    EXPECT_TRUE(result.bytes.ends_with(std::string(100, 'x')));
    EXPECT_GT(result.bytes.size(), size);
    EXPECT_TRUE(result.orderly_close);
}

TEST_F(tls_test, an_aborted_stream_has_no_orderly_close)
{
    serve = [](const auto& caller, request&&)
    {
        response_head head;
        head.result(200);
        caller->start_streamed_response(std::move(head), false);
        caller->send_body_part("data: 1\n\n");
        const std::weak_ptr<caller_channel> weak = caller;
        caller->abort();
        return nullptr;
    };
    EXPECT_FALSE(call_server(one_request).orderly_close);
}

TEST_F(tls_test, a_plaintext_peer_is_disconnected)
{
    bool served = false;
    serve = [&](const auto&, request&&)
    {
        served = true;
        return nullptr;
    };
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ASSERT_EQ(connect(fd, reinterpret_cast<const sockaddr*>(&address),
                      sizeof address),
              0);
    ASSERT_GT(send(fd, one_request, 20, MSG_NOSIGNAL), 0);
    bool timed_out = false;
    loop.run_after(5s, [&] { timed_out = true; });
    std::array<char, 64> buffer{};
    // A TLS alert may be received before the end.
    while (!timed_out)
    {
        g_main_context_iteration(loop.context(), TRUE);
        const auto size = recv(fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (size == 0 || (size < 0 && errno == ECONNRESET))
            break;
    }
    ::close(fd);
    EXPECT_FALSE(timed_out);
    EXPECT_FALSE(served);
    EXPECT_EQ(callers.size(), 0U);
}

TEST_F(tls_test, an_unreadable_certificate_keeps_the_previous_one)
{
    const auto* before = certificate.get();
    failure reason;
    EXPECT_FALSE(certificate.load("/nowhere", "/nowhere", reason));
    EXPECT_EQ(certificate.get(), before);
    EXPECT_FALSE(reason.text().empty());
}

TEST_F(tls_test, a_disconnect_is_detected_while_a_request_is_served)
{
    class session : public caller_session
    {
    public:
        explicit session(bool& disconnected) : disconnected_(disconnected) {}

        void on_caller_disconnected() override
        {
            disconnected_ = true;
        }

        void on_caller_drained() override {}
        void limit_deadline(time_point /*now*/, time_point /*last*/) override {}

    private:
        bool& disconnected_;
    };

    bool disconnected = false;
    std::shared_ptr<caller_session> held;
    serve = [&](const auto&, request&&)
    {
        held = std::make_shared<session>(disconnected);
        return held;
    };
    // The client sends a request and disconnects without reading.
    std::thread client{
        [this]
        {
            const net::object_ptr<GSocketClient> peer{g_socket_client_new()};
            const net::object_ptr<GSocketConnection> base{
                g_socket_client_connect_to_host(peer.get(), "127.0.0.1", port,
                                                nullptr, nullptr)};
            const net::object_ptr<GIOStream> secured{
                g_tls_client_connection_new(G_IO_STREAM(base.get()), nullptr,
                                            nullptr)};
            g_signal_connect(secured.get(), "accept-certificate",
                             G_CALLBACK(accept_any), nullptr);
            g_output_stream_write_all(
                g_io_stream_get_output_stream(secured.get()), one_request,
                std::string_view{one_request}.size(), nullptr, nullptr,
                nullptr);
            g_io_stream_close(secured.get(), nullptr, nullptr);
        }};
    bool timed_out = false;
    loop.run_after(5s, [&] { timed_out = true; });
    while (!disconnected && !timed_out)
        g_main_context_iteration(loop.context(), TRUE);
    client.join();
    EXPECT_TRUE(disconnected);
}

} // namespace

} // namespace baobabloft::http
