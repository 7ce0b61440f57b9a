#include "transport/socket_poller.h"

#include <glib-unix.h>
#include <sys/epoll.h>
#include <unistd.h>

#include <array>

namespace pumicemast {
namespace {

constexpr int kEventsPerIteration = 64;

}  // namespace

SocketPoller& SocketPoller::instance() {
  static SocketPoller poller;
  return poller;
}

SocketPoller::SocketPoller()
    : epoll_(epoll_create1(EPOLL_CLOEXEC)),
      source_(g_unix_fd_add(epoll_, G_IO_IN, &SocketPoller::dispatch, this)) {}

SocketPoller::~SocketPoller() {
  g_source_remove(source_);
  close(epoll_);
}

std::uint32_t SocketPoller::event_mask(bool readable, bool writable) {
  return (readable ? EPOLLIN | EPOLLRDHUP : 0U) | (writable ? EPOLLOUT : 0U);
}

SocketPoller::Registration SocketPoller::add(int descriptor, SocketHandler& handler, bool readable,
                                             bool writable) {
  const Registration registration = next_++;
  entries_[registration] = {descriptor, &handler};
  epoll_event event{};
  event.events = event_mask(readable, writable);
  event.data.u64 = registration;
  epoll_ctl(epoll_, EPOLL_CTL_ADD, descriptor, &event);
  return registration;
}

void SocketPoller::set_interest(Registration registration, bool readable, bool writable) {
  const auto found = entries_.find(registration);
  if (found == entries_.end()) return;
  epoll_event event{};
  event.events = event_mask(readable, writable);
  event.data.u64 = registration;
  epoll_ctl(epoll_, EPOLL_CTL_MOD, found->second.descriptor, &event);
}

void SocketPoller::remove(Registration registration) {
  const auto found = entries_.find(registration);
  if (found == entries_.end()) return;
  epoll_ctl(epoll_, EPOLL_CTL_DEL, found->second.descriptor, nullptr);
  entries_.erase(found);
}

gboolean SocketPoller::dispatch(gint, GIOCondition, gpointer self) {
  auto* poller = static_cast<SocketPoller*>(self);
  std::array<epoll_event, kEventsPerIteration> events{};
  const int count = epoll_wait(poller->epoll_, events.data(), kEventsPerIteration, 0);
  for (int index = 0; index < count; ++index) {
    const epoll_event& event = events[static_cast<std::size_t>(index)];
    const Registration registration = event.data.u64;
    // An earlier handler in this loop may have removed the registration.
    const auto handler = [&]() -> SocketHandler* {
      const auto found = poller->entries_.find(registration);
      return found == poller->entries_.end() ? nullptr : found->second.handler;
    };
    const bool broken = (event.events & (EPOLLERR | EPOLLHUP)) != 0;
    const bool readable = (event.events & (EPOLLIN | EPOLLRDHUP)) != 0;
    if (readable && handler() != nullptr) handler()->on_readable();
    if ((event.events & EPOLLOUT) != 0 && handler() != nullptr) handler()->on_writable();
    if (broken && handler() != nullptr) handler()->on_broken();
  }
  return G_SOURCE_CONTINUE;
}

}  // namespace pumicemast
