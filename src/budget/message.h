// The budgets' messages and their encoding: one section of a datagram between gateways (docs/MEMBERSHIP.md),
// big-endian.
#ifndef LEMONCHUTE_BUDGET_MESSAGE_H_
#define LEMONCHUTE_BUDGET_MESSAGE_H_

#include <cstddef>
#include <optional>
#include <span>

#include "budget/terms.h"

namespace lemonchute::budget {

enum class Kind : uint8_t {
  kVoteRequest = 1,   // to a voter
  kVote = 2,          // granted, for a term
  kVoteDenied = 3,    // denied; `hint`: who has the vote, for at most `term`
  kRelease = 4,       // the vote is released
  kLeaseRequest = 5,  // to the leader
  kGrant = 6,         // the leader's answer
  kNotLeader = 7,     // from a member that is not the leader; `hint`: who may be
};

struct BudgetEntry {
  uint32_t budget = 0;
  uint32_t amount = 0;        // grains: demand, or grant
  uint32_t grant_number = 0;  // of the grant that is held, or given
  bool operator==(const BudgetEntry&) const = default;
};

struct Message {
  Kind kind = Kind::kLeaseRequest;
  bool inter_group = false;  // of the upper level of two
  uint32_t incarnation = 0;  // the requester's, also in answers
  uint32_t round = 0;        // the requester's
  uint32_t leader_incarnation =
      0;  // the leader's incarnation, in a grant and in a request that names a grant
  uint16_t hint = 0;
  Micros term = 0;  // whole milliseconds on the wire
  std::vector<BudgetEntry> entries;
};

inline constexpr uint16_t kNoMember = 0xffff;
inline constexpr size_t kMaxEntries = 17;  // that fit into a datagram beside its header
inline constexpr Micros kMaxTerm = 3'600'000'000;

std::vector<uint8_t> Encode(const Message& message);
// @return nothing where the bytes are no valid message.
std::optional<Message> Decode(std::span<const uint8_t> bytes);

}  // namespace lemonchute::budget

#endif  // LEMONCHUTE_BUDGET_MESSAGE_H_
