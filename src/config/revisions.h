// Owns the configuration's revisions: which one runs, those before it, and one that is only tried out. A
// plain state machine: it is told what is wished and what the clocks say, and answers with the state that
// would come next. Whoever holds it prepares that state's configuration, writes the record, and only then
// takes it by Take, which can't fail. No I/O, no clock.
#ifndef LEMONCHUTE_CONFIG_REVISIONS_H_
#define LEMONCHUTE_CONFIG_REVISIONS_H_

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "config/check.h"
#include "config/plan.h"

namespace lemonchute::config {

// The system's clock, for people and for a process that has no other; and one that only goes forward, which
// all processes of a machine share until it is started anew.
struct Times {
  double system_s = 0;
  double steady_s = 0;
  bool operator==(const Times&) const = default;
};

enum class From { kFile, kPut, kRollBack, kReturn };
const char* Word(From from);

struct Revision {
  uint64_t number = 0;
  std::string id;   // of its content
  double at_s = 0;  // system's clock
  From from = From::kFile;
  uint64_t of = 0;          // rolled back or returned: the revision whose content it has
  std::string outcome;      // "running", "on trial", "replaced", "rolled back", "returned"
  nlohmann::json document;  // null where it is too old to be kept
  bool operator==(const Revision&) const = default;
};

// A revision on trial ("commit confirmed"): without a confirmation in time, `back_to` runs again.
struct Trial {
  uint64_t number = 0, back_to = 0;
  Times since;
  double limit_s = 0;
  bool operator==(const Trial&) const = default;
};

struct TurnedDown {
  double at_s = 0;
  From from = From::kFile;
  std::string why;
  bool operator==(const TurnedDown&) const = default;
};

struct State {
  uint64_t turn = 0;  // raised by every change, so that of two states the later one is known
  uint64_t running = 0;
  std::vector<Revision> revisions;  // the oldest first, the running one last
  std::optional<Trial> trial;
  // The platform's file as last taken: its id, the revision it made, and the addresses that it named.
  std::string file_id;
  uint64_t file_number = 0;
  nlohmann::json file_discovery, file_counter;
  nlohmann::json known;  // the list in the file as last taken at a start; null where it was none or large

  const Revision* Find(uint64_t number) const;
  const Revision& Running() const { return revisions.back(); }
  bool operator==(const State&) const = default;
};

// Text for the record, with a checksum; and the state in such a text. None for what is cut, foreign, of
// another format or not whole.
std::string WriteRecord(const State& state);
std::optional<State> ReadRecord(std::string_view text);

inline constexpr size_t kMostRevisions = 16;
inline constexpr size_t kMostKept = size_t{1} << 20;  // bytes of older revisions' documents
inline constexpr double kMostTrialS = 86400;          // a day: longer is no trial

// What is wished. `base`: the revision that an operator went by.
struct Wish {
  From from = From::kFile;
  nlohmann::json document;       // of a file or a put
  std::optional<uint64_t> base;  // of a put; of a roll back where named
  uint64_t to = 0;               // of a roll back; 0: the one before
  double trial_s = 0;            // 0: for good
};

// A no: nothing has changed. `kind` is what the caller has to mend.
struct Refusal {
  enum Kind { kUnsound, kRestart, kOtherBase, kUnknown, kNothing } kind = kUnsound;
  std::string why;
  std::vector<Fault> faults;
  std::vector<Change> changes;
};

struct Next {
  State state;
  bool same = false;               // the content that runs already: nothing to prepare
  std::vector<Fault> warnings;     // doubtful, but taken
  std::vector<Change> changes;     // all that differ
  std::vector<std::string> later;  // places that need a restart and stay as they run
};

class Revisions {
 public:
  // Begins with a file that was found sound, or with a state that a record held.
  static State Begin(const nlohmann::json& document, Times now);
  // Of a start beside a record: by the record where the file is what it went by already, or not sound (null);
  // else, or where the record is of no use (`by_file`), by the file as a further revision.
  static State Resume(const State& record, const nlohmann::json& file, Times now, bool by_file = false);

  Revisions(State state, nlohmann::json form);

  std::variant<Next, Refusal> Propose(const Wish& wish, Times now) const;
  std::variant<Next, Refusal> Confirm(uint64_t number) const;
  // The revision on trial has had its time: the way back. None while it has not, or there is none.
  std::optional<Next> Due(Times now) const;
  std::optional<double> LeftS(Times now) const;  // of the trial
  // What another process of this gateway has written; none where it is no later than this one's.
  std::optional<Next> Follow(const State& other) const;

  void Take(State&& state) noexcept { state_ = std::move(state); }
  void NoteTurnedDown(From from, std::string why, Times now);

  const State& state() const { return state_; }
  const std::vector<TurnedDown>& turned_down() const { return turned_down_; }
  const nlohmann::json& form() const { return form_; }

 private:
  State state_;
  nlohmann::json form_;  // the settings that this process began with
  std::vector<TurnedDown> turned_down_;
};

}  // namespace lemonchute::config

#endif  // LEMONCHUTE_CONFIG_REVISIONS_H_
