// Owns discovery: the list of backends in versions, and when each gateway is told of each. Gateways are told
// in order, each after a delay of its own; while discovery is silent nobody is told.
#ifndef LEMONCHUTE_LAB_MODEL_DISCOVERY_H_
#define LEMONCHUTE_LAB_MODEL_DISCOVERY_H_

#include <vector>

#include "model/run_spec.h"

namespace lemonchute::lab {

enum class ListState { kActive, kLeaving, kLeft };

class Discovery {
 public:
  struct Entry {
    int backend = 0;
    ListState state = ListState::kActive;
    Micros since = 0;  // its last start; 0: long ago
  };
  struct Change {
    Micros at = 0;
    Entry entry;
  };

  explicit Discovery(const RunSpec& spec);

  // Version numbers are 1 + the place in changes(); version 0 is the list of the start.
  // For each gateway, when it is told: `told[g]`; kNever while discovery is silent.
  int Publish(Micros now, const Entry& entry, std::vector<Micros>* notified_at);
  // Silent ends: what waited is told now. Gives each gateway's moment for the newest version.
  void SetSilent(bool silent, Micros now, std::vector<Micros>* notified_at);

  // The same for one gateway alone, whose path to discovery passes nothing.
  void SetCut(int gateway, bool cut, Micros now);

  // The newest version that `gateway` has been told of by now.
  int VersionAt(int gateway, Micros now) const;
  // When `gateway` was or will be told of the version (from 1).
  Micros NotifiedAt(int gateway, int version) const {
    return notified_at_[static_cast<size_t>(version - 1)][static_cast<size_t>(gateway)];
  }
  // Whether a silence kept that version from some gateways.
  bool Withheld(int version) const { return withheld_[static_cast<size_t>(version - 1)] != 0; }
  // The whole list as of a version, those that have left not among it.
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
  std::vector<std::vector<Micros>> notified_at_;  // for each version, for each gateway
  std::vector<char> withheld_;                    // by version
};

}  // namespace lemonchute::lab

#endif  // LEMONCHUTE_LAB_MODEL_DISCOVERY_H_
