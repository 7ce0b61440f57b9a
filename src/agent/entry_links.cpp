#include "agent/entry_links.h"

#include <algorithm>

#include "common/log.h"

namespace pumicemast {
namespace {

constexpr Duration kConnectTimeout = seconds(3);
constexpr std::int64_t kInitialBackoffMs = 100;
constexpr std::uint32_t kMaximumDoublings = 4;

}  // namespace

EntryLinks::EntryLinks(std::vector<Address> addresses, std::uint64_t seed, Callbacks callbacks)
    : callbacks_(std::move(callbacks)),
      random_(static_cast<std::minstd_rand::result_type>(seed % std::minstd_rand::modulus + 1)) {
  for (Address& address : addresses) {
    auto link = std::make_unique<Link>();
    link->address = std::move(address);
    links_.push_back(std::move(link));
  }
}

void EntryLinks::start() {
  for (const auto& link : links_) connect(*link);
}

void EntryLinks::connect(Link& link) {
  connect_wire(link.address, kConnectTimeout,
               [this, &link](std::unique_ptr<WireConnection> connection) {
                 on_connected(link, std::move(connection));
               });
}

void EntryLinks::on_connected(Link& link, std::unique_ptr<WireConnection> connection) {
  if (!connection) {
    retry_later(link);
    return;
  }
  link.failures = 0;
  link.number = next_number_++;
  link.connection = std::move(connection);
  const EntryNumber number = link.number;
  link.connection->start(
      {[this, number](const wire::Frame& frame) { callbacks_.on_frame(number, frame); },
       [this, &link](const std::string& reason) { on_closed(link, reason); },
       {}});
  link.connection->send(callbacks_.hello());
  LOG(INFO) << "entry address=" << link.address.to_string() << " state=LOST->CONNECTED";
  callbacks_.on_connected(number);
}

void EntryLinks::on_closed(Link& link, const std::string& reason) {
  LOG(WARNING) << "entry address=" << link.address.to_string()
               << " state=CONNECTED->LOST reason=" << reason;
  const EntryNumber number = link.number;
  link.number = 0;
  link.connection.reset();
  callbacks_.on_lost(number);
  retry_later(link);
}

void EntryLinks::retry_later(Link& link) {
  const std::int64_t limit_ms = kInitialBackoffMs << std::min(link.failures++, kMaximumDoublings);
  const std::int64_t delay_ms =
      kInitialBackoffMs / 2 + static_cast<std::int64_t>(random_()) % limit_ms;
  link.retry.start_once(milliseconds(delay_ms), [this, &link] { connect(link); });
}

WireConnection* EntryLinks::connection(EntryNumber entry) {
  for (const auto& link : links_) {
    if (entry != 0 && link->number == entry) return link->connection.get();
  }
  return nullptr;
}

void EntryLinks::broadcast(const wire::AgentStatusT& status) {
  for (const auto& link : links_) {
    if (link->connection) link->connection->send(status);
  }
}

std::size_t EntryLinks::connected() const {
  return static_cast<std::size_t>(std::count_if(
      links_.begin(), links_.end(), [](const auto& link) { return link->connection != nullptr; }));
}

}  // namespace pumicemast
