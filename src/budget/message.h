// Owns what budgets say to one another, and its form: the content of one section of a datagram between
// gateways (docs/MEMBERSHIP.md), big-endian.
#ifndef LEMONCHUTE_BUDGET_MESSAGE_H_
#define LEMONCHUTE_BUDGET_MESSAGE_H_

#include <cstddef>
#include <optional>
#include <span>

#include "budget/terms.h"

namespace lemonchute::budget {

enum class Kind : uint8_t {
  kAskVote = 1,    // to a voter
  kVote = 2,       // its yes, for a term
  kNoVote = 3,     // its no; `hint`: who has the vote, for `term` at most
  kRelease = 4,    // the vote is given back
  kAsk = 5,        // to the arbiter, for parts
  kGrant = 6,      // its answer
  kElsewhere = 7,  // of one that is not the arbiter; `hint`: who may be
};

struct Part {
  uint32_t budget = 0;
  uint32_t amount = 0;  // grains: wanted, or given
  uint32_t number = 0;  // of the grant: held, or given
  bool operator==(const Part&) const = default;
};

struct Message {
  Kind kind = Kind::kAsk;
  bool among_groups = false;  // of the upper of two levels
  uint32_t life = 0;          // of the asking side; an answer has the asker's
  uint32_t round = 0;         // the asking side's
  uint32_t answerer = 0;      // of a grant, and of an ask that names one: the arbiter's life
  uint16_t hint = 0;
  Micros term = 0;  // whole milliseconds on the wire
  std::vector<Part> parts;
};

inline constexpr uint16_t kNobody = 0xffff;
inline constexpr size_t kMostParts = 17;  // that fit beside a datagram's head
inline constexpr Micros kMostTerm = 3'600'000'000;

std::vector<uint8_t> Write(const Message& message);
// None where the bytes are no such message.
std::optional<Message> Read(std::span<const uint8_t> bytes);

}  // namespace lemonchute::budget

#endif  // LEMONCHUTE_BUDGET_MESSAGE_H_
