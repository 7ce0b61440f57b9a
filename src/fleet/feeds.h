/// The source of the operators' configuration and of the list of back ends.
///
/// Implemented by an adapter of the surrounding platform.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fleet/backend_record.h"
#include "fleet/contact_registry.h"
#include "fleet/fleet_configuration.h"
#include "locality/zone_evacuations.h"

namespace pumicemast {

class FleetListener {
 public:
  virtual ~FleetListener() = default;
  /// @param document  the configuration in the platform's own format, to relay to other processes.
  virtual void on_configuration(FleetConfiguration configuration, const std::string& document) = 0;
  /// The complete list of back ends.
  /// @param revision  revision of the list.
  virtual void on_backend_list(const std::vector<BackendRecord>& records,
                               const StoreRevision& revision) = 0;
  virtual void on_backend(const BackendRecord& record) = 0;
  virtual void on_backend_removed(const std::string& id, const StoreRevision& revision) = 0;
  /// The back ends reported so far make up the list of this revision.
  virtual void on_backends_current(const StoreRevision& revision) = 0;
  /// Operators have named the weight version that a model is to serve.
  /// @param maximum_age  the version was named at most this long ago; zero when the change was seen
  /// as it happened.
  virtual void on_weights_named(const std::string& model, std::uint64_t version,
                                Duration maximum_age) = 0;
  /// The evacuated zones, when they were first read and after each change.
  virtual void on_evacuations(const EvacuationSnapshot& snapshot) = 0;
  /// The list of back ends can be read again, or no longer; called before the data that was read.
  virtual void on_list_reachable(bool reachable) = 0;
  /// The platform's store answers again, or no longer.
  virtual void on_store_reachable(bool reachable) = 0;
};

class FleetFeed {
 public:
  virtual ~FleetFeed() = default;
  /// `listener` receives what is read after resume(): first the current state, then each change.
  virtual void start(FleetListener& listener) = 0;
  /// The platform's store is not read until resume(): other processes relay its contents.
  virtual void pause() = 0;
  /// @param list_revision  revision of the list of back ends that other processes have relayed, if
  /// known.
  virtual void resume(const StoreRevision& list_revision) = 0;
  /// The contact registry, for the zone of this process.
  virtual ContactRegistry& contacts() = 0;
  /// Parses a document that another process relayed; empty when it is not valid.
  virtual std::optional<FleetConfiguration> read_document(const std::string& document) = 0;
};

}  // namespace pumicemast
