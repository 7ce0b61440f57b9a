#include "transport/wire_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <array>

#include "transport/tcp_keepalive.h"

namespace pumicemast {
namespace {

constexpr std::size_t kReadBytes = 256U * 1024U;
/// Most reads per connection in one loop iteration, so that a busy peer cannot starve the others.
constexpr int kReadsPerIteration = 4;

}  // namespace

WireConnection::WireConnection(GObjectPointer<GSocketConnection> connection)
    : connection_(std::move(connection)),
      socket_(g_socket_connection_get_socket(connection_.get())) {
  g_socket_set_blocking(socket_, FALSE);
  g_socket_set_option(socket_, IPPROTO_TCP, TCP_NODELAY, 1, nullptr);
  enable_tcp_keepalive(g_socket_get_fd(socket_), kInternalKeepaliveIdle);
}

WireConnection::~WireConnection() {
  callbacks_ = {};
  close("destroyed");
  if (closed_source_ != 0) g_source_remove(closed_source_);
}

void WireConnection::start(Callbacks callbacks) {
  callbacks_ = std::move(callbacks);
  registration_ = SocketPoller::instance().add(g_socket_get_fd(socket_), *this);
  update_interest();
}

void WireConnection::update_interest() {
  if (registration_ != 0) {
    SocketPoller::instance().set_interest(registration_, reading_, writing_);
  }
}

void WireConnection::set_reading(bool reading) {
  if (reading == reading_ || !open_) return;
  reading_ = reading;
  update_interest();
}

void WireConnection::set_user_timeout(Duration limit) {
  if (limit <= Duration::zero() || !open_) return;
  set_tcp_user_timeout(g_socket_get_fd(socket_), limit);
}

void WireConnection::on_readable() {
  // The event may have been queued before reading was paused.
  if (reading_) read_available();
}

void WireConnection::on_broken() {
  if (reading_) read_available();  // Data received before the failure is still processed.
  if (open_) close("connection broken");
}

void WireConnection::read_available() {
  static std::array<std::uint8_t, kReadBytes>
      buffer;  // Safe to share: all connections run on one thread.
  for (int iteration = 0; iteration < kReadsPerIteration && open_ && reading_; ++iteration) {
    GError* error = nullptr;
    const gssize count = g_socket_receive(socket_, reinterpret_cast<gchar*>(buffer.data()),
                                          buffer.size(), nullptr, &error);
    if (count < 0) {
      const bool would_block = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != 0;
      const std::string reason = error->message;
      g_error_free(error);
      if (!would_block) close(reason);
      return;
    }
    if (count == 0) {
      close("end of stream");
      return;
    }
    const FrameFault fault =
        reader_.consume({buffer.data(), static_cast<std::size_t>(count)}, callbacks_.on_frame);
    if (fault != FrameFault::none) {
      close(fault == FrameFault::oversize ? "oversize frame" : "malformed frame");
    }
    if (static_cast<std::size_t>(count) < buffer.size()) return;
  }
}

void WireConnection::queue(EncodedFrame frame) {
  if (!open_) return;
  queued_bytes_ += frame.size();
  outgoing_.push_back(std::move(frame));
  if (writing_) return;
  writing_ = write_available() && open_;
  if (writing_) update_interest();
}

bool WireConnection::write_available() {
  while (!outgoing_.empty()) {
    const auto& first_frame = outgoing_.front();
    GError* error = nullptr;
    const gssize count =
        g_socket_send(socket_, reinterpret_cast<const gchar*>(first_frame.data()) + front_offset_,
                      first_frame.size() - front_offset_, nullptr, &error);
    if (count < 0) {
      const bool would_block = g_error_matches(error, G_IO_ERROR, G_IO_ERROR_WOULD_BLOCK) != 0;
      const std::string reason = error->message;
      g_error_free(error);
      if (!would_block) close(reason);
      return would_block;
    }
    front_offset_ += static_cast<std::size_t>(count);
    queued_bytes_ -= static_cast<std::size_t>(count);
    if (front_offset_ == first_frame.size()) {
      outgoing_.pop_front();
      front_offset_ = 0;
    }
  }
  return false;
}

void WireConnection::on_writable() {
  if (write_available() || !open_) return;
  writing_ = false;
  update_interest();
  if (callbacks_.on_drained) callbacks_.on_drained();
}

void WireConnection::close(const std::string& reason) {
  if (!open_) return;
  open_ = false;
  close_reason_ = reason;
  if (registration_ != 0) SocketPoller::instance().remove(registration_);
  registration_ = 0;
  outgoing_.clear();
  queued_bytes_ = 0;
  g_io_stream_close(G_IO_STREAM(connection_.get()), nullptr, nullptr);
  // Reported from an idle source, so that the owner may destroy the connection in on_closed.
  if (callbacks_.on_closed) closed_source_ = g_idle_add(&WireConnection::report_closed, this);
}

gboolean WireConnection::report_closed(gpointer self) {
  auto* connection = static_cast<WireConnection*>(self);
  connection->closed_source_ = 0;
  const auto on_closed = std::move(connection->callbacks_.on_closed);
  const std::string reason = connection->close_reason_;
  if (on_closed) on_closed(reason);
  return G_SOURCE_REMOVE;
}

leaf::result<std::unique_ptr<WireListener>> WireListener::listen(const Address& address,
                                                                 OnConnection on_connection) {
  std::unique_ptr<WireListener> listener(new WireListener());
  listener->on_connection_ = std::move(on_connection);
  listener->service_ = g_socket_service_new();
  GInetAddress* host = g_inet_address_new_from_string(address.host.c_str());
  GSocketAddress* socket_address = g_inet_socket_address_new(host, address.port);
  g_object_unref(host);
  GError* error = nullptr;
  const gboolean bound = g_socket_listener_add_address(
      G_SOCKET_LISTENER(listener->service_), socket_address, G_SOCKET_TYPE_STREAM,
      G_SOCKET_PROTOCOL_TCP, nullptr, nullptr, &error);
  g_object_unref(socket_address);
  if (bound == FALSE) {
    const std::string reason = error->message;
    g_error_free(error);
    return leaf::new_error(Error{ErrorCode::unavailable, address.to_string(), reason});
  }
  g_signal_connect(listener->service_, "incoming", G_CALLBACK(&WireListener::handle_incoming),
                   listener.get());
  g_socket_service_start(listener->service_);
  return listener;
}

WireListener::~WireListener() {
  if (service_ == nullptr) return;
  g_signal_handlers_disconnect_by_data(service_, this);
  g_socket_service_stop(service_);
  g_socket_listener_close(G_SOCKET_LISTENER(service_));
  g_object_unref(service_);
}

gboolean WireListener::handle_incoming(GSocketService*, GSocketConnection* connection, GObject*,
                                       gpointer self) {
  auto shared = GObjectPointer<GSocketConnection>::share(connection);
  static_cast<WireListener*>(self)->on_connection_(
      std::make_unique<WireConnection>(std::move(shared)));
  return TRUE;
}

void connect_wire(const Address& address, Duration timeout,
                  std::function<void(std::unique_ptr<WireConnection>)> on_result) {
  GSocketClient* client = g_socket_client_new();
  g_socket_client_set_enable_proxy(
      client, FALSE);  // Connections between pumicemast processes use no proxy.
  const auto timeout_s = std::max<std::int64_t>(1, to_milliseconds(timeout) / 1000);
  g_socket_client_set_timeout(client, static_cast<guint>(timeout_s));
  auto* callback = new std::function<void(std::unique_ptr<WireConnection>)>(std::move(on_result));
  g_socket_client_connect_to_host_async(
      client, address.host.c_str(), address.port, nullptr,
      [](GObject* source, GAsyncResult* result, gpointer data) {
        std::unique_ptr<std::function<void(std::unique_ptr<WireConnection>)>> on_done(
            static_cast<std::function<void(std::unique_ptr<WireConnection>)>*>(data));
        GSocketConnection* connection =
            g_socket_client_connect_to_host_finish(G_SOCKET_CLIENT(source), result, nullptr);
        if (connection == nullptr) {
          (*on_done)(nullptr);
          return;
        }
        // The timeout applies to connecting only; an established connection may stay idle.
        g_socket_set_timeout(g_socket_connection_get_socket(connection), 0);
        (*on_done)(
            std::make_unique<WireConnection>(GObjectPointer<GSocketConnection>::adopt(connection)));
      },
      callback);
  g_object_unref(client);
}

}  // namespace pumicemast
