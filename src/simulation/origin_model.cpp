#include "simulation/origin_model.h"

namespace pumicemast::simulation {

OriginModel::OriginModel(EventQueue& events, NetworkModel& network,
                         std::function<std::uint64_t(ChunkIndex)> chunk_size, Callbacks callbacks)
    : events_(events),
      network_(network),
      chunk_size_(std::move(chunk_size)),
      callbacks_(std::move(callbacks)) {}

void OriginModel::request(const OriginRequest& request) {
  if (!network_.connected(request.machine, kOrigin, events_.now())) {
    fail(request);
    return;
  }
  events_.schedule_at(network_.message(request.machine, kOrigin, events_.now()), [this, request] {
    queue_.push_back(request);
    serve();
  });
}

void OriginModel::cancel(const OriginRequest& request) { std::erase(queue_, request); }

void OriginModel::fail(const OriginRequest& request) {
  events_.schedule_in(kUnreachableDetectionDelay,
                      [this, request] { callbacks_.on_failed(request); });
}

void OriginModel::serve() {
  while (!sending_ && !queue_.empty()) {
    const OriginRequest request = queue_.front();
    queue_.pop_front();
    if (!callbacks_.is_pending(request)) continue;
    if (network_.connected(request.machine, kOrigin, events_.now())) {
      send(request);
    } else {
      fail(request);
    }
  }
}

void OriginModel::send(const OriginRequest& request) {
  sending_ = true;
  const std::uint64_t bytes = chunk_size_(request.chunk);
  events_.schedule_at(network_.send(kOrigin, bytes, events_.now()), [this, request, bytes] {
    sending_ = false;
    bytes_sent_ += bytes;
    if (network_.connected(request.machine, kOrigin, events_.now())) {
      const TimePoint arrived = network_.deliver(kOrigin, request.machine, bytes, events_.now());
      events_.schedule_at(arrived, [this, request] { callbacks_.on_arrived(request); });
    } else {
      fail(request);
    }
    serve();
  });
}

}  // namespace pumicemast::simulation
