/// The messages of the budgets and their encoding: one section of a datagram between gateways
/// (docs/MEMBERSHIP.md), big-endian.
#ifndef LEMONCHUTE_BUDGET_MESSAGE_H_
#define LEMONCHUTE_BUDGET_MESSAGE_H_

#include <cstddef>
#include <optional>
#include <span>

#include "budget/terms.h"

namespace lemonchute::budget {

enum class Kind : uint8_t {
  kVoteRequest = 1,   ///< To a voter.
  kVote = 2,          ///< The vote is granted, for `term`.
  kVoteDenied = 3,    ///< `hint` has the vote, for at most `term`.
  kRelease = 4,       ///< The candidate releases the vote.
  kLeaseRequest = 5,  ///< To the leader.
  kGrant = 6,         ///< The leader's answer.
  kNotLeader = 7,     ///< From a voter that is not the leader; `hint` may be.
};

/// One budget in a lease request or a grant.
struct BudgetEntry {
  uint32_t budget = 0;
  uint32_t amount = 0;        ///< In grains: the demand, or what is granted.
  uint32_t grant_number = 0;  ///< Of the grant that is held, or of the new one.
  bool operator==(const BudgetEntry&) const = default;
};

/// A decoded message.
struct Message {
  Kind kind = Kind::kLeaseRequest;
  bool inter_group = false;         ///< Of the upper level of HierarchicalBudgets.
  uint32_t incarnation = 0;         ///< The requester's, also in answers.
  uint32_t round = 0;               ///< The requester's, also in answers.
  uint32_t leader_incarnation = 0;  ///< In a grant, and in a request that names a grant.
  uint16_t hint = 0;                ///< A member, see Kind; kNoMember if unknown.
  Micros term = 0;                  ///< Whole milliseconds on the wire.
  std::vector<BudgetEntry> entries;
};

inline constexpr uint16_t kNoMember = 0xffff;
inline constexpr size_t kMaxEntries = 17;  // that fit into a datagram
inline constexpr Micros kMaxTerm = 3'600'000'000;

std::vector<uint8_t> Encode(const Message& message);
/// @return nothing if the bytes are no valid message.
std::optional<Message> Decode(std::span<const uint8_t> bytes);

}  // namespace lemonchute::budget

#endif  // LEMONCHUTE_BUDGET_MESSAGE_H_
