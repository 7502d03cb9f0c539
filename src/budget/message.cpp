// The header, in bytes: kind 1, number of entries 1, hint 2, incarnation 4, round 4, leader incarnation 4,
// term 4 (in ms). An entry: budget 4, amount 4, grant number 4.
#include "budget/message.h"

#include <algorithm>
#include <boost/endian/conversion.hpp>

namespace lemonchute::budget {
namespace {

constexpr size_t kHeaderBytes = 20, kEntryBytes = 12;
constexpr uint8_t kInterGroupFlag = 0x80;  // in the byte of the kind
constexpr Micros kMicrosPerMs = 1000;

void Put(std::vector<uint8_t>* out, uint32_t value) {
  size_t offset = out->size();
  out->resize(offset + 4);
  boost::endian::store_big_u32(out->data() + offset, value);
}

}  // namespace

std::vector<uint8_t> Encode(const Message& message) {
  size_t entry_count = std::min(message.entries.size(), kMaxEntries);
  std::vector<uint8_t> out = {
      static_cast<uint8_t>(static_cast<uint8_t>(message.kind) | (message.inter_group ? kInterGroupFlag : 0)),
      static_cast<uint8_t>(entry_count), static_cast<uint8_t>(message.hint >> 8),
      static_cast<uint8_t>(message.hint & 0xff)};
  for (uint32_t value : {message.incarnation, message.round, message.leader_incarnation,
                         static_cast<uint32_t>(message.term / kMicrosPerMs)})
    Put(&out, value);
  for (size_t i = 0; i < entry_count; ++i) {
    for (uint32_t value :
         {message.entries[i].budget, message.entries[i].amount, message.entries[i].grant_number})
      Put(&out, value);
  }
  return out;
}

std::optional<Message> Decode(std::span<const uint8_t> bytes) {
  if (bytes.size() < kHeaderBytes) return std::nullopt;
  Message message;
  auto kind = static_cast<uint8_t>(bytes[0] & ~kInterGroupFlag);
  if (kind < 1 || kind > static_cast<uint8_t>(Kind::kNotLeader)) return std::nullopt;
  message.kind = static_cast<Kind>(kind), message.inter_group = (bytes[0] & kInterGroupFlag) != 0;
  size_t entry_count = bytes[1];
  if (entry_count > kMaxEntries || bytes.size() != kHeaderBytes + entry_count * kEntryBytes)
    return std::nullopt;
  message.hint = boost::endian::load_big_u16(&bytes[2]);
  auto load = [&](size_t offset) { return boost::endian::load_big_u32(&bytes[offset]); };
  message.incarnation = load(4), message.round = load(8), message.leader_incarnation = load(12);
  message.term = static_cast<Micros>(load(16)) * kMicrosPerMs;
  if (message.term > kMaxTerm) return std::nullopt;
  for (size_t at = kHeaderBytes; at < bytes.size(); at += kEntryBytes)
    message.entries.push_back({load(at), load(at + 4), load(at + 8)});
  return message;
}

}  // namespace lemonchute::budget
