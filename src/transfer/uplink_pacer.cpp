#include "transfer/uplink_pacer.h"

#include <algorithm>

namespace pumicemast {
namespace {

/// Bytes that may be queued on a connection while its upload slot is freed at once.
constexpr std::size_t kMaximumUndrainedBytes = 4U << 20U;
/// Timers fire milliseconds late, which is a fifth of the transfer time of a small chunk. The pacer
/// makes up for the capacity unused meanwhile, up to this much link time.
constexpr double kTimerDelayAllowanceSeconds = 0.02;

}  // namespace

UplinkPacer::UplinkPacer(double bytes_per_second, PeerLinks& links, Metrics& metrics,
                         std::function<void(const ChunkUpload&)> on_sent)
    : bytes_per_second_(bytes_per_second),
      links_(links),
      metrics_(metrics),
      on_sent_(std::move(on_sent)),
      bucket_(bytes_per_second, bytes_per_second * kTimerDelayAllowanceSeconds) {}

void UplinkPacer::push(ChunkUpload upload) {
  waiting_.push_back(std::move(upload));
  pump();
}

ChunkUpload UplinkPacer::take_next() {
  const auto next = std::max_element(
      waiting_.begin(), waiting_.end(),
      [](const auto& left, const auto& right) { return left.priority < right.priority; });
  ChunkUpload upload = std::move(*next);
  waiting_.erase(next);
  return upload;
}

void UplinkPacer::send(const ChunkUpload& upload) {
  wire::ChunkDataT message;
  message.digest = upload.digest;
  message.chunk = upload.chunk;
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(upload.bytes->data());
  message.bytes.assign(bytes, bytes + upload.bytes->size());
  if (upload.requested_at != TimePoint{}) {
    message.held_us = static_cast<std::uint32_t>((loop_now() - upload.requested_at).count());
  }
  links_.send(upload.peer, message);
  metrics_.count("pumicemast_transfer_sent_bytes_total", {},
                 static_cast<double>(upload.bytes->size()));
}

void UplinkPacer::pump() {
  while (!waiting_.empty() && !timer_.active()) {
    ChunkUpload upload = take_next();
    send(upload);
    const auto size = static_cast<double>(upload.bytes->size());
    upload.bytes.reset();
    if (bytes_per_second_ > 0) {
      // Sent on credit: the next chunk waits until the link has had time to carry this one.
      const TimePoint now = loop_now();
      bucket_.take_into_debt(size, now);
      timer_.start_once(bucket_.time_until(0, now), [this, upload = std::move(upload)] {
        on_sent_(upload);
        pump();
      });
      return;
    }
    if (links_.queued_bytes(upload.peer) > kMaximumUndrainedBytes) {
      undrained_[upload.peer].push_back(upload);
    } else {
      on_sent_(upload);
    }
  }
}

void UplinkPacer::on_drained(PeerId peer) {
  const auto drained = undrained_.extract(peer);
  if (drained.empty()) return;
  for (const ChunkUpload& upload : drained.mapped()) on_sent_(upload);
}

void UplinkPacer::on_peer_lost(PeerId peer) { on_drained(peer); }

}  // namespace pumicemast
