// Model of the discovery service: the versioned list of backends, and when each gateway is notified of each
// version. Gateways are notified in order of versions, each after its own delay. While discovery is silent,
// no gateway is notified.
#ifndef LEMONCHUTE_LAB_MODEL_DISCOVERY_H_
#define LEMONCHUTE_LAB_MODEL_DISCOVERY_H_

#include <vector>

#include "model/run_spec.h"

namespace lemonchute::lab {

/// State of a backend in discovery's list.
enum class ListState { kActive, kLeaving, kLeft };

/// The discovery service and the notifications of its changes.
class Discovery {
 public:
  struct Entry {
    int backend = 0;
    ListState state = ListState::kActive;
    Micros since = 0;  // its last start; 0 if before the run
  };
  struct Change {
    Micros at = 0;
    Entry entry;
  };

  explicit Discovery(const RunSpec& spec);

  /// Publishes a change and returns its version: 1 + its index in changes(); version 0 is the initial list.
  /// `notified_at` receives the time of notification by gateway, kNever while discovery is silent.
  int Publish(Micros now, const Entry& entry, std::vector<Micros>* notified_at);
  /// Starts or ends a silence. At its end, gateways are notified of the pending versions. `notified_at`
  /// receives each gateway's time for the newest version.
  void SetSilent(bool silent, Micros now, std::vector<Micros>* notified_at);

  /// The same for one gateway, whose path to discovery is cut.
  void SetCut(int gateway, bool cut, Micros now);

  /// The newest version that `gateway` has been notified of by `now`.
  int VersionAt(int gateway, Micros now) const;
  /// When `gateway` was or will be notified of the version (from 1).
  Micros NotifiedAt(int gateway, int version) const {
    return notified_at_[static_cast<size_t>(version - 1)][static_cast<size_t>(gateway)];
  }
  /// Whether a silence withheld the version from any gateway.
  bool Withheld(int version) const { return withheld_[static_cast<size_t>(version - 1)] != 0; }
  /// The full list as of a version, without backends that have left.
  std::vector<Entry> ListAt(int version) const;
  const std::vector<Change>& changes() const { return changes_; }

 private:
  const RunSpec* spec_;
  Random random_;
  void Withhold(size_t gateway, Micros now);
  void Release(size_t gateway, Micros now);
  bool IsWithheldFrom(size_t gateway) const { return silent_ || cut_[gateway] != 0; }

  bool silent_ = false;
  std::vector<char> cut_;  // by gateway
  std::vector<Change> changes_;
  std::vector<std::vector<Micros>> notified_at_;  // by version, then by gateway
  std::vector<char> withheld_;                    // by version
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_MODEL_DISCOVERY_H_
