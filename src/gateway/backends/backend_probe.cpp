#include "gateway/backends/backend_probe.h"

#include "http1/tcp_stream.h"

namespace pumicemast {
namespace {

/// Bounds a connection attempt. It allows several round trips between regions (6 ms each) and ends
/// well before a restarted process could listen again.
constexpr Duration kProbeTimeout = milliseconds(500);

}  // namespace

class BackendProbes::Probe : private StreamObserver {
 public:
  Probe(BackendProbes& owner, std::string backend, const Address& address)
      : owner_(owner), backend_(std::move(backend)), stream_(address, kProbeTimeout, *this) {
    timeout_.start_once(kProbeTimeout, [this] { owner_.finish(backend_, std::nullopt); });
  }

 private:
  void on_stream_data(std::string_view) override {}
  void on_stream_connected() override { owner_.finish(backend_, true); }
  void on_stream_end(StreamEnd end) override {
    const bool refused = end == StreamEnd::connect_refused;
    owner_.finish(backend_, refused ? std::optional(false) : std::nullopt);
  }

  BackendProbes& owner_;
  std::string backend_;
  TcpStream stream_;
  Timer timeout_;
};

BackendProbes::BackendProbes(
    std::function<void(const std::string& backend, bool listening)> on_result)
    : on_result_(std::move(on_result)) {}

BackendProbes::~BackendProbes() = default;

void BackendProbes::start(const std::string& backend, const Address& address) {
  if (probes_.contains(backend)) return;
  probes_[backend] = std::make_unique<Probe>(*this, backend, address);
}

void BackendProbes::finish(const std::string& backend, std::optional<bool> listening) {
  auto node = probes_.extract(backend);
  if (node.empty()) return;
  deleter_.defer(std::move(node.mapped()));
  if (listening) on_result_(node.key(), *listening);
}

}  // namespace pumicemast
