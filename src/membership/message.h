// Owns the one form of datagrams between gateways: versioned, big-endian, at most 256 bytes. Behind a fixed
// head come sections, each with its kind and length; a reader skips the kinds that it does not know, so that
// a newer version may add some.
#ifndef LEMONCHUTE_MEMBERSHIP_MESSAGE_H_
#define LEMONCHUTE_MEMBERSHIP_MESSAGE_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace lemonchute::membership {

inline constexpr size_t kMaxDatagramBytes = 256;  // of a datagram (PROTOCOL, Between gateways)
inline constexpr size_t kMaxMembers = 8192;       // numbers are below this
inline constexpr size_t kViewParts = 16;          // of a view, each with a digest of its own
// An incarnation grows by one for each refutation: none comes near this in the life of a fleet.
inline constexpr uint32_t kMaxIncarnation = 1u << 30;

// Of two words with the same incarnation the later in this order counts.
enum class State : uint8_t { kAlive, kSuspect, kDead, kLeft };

// What a member runs; it belongs to its incarnation, so that a change makes a new one.
struct SoftwareVersion {
  uint32_t program = 0, config = 0;  // hashes of the version and of the configuration's content
  auto operator<=>(const SoftwareVersion&) const = default;
};

// One word on one member.
struct Update {
  uint16_t member = 0;
  State state = State::kAlive;
  uint16_t reporter = 0;  // on whose word
  uint32_t incarnation = 0;
  SoftwareVersion version;
  bool operator==(const Update&) const = default;
};

enum class Kind : uint8_t {
  kPing = 1,  // asks for an ack with the same sequence
  kAck = 2,
  kPingRequest = 3,  // asks the receiver to ping `target` in its place
  kNack = 4,         // the asked one has had no ack so far
  kDigests = 5,      // the digests of the sender's parts, as its view differs from the receiver's
  kEntries = 6,      // words of a part that differs
};

struct Message {
  Kind kind = Kind::kPing;
  uint16_t from = 0;
  uint16_t target = 0;    // of kAskPing; of kAck and kNack: whom they speak of
  uint32_t sequence = 0;  // the asking side's
  uint64_t digest = 0;    // of the sender's view
  std::vector<Update> updates;
  std::vector<uint32_t> part_digests;  // none, or one for each part
};

// How many updates fit beside everything else in a message of that kind.
size_t UpdatesThatFit(bool with_part_digests);
// At most kMostBytes; updates past what fits are left out.
std::vector<uint8_t> Encode(const Message& message);

enum class DecodeError { kNone, kLength, kFormat, kKind, kNumber, kIncarnation, kSection };
const char* Name(DecodeError error);
// None where the bytes are no such message; `fault` says why. Nothing in it is trusted but its form: sender
// and target are below `members`, what words speak of below kMostMembers.
std::optional<Message> Decode(std::span<const uint8_t> bytes, size_t member_count, DecodeError* error);

}  // namespace lemonchute::membership

#endif  // LEMONCHUTE_MEMBERSHIP_MESSAGE_H_
