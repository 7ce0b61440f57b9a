/// Where a process learns what operators declare and which back ends there are.
///
/// Implemented by a translator of the surrounding platform.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fleet/backend_record.h"
#include "fleet/contact_registry.h"
#include "fleet/fleet_configuration.h"

namespace pumicemast {

class FleetListener {
 public:
  virtual ~FleetListener() = default;
  /// @param document  the configuration in the platform's own form, to pass on to others.
  virtual void on_configuration(FleetConfiguration configuration, const std::string& document) = 0;
  /// The whole list of back ends.
  /// @param revision  of the list.
  virtual void on_backend_list(const std::vector<BackendRecord>& records,
                               std::uint64_t revision) = 0;
  virtual void on_backend(const BackendRecord& record) = 0;
  virtual void on_backend_gone(const std::string& id, std::uint64_t revision) = 0;
  /// Everything that was told of back ends makes up the list of this revision.
  virtual void on_backends_current(std::uint64_t revision) = 0;
  /// @param maximum_age  the naming is at most so long ago; zero when it was seen as it happened.
  virtual void on_weights_named(const std::string& model, std::uint64_t version,
                                Duration maximum_age) = 0;
  /// The list of back ends can be read again, or can't; told before what was read.
  virtual void on_list_reachable(bool reachable) = 0;
  /// The platform's store answers, or has ceased to.
  virtual void on_store_reachable(bool reachable) = 0;
};

class FleetFeed {
 public:
  virtual ~FleetFeed() = default;
  /// `listener` is told what is read from resume() on: first the present state, then each change.
  virtual void start(FleetListener& listener) = 0;
  /// The platform's store is not read until resume(): other processes pass on what is there.
  virtual void pause() = 0;
  /// @param list_revision  of the list of back ends as others have passed it on; 0 for none.
  virtual void resume(std::uint64_t list_revision) = 0;
  /// Of the zone of this process.
  virtual ContactRegistry& contacts() = 0;
  /// Reads a document that another process passed on; empty when it is not valid.
  virtual std::optional<FleetConfiguration> read_document(const std::string& document) = 0;
};

}  // namespace pumicemast
