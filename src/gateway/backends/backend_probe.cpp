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
    timeout_.start_once(kProbeTimeout, [this] { owner_.finish(backend_, false); });
  }

 private:
  void on_stream_data(std::string_view) override {}
  void on_stream_connected() override { owner_.finish(backend_, false); }
  void on_stream_end(StreamEnd end) override {
    owner_.finish(backend_, end == StreamEnd::connect_refused);
  }

  BackendProbes& owner_;
  std::string backend_;
  TcpStream stream_;
  Timer timeout_;
};

BackendProbes::BackendProbes(std::function<void(const std::string& backend)> on_refused)
    : on_refused_(std::move(on_refused)) {}

BackendProbes::~BackendProbes() = default;

void BackendProbes::start(const std::string& backend, const Address& address) {
  if (probes_.contains(backend)) return;
  probes_[backend] = std::make_unique<Probe>(*this, backend, address);
}

void BackendProbes::finish(const std::string& backend, bool refused) {
  auto node = probes_.extract(backend);
  if (node.empty()) return;
  deleter_.defer(std::move(node.mapped()));
  if (refused) on_refused_(node.key());
}

}  // namespace pumicemast
