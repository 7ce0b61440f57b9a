#include "http1/client_connection.h"

namespace pumicemast {
namespace {

/// Responses to earlier requests that are discarded while one request waits for its own.
constexpr std::size_t kMaximumForeignResponses = 8;
constexpr std::size_t kMaximumForeignBytes = 4U * 1024U * 1024U;

}  // namespace

ClientConnection::ClientConnection(const Address& address, Duration user_timeout, Owner& owner)
    : owner_(owner), stream_(address, user_timeout, *this) {}

void ClientConnection::send_request(std::string_view bytes, bool head_request,
                                    ExchangeObserver& observer) {
  observer_ = &observer;
  head_request_ = head_request;
  head_reported_ = false;
  foreign_response_ = false;
  foreign_responses_ = 0;
  foreign_bytes_ = 0;
  reusable_ = false;
  ++requests_sent_;
  bytes_sent_before_ = stream_.bytes_sent();
  reader_.begin(head_request);
  stream_.set_reading(true);
  stream_.send(bytes);
}

void ClientConnection::abandon() {
  reusable_ = false;
  if (observer_ == nullptr) {
    stream_.close();
    return;
  }
  // Unlike an orderly close, a reset also discards data that a suspended machine has not read yet.
  observer_ = nullptr;
  stream_.reset();
}

void ClientConnection::on_stream_data(std::string_view bytes) {
  if (observer_ == nullptr) {
    // Unsolicited bytes: responses on this connection can no longer be matched to requests.
    abandon();
    owner_.on_idle_connection_ended(*this);
    return;
  }
  read(reader_.consume(bytes));
}

void ClientConnection::read(ReadStatus status) {
  if (reader_.head_complete() && !head_reported_) {
    head_reported_ = true;
    foreign_response_ = !observer_->on_response_head(reader_.head());
    if (observer_ == nullptr) return;
  }
  if (head_reported_) relay_body();
  if (observer_ == nullptr) return;
  if (status == ReadStatus::malformed) {
    fail(ExchangeFailure::malformed);
  } else if (status == ReadStatus::complete) {
    finish();
  }
}

void ClientConnection::relay_body() {
  const std::string body = reader_.take_body();
  if (!foreign_response_) {
    if (!body.empty()) observer_->on_response_body(body);
    return;
  }
  foreign_bytes_ += body.size();
  if (foreign_bytes_ > kMaximumForeignBytes) fail(ExchangeFailure::malformed);
}

void ClientConnection::finish() {
  if (foreign_response_) {
    saw_foreign_response_ = true;
    if (++foreign_responses_ > kMaximumForeignResponses) {
      fail(ExchangeFailure::malformed);
      return;
    }
    head_reported_ = false;
    foreign_response_ = false;
    reader_.begin(head_request_);
    if (reader_.has_surplus()) read(reader_.consume({}));
    return;
  }
  reusable_ = reader_.keep_alive() && !reader_.has_surplus() && !saw_foreign_response_ &&
              stream_.queued_bytes() == 0;
  keep_alive_timeout_s_ = pumicemast::keep_alive_timeout_s(reader_.head().fields);
  ExchangeObserver* observer = observer_;
  observer_ = nullptr;
  stream_.set_reading(true);
  observer->on_response_complete(reader_.end());
}

void ClientConnection::fail(ExchangeFailure failure) {
  ExchangeObserver* observer = observer_;
  abandon();
  observer->on_exchange_failed(failure);
}

void ClientConnection::on_stream_connected() {
  if (observer_ != nullptr) observer_->on_connection_established();
}

void ClientConnection::on_stream_end(StreamEnd end) {
  if (observer_ == nullptr) {
    reusable_ = false;
    owner_.on_idle_connection_ended(*this);
    return;
  }
  if (stream_.bytes_sent() == bytes_sent_before_) {
    fail(ExchangeFailure::not_sent);
    return;
  }
  if (end == StreamEnd::closed_by_peer && !foreign_response_ &&
      reader_.consume_end() == ReadStatus::complete) {
    relay_body();
    if (observer_ != nullptr) finish();
    return;
  }
  fail(ExchangeFailure::connection_lost);
}

}  // namespace pumicemast
