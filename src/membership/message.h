/// The datagram format between gateways: versioned, big-endian, at most 256 bytes. A fixed header is followed
/// by sections, each with its kind and length. Unknown kinds are skipped, so newer versions can add some.
#ifndef LEMONCHUTE_MEMBERSHIP_MESSAGE_H_
#define LEMONCHUTE_MEMBERSHIP_MESSAGE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace lemonchute::membership {

inline constexpr size_t kMaxDatagramBytes = 256;  // (PROTOCOL, Between gateways)
inline constexpr size_t kMaxMembers = 8192;       // member numbers are below this
inline constexpr size_t kViewParts = 16;          // parts of a view that have a digest each
// An incarnation grows by one with each refutation, so a fleet never gets near this bound.
inline constexpr uint32_t kMaxIncarnation = 1u << 30;

/// The state of a member. Of two updates with the same incarnation the later state in this order wins.
enum class State : uint8_t { kAlive, kSuspect, kDead, kLeft };

/// What a member runs. It belongs to the member's incarnation: a change starts a new incarnation.
struct SoftwareVersion {
  uint32_t program = 0, config = 0;  ///< Hashes of the program and of the configuration's content.
  auto operator<=>(const SoftwareVersion&) const = default;
};

/// A statement about one member, as it is gossiped.
struct Update {
  uint16_t member = 0;
  State state = State::kAlive;
  uint16_t reporter = 0;  ///< The member that reported it.
  uint32_t incarnation = 0;
  SoftwareVersion version;
  bool operator==(const Update&) const = default;
};

enum class Kind : uint8_t {
  kPing = 1,  ///< Asks for an ack with the same sequence.
  kAck = 2,
  kPingRequest = 3,  ///< Asks the receiver to ping `target` on the sender's behalf.
  kNack = 4,         ///< The receiver of a ping request has no ack so far.
  kDigests = 5,      ///< The digests of the sender's view parts, sent when the views differ.
  kEntries = 6,      ///< Entries of a part that differs.
};

/// A decoded datagram.
struct Message {
  Kind kind = Kind::kPing;
  uint16_t from = 0;
  uint16_t target = 0;    ///< The member to ping, or that an ack or nack is about.
  uint32_t sequence = 0;  ///< Chosen by the requester and repeated in the answer.
  uint64_t digest = 0;    ///< Of the sender's view.
  std::vector<Update> updates;
  std::vector<uint32_t> part_digests;  ///< Empty, or one for each part.
};

/// @return how many updates fit into a datagram with or without part digests.
size_t UpdatesThatFit(bool with_part_digests);
/// Encodes into at most kMaxDatagramBytes; updates that don't fit are left out.
std::vector<uint8_t> Encode(const Message& message);

/// Why a datagram was rejected.
enum class DecodeError { kNone, kLength, kFormat, kKind, kNumber, kIncarnation, kSection };
const char* Name(DecodeError error);
/// Decodes a datagram. Only its form is checked: sender and target are below `member_count`, the members of
/// its updates below kMaxMembers.
/// @param error receives the reason of a rejection, or kNone.
/// @return nothing if the bytes are no valid message.
std::optional<Message> Decode(std::span<const uint8_t> bytes, size_t member_count, DecodeError* error);

}  // namespace lemonchute::membership

#endif  // LEMONCHUTE_MEMBERSHIP_MESSAGE_H_
