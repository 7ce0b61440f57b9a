#include "gateway/peers/permit_exchange.h"

namespace pumicemast {
namespace {

/// Interval at which held permits are checked, so that unused ones are returned.
constexpr Duration kExchangeInterval = milliseconds(25);
/// An issuer without requests for this time is dropped. Longer than the time between two permits
/// under the lowest limit.
constexpr Duration kIssuerIdleTimeout = seconds(60);

}  // namespace

PermitExchange::PermitExchange(PeerId self, BackendPool& pool, FleetLinks& links,
                               std::function<void()> on_permits_changed)
    : self_(self), pool_(pool), links_(links), on_permits_changed_(std::move(on_permits_changed)) {}

void PermitExchange::schedule() {
  if (!pool_.permits().active() || timer_.active()) return;
  timer_.start_once(Duration::zero(), [this] { exchange(); });
}

void PermitExchange::exchange() {
  const TimePoint now = loop_now();
  for (const PermitMessage& call : pool_.permits().take_messages(now)) {
    const BackendRecord* record = pool_.record_of(call.backend);
    if (record != nullptr) send(*record, call, now);
  }
  if (pool_.permits().active() && !timer_.active()) {
    timer_.start_once(kExchangeInterval, [this] { exchange(); });
  }
}

void PermitExchange::send(const BackendRecord& record, const PermitMessage& call, TimePoint now) {
  PermitRequest request{record.id,
                        record.started_at_ms,
                        call.asked_at,
                        call.wanted,
                        0,
                        pool_.limits().limit_of(record.id),
                        call.given_back,
                        self_,
                        pool_.cold_limit(record, now)};
  if (const auto agent = links_.agent_of(record.address)) {
    links_.send(*agent, request);
    return;
  }
  const PeerId issuer = ranking_.choose(record.id, self_, links_.known_gateways(), now);
  if (issuer == self_) {
    const PermitAnswer answer = issue(request, now);
    if (request.wanted) on_answer(self_, answer);
    return;
  }
  if (request.wanted) ranking_.on_asked(issuer, now);
  links_.send(issuer, request);
}

bool PermitExchange::send_limit_to_agent(const std::string& backend) {
  const BackendRecord* record = pool_.record_of(backend);
  if (record == nullptr) return false;
  const auto agent = links_.agent_of(record->address);
  if (!agent) return false;
  const TimePoint now = loop_now();
  links_.send(*agent, PermitRequest{record->id,
                                    record->started_at_ms,
                                    now,
                                    false,
                                    0,
                                    pool_.limits().limit_of(backend),
                                    {},
                                    self_,
                                    pool_.cold_limit(*record, now)});
  return true;
}

PermitAnswer PermitExchange::issue(const PermitRequest& request, TimePoint now) {
  Issuer& issuer = issuers_[BackendIncarnation{request.backend, request.started_at_ms}];
  issuer.last_request_at = now;
  return issuer.permits.on_request(request, now);
}

void PermitExchange::on_request(PeerId gateway, const PermitRequest& request) {
  PermitRequest from_gateway = request;
  from_gateway.gateway = gateway;
  const PermitAnswer answer = issue(from_gateway, loop_now());
  if (request.wanted) links_.send(gateway, answer);
}

void PermitExchange::on_answer(PeerId issuer, const PermitAnswer& answer) {
  const TimePoint now = loop_now();
  ranking_.on_answered(issuer);
  pool_.permits().on_answer(answer, now);
  const LimitSource source = links_.is_agent(issuer) ? LimitSource::agent : LimitSource::gateway;
  pool_.limits().on_reported(answer.backend, answer.limit, source);
  on_permits_changed_();
  schedule();
}

void PermitExchange::sweep(TimePoint now) {
  std::erase_if(issuers_, [now](const auto& entry) {
    return now - entry.second.last_request_at > kIssuerIdleTimeout;
  });
}

}  // namespace pumicemast
