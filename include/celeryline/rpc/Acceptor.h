/// @file
/// A listening socket that survives failures to accept a connection.
#pragma once

#include <kj/async-io.h>
#include <kj/timer.h>

namespace celeryline::detail {

/// Accepts connections and sets their socket options. A failure to accept, for example while the process is
/// out of file descriptors, delays the next attempt instead of ending a server's accept loop.
class Acceptor final : public kj::ConnectionReceiver {
public:
    /// Sets the options of an accepted connection; may throw kj::Exception.
    using SetOptions = void (*)(kj::AsyncIoStream& stream);

    /// @param timer timer of the event loop; must outlive this object.
    /// @param listener the listening socket.
    /// @param setOptions called for each accepted connection. If it throws, the connection is dropped.
    Acceptor(kj::Timer& timer, kj::Own<kj::ConnectionReceiver> listener, SetOptions setOptions);

    kj::Promise<kj::Own<kj::AsyncIoStream>> accept() override;
    unsigned getPort() override { return m_listener->getPort(); }

private:
    kj::Promise<kj::Own<kj::AsyncIoStream>> acceptLater(const kj::Exception& failure);

    kj::Timer& m_timer;
    kj::Own<kj::ConnectionReceiver> m_listener;
    SetOptions m_setOptions;
    bool m_isFailureLogged = false;
};

} // namespace celeryline::detail
