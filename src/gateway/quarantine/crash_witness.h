/// Tells which requests ran on a back end whose process ended.
///
/// A decision core: no I/O. A connection that breaks off says little by itself: a link, a drain or
/// a fault of one answer do it as well. Only together with the word that the process ended, within
/// a moment, is it evidence. That word comes from the agent on the engine's machine, which lives on
/// when the engine alone ends; a machine without power or behind a cut gives none. Plain services
/// have no agent: there a refused connection says it.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "common/time.h"
#include "fleet/backend_record.h"
#include "gateway/quarantine/request_fingerprint.h"

namespace pumicemast {

/// A back end's process ended while these requests ran there.
struct BackendCrash {
  BackendIncarnation backend;
  TimePoint at{};
  std::vector<RequestFingerprint> requests;
  /// Several back ends ended at that moment: what ended them may be common to them all.
  bool in_crowd = false;
};

class CrashWitness {
 public:
  /// The attempt of a request broke off before its answer was whole.
  void on_cut_off(const BackendIncarnation& backend, const RequestFingerprint& request,
                  TimePoint now);
  /// The back end's process ended, whatever ran there.
  void on_ended(const std::string& backend, TimePoint now);
  /// What was found since the last call; once more what has turned out to be one of a crowd.
  std::vector<BackendCrash> take_crashes(TimePoint now);
  /// Whether it may yet turn out that a process ended under the request.
  bool awaits(const RequestFingerprint& request, TimePoint now) const;
  /// Forgets what was not confirmed in time. Call now and then.
  void sweep(TimePoint now);

 private:
  struct CutOff {
    BackendIncarnation backend;
    RequestFingerprint request;
    TimePoint at{};
  };

  bool in_crowd(TimePoint at) const;

  std::map<std::string, std::vector<CutOff>> cut_off_;  ///< By id, without word of the end.
  std::map<std::string, TimePoint> ended_;              ///< By id: ended a moment ago.
  std::vector<BackendCrash> found_;                     ///< Not taken yet.
  std::vector<BackendCrash> taken_;                     ///< A moment ago, as alone.
};

}  // namespace pumicemast
