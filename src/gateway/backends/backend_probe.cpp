#include "gateway/backends/backend_probe.h"

#include "http1/tcp_stream.h"

namespace pumicemast {
namespace {

/// Bounds a connection attempt. It allows several round trips between regions (6 ms each) and ends
/// well before a restarted process could listen again.
constexpr Duration kProbeTimeout = milliseconds(500);

/// The system closes the sockets of a process that exits one after the other, the listening one at
/// times last, and resets what that one had accepted.
constexpr Duration kOutlivesExit = milliseconds(80);

}  // namespace

class BackendProbes::Probe : private StreamObserver {
 public:
  Probe(BackendProbes& owner, std::string backend, const Address& address, bool follows_up)
      : owner_(owner),
        backend_(std::move(backend)),
        address_(address),
        follows_up_(follows_up),
        stream_(address, kProbeTimeout, *this) {
    timeout_.start_once(kProbeTimeout, [this] { owner_.finish(backend_, std::nullopt); });
  }

  const Address& address() const { return address_; }
  TimePoint started() const { return started_; }
  void request_another() { another_requested_ = true; }
  bool another_requested() const { return another_requested_; }
  bool connected() const { return connected_; }
  /// No event of this probe may end the next one to the same back end.
  void stop() {
    timeout_.cancel();
    stream_.close();
  }

 private:
  void on_stream_data(std::string_view) override {}
  void on_stream_connected() override {
    connected_ = true;
    timeout_.start_once(kOutlivesExit, [this] { owner_.finish(backend_, true); });
  }
  void on_stream_end(StreamEnd end) override {
    // Another probe tells a process that has exited since from one that closes such connections.
    if (connected_ && !follows_up_) another_requested_ = true;
    const bool refused = end == StreamEnd::connect_refused;
    owner_.finish(backend_, refused ? std::optional(false) : std::nullopt);
  }

  BackendProbes& owner_;
  std::string backend_;
  Address address_;
  TimePoint started_ = loop_now();
  bool another_requested_ = false;
  bool connected_ = false;
  bool follows_up_;
  TcpStream stream_;
  Timer timeout_;
};

BackendProbes::BackendProbes(ResultHandler on_result) : on_result_(std::move(on_result)) {}

BackendProbes::~BackendProbes() = default;

void BackendProbes::start(const std::string& backend, const Address& address) {
  const auto under_way = probes_.find(backend);
  if (under_way != probes_.end()) {
    under_way->second->request_another();
  } else {
    probes_[backend] = std::make_unique<Probe>(*this, backend, address, false);
  }
}

void BackendProbes::finish(const std::string& backend, std::optional<bool> listening) {
  auto node = probes_.extract(backend);
  if (node.empty()) return;
  Probe& probe = *node.mapped();
  probe.stop();
  const bool refused = listening && !*listening;
  if (probe.another_requested() && !refused) {
    const bool follows_up = !listening && probe.connected();
    probes_[backend] = std::make_unique<Probe>(*this, backend, probe.address(), follows_up);
  }
  const TimePoint started = probe.started();
  const std::string probed = node.key();
  deleter_.defer(std::move(node.mapped()));
  if (listening) on_result_(probed, *listening, started);
}

}  // namespace pumicemast
