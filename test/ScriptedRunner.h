/// @file
/// A runner on a loopback port whose behaviour is scripted by the test.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace celeryline::test {

/// A runner on a loopback port. Calls a script for each completely received request; the script writes the
/// response to the socket. If it returns false, the connection is closed.
class ScriptedRunner {
public:
    using Script = std::function<bool(Poco::Net::StreamSocket& socket, const std::string& request)>;

    explicit ScriptedRunner(Script script)
        : m_script(std::move(script))
        , m_listener(Poco::Net::SocketAddress("127.0.0.1", 0), 64)
        , m_address(m_listener.address().toString())
        , m_acceptor([this] { accept(); })
    {
    }

    ~ScriptedRunner()
    {
        m_isStopping = true;
        m_acceptor.join();
        {
            const std::lock_guard lock(m_mutex);
            for (auto& socket : m_sockets) {
                try {
                    socket.shutdown();
                } catch (
                    const Poco::Exception&) { // NOLINT(bugprone-empty-catch): the socket is closed already.
                }
            }
        }
        for (auto& thread : m_threads) {
            thread.join();
        }
    }

    const std::string& address() const { return m_address; }

    /// @return the completely received requests.
    std::vector<std::string> requests() const
    {
        const std::lock_guard lock(m_mutex);
        return m_requests;
    }

    /// @return whether any byte of a request was received.
    bool receivedBytes() const { return m_receivedBytes; }

    int connections() const { return m_connections; }

    /// @return how many connections the runner has closed. A client sees an end of stream on each of them.
    int closedConnections() const { return m_closedConnections; }

    int maxConcurrent() const { return m_maxConcurrent; }

    static void send(Poco::Net::StreamSocket& socket, const std::string& bytes)
    {
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    }

    static std::string response(const std::string& body, const std::string& status = "200 OK")
    {
        return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
            + body;
    }

    /// @return the body of a request with Content-Length.
    static std::string bodyOf(const std::string& request)
    {
        return request.substr(request.find("\r\n\r\n") + 4);
    }

    /// Responds with the body of the request.
    static bool echo(Poco::Net::StreamSocket& socket, const std::string& request)
    {
        send(socket, response(bodyOf(request)));
        return true;
    }

    /// Resets the connection instead of closing it gracefully.
    static bool reset(Poco::Net::StreamSocket& socket)
    {
        socket.setLinger(true, 0);
        return false;
    }

private:
    void accept()
    {
        while (!m_isStopping) {
            if (m_listener.poll(Poco::Timespan(5000), Poco::Net::Socket::SELECT_READ)) {
                const std::lock_guard lock(m_mutex);
                m_sockets.push_back(m_listener.acceptConnection());
                m_threads.emplace_back([this, socket = m_sockets.back()]() mutable { serve(socket); });
                ++m_connections;
            }
        }
    }

    void serve(Poco::Net::StreamSocket& socket)
    {
        try {
            std::string request;
            while (!m_isStopping && readRequest(socket, request)) {
                const int now = ++m_inProgress;
                for (int maximum = m_maxConcurrent;
                     maximum < now && !m_maxConcurrent.compare_exchange_weak(maximum, now);) { }
                const bool keepsOpen = m_script(socket, request);
                --m_inProgress;
                if (!keepsOpen) {
                    break;
                }
            }
        } catch (const Poco::Exception&) { // NOLINT(bugprone-empty-catch): the peer closed the connection.
        }
        const std::lock_guard lock(m_mutex);
        for (auto& kept : m_sockets) {
            if (kept == socket) {
                kept = Poco::Net::StreamSocket();
            }
        }
        socket.close();
        ++m_closedConnections;
    }

    bool readRequest(Poco::Net::StreamSocket& socket, std::string& request)
    {
        request.clear();
        char buffer[4096];
        for (;;) {
            const auto headEnd = request.find("\r\n\r\n");
            if (headEnd != std::string::npos) {
                const auto field = request.find("Content-Length: ");
                const std::size_t length
                    = field == std::string::npos ? 0 : std::stoul(request.substr(field + 16));
                if (request.size() >= headEnd + 4 + length) {
                    break;
                }
            }
            const int received = socket.receiveBytes(buffer, sizeof buffer);
            if (received <= 0) {
                return false;
            }
            m_receivedBytes = true;
            request.append(buffer, static_cast<std::size_t>(received));
        }
        const std::lock_guard lock(m_mutex);
        m_requests.push_back(request);
        return true;
    }

    Script m_script;
    Poco::Net::ServerSocket m_listener;
    std::string m_address;
    std::atomic<bool> m_isStopping { false };
    std::atomic<bool> m_receivedBytes { false };
    std::atomic<int> m_connections { 0 };
    std::atomic<int> m_closedConnections { 0 };
    std::atomic<int> m_inProgress { 0 };
    std::atomic<int> m_maxConcurrent { 0 };
    mutable std::mutex m_mutex;
    std::vector<std::string> m_requests;
    std::vector<Poco::Net::StreamSocket> m_sockets;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

} // namespace celeryline::test
