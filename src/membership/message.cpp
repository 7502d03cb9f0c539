// The head: "LM", the format's version, the kind, from, target, sequence, digest: 20 bytes.
#include "membership/message.h"

#include <algorithm>
#include <boost/endian/conversion.hpp>

namespace lemonchute::membership {
namespace {

constexpr uint8_t kFormat = 1;
constexpr size_t kHead = 20, kSectionHead = 2, kUpdate = 17, kPart = 4;
constexpr uint8_t kUpdates = 1, kPartDigests = 2;

class Writer {
 public:
  template <typename T>
  void Put(T value) {
    size_t at = bytes.size();
    bytes.resize(at + sizeof(T));
    boost::endian::endian_store<T, sizeof(T), boost::endian::order::big>(bytes.data() + at, value);
  }
  std::vector<uint8_t> bytes;
};

// The caller has checked that the bytes are there.
class Reader {
 public:
  explicit Reader(std::span<const uint8_t> bytes) : left(bytes) {}
  template <typename T>
  T Take() {
    T value = boost::endian::endian_load<T, sizeof(T), boost::endian::order::big>(left.data());
    left = left.subspan(sizeof(T));
    return value;
  }
  std::span<const uint8_t> left;
};

DecodeError ReadUpdates(std::span<const uint8_t> section, std::vector<Update>* updates) {
  if (section.size() % kUpdate != 0) return DecodeError::kSection;
  for (Reader reader(section); !reader.left.empty();) {
    Update u;
    u.member = reader.Take<uint16_t>();
    auto state = reader.Take<uint8_t>();
    u.reporter = reader.Take<uint16_t>();
    u.incarnation = reader.Take<uint32_t>();
    u.version.program = reader.Take<uint32_t>();
    u.version.config = reader.Take<uint32_t>();
    if (state > static_cast<uint8_t>(State::kLeft)) return DecodeError::kSection;
    if (u.member >= kMostMembers || u.reporter >= kMostMembers) return DecodeError::kNumber;
    if (u.incarnation > kMostIncarnation) return DecodeError::kIncarnation;
    u.state = static_cast<State>(state);
    updates->push_back(u);
  }
  return DecodeError::kNone;
}

}  // namespace

const char* Name(DecodeError fault) {
  switch (fault) {
    case DecodeError::kNone: return "";
    case DecodeError::kLength: return "length";
    case DecodeError::kFormat: return "format";
    case DecodeError::kKind: return "kind";
    case DecodeError::kNumber: return "number";
    case DecodeError::kIncarnation: return "incarnation";
    case DecodeError::kSection: return "section";
  }
  return "";
}

size_t UpdatesThatFit(bool with_parts) {
  size_t room = kMaxDatagramBytes - kHead - kSectionHead - (with_parts ? kSectionHead + kParts * kPart : 0);
  return room / kUpdate;
}

std::vector<uint8_t> Write(const Message& message) {
  Writer out;
  out.bytes.reserve(kMaxDatagramBytes);
  out.Put<uint8_t>('L'), out.Put<uint8_t>('M'), out.Put<uint8_t>(kFormat);
  out.Put(static_cast<uint8_t>(message.kind));
  out.Put(message.from), out.Put(message.target), out.Put(message.sequence), out.Put(message.digest);
  if (!message.parts.empty()) {
    out.Put(kPartDigests), out.Put(static_cast<uint8_t>(kParts * kPart));
    for (size_t i = 0; i < kParts; ++i) out.Put(message.parts[i]);
  }
  size_t fit = std::min(message.updates.size(), UpdatesThatFit(!message.parts.empty()));
  if (fit > 0) {
    out.Put(kUpdates), out.Put(static_cast<uint8_t>(fit * kUpdate));
    for (size_t i = 0; i < fit; ++i) {
      const Update& u = message.updates[i];
      out.Put(u.member), out.Put(static_cast<uint8_t>(u.state)), out.Put(u.reporter), out.Put(u.incarnation);
      out.Put(u.version.program), out.Put(u.version.config);
    }
  }
  return std::move(out.bytes);
}

std::optional<Message> Read(std::span<const uint8_t> bytes, size_t members, DecodeError* fault) {
  *fault = DecodeError::kNone;
  auto no = [&](DecodeError why) {
    *fault = why;
    return std::nullopt;
  };
  if (bytes.size() < kHead || bytes.size() > kMaxDatagramBytes) return no(DecodeError::kLength);
  if (bytes[0] != 'L' || bytes[1] != 'M' || bytes[2] != kFormat) return no(DecodeError::kFormat);
  Reader reader(bytes.subspan(3));
  Message m;
  auto kind = reader.Take<uint8_t>();
  if (kind < 1 || kind > static_cast<uint8_t>(Kind::kEntries)) return no(DecodeError::kKind);
  m.kind = static_cast<Kind>(kind);
  m.from = reader.Take<uint16_t>(), m.target = reader.Take<uint16_t>();
  m.sequence = reader.Take<uint32_t>(), m.digest = reader.Take<uint64_t>();
  if (m.from >= members || m.target >= members) return no(DecodeError::kNumber);
  while (!reader.left.empty()) {
    if (reader.left.size() < kSectionHead) return no(DecodeError::kSection);
    auto section = reader.Take<uint8_t>();
    auto length = reader.Take<uint8_t>();
    if (length > reader.left.size()) return no(DecodeError::kSection);
    std::span<const uint8_t> content = reader.left.first(length);
    reader.left = reader.left.subspan(length);
    if (section == kUpdates) {
      DecodeError wrong = ReadUpdates(content, &m.updates);
      if (wrong != DecodeError::kNone) return no(wrong);
    } else if (section == kPartDigests) {
      if (content.size() != kParts * kPart || !m.parts.empty()) return no(DecodeError::kSection);
      for (Reader digests(content); !digests.left.empty();) m.parts.push_back(digests.Take<uint32_t>());
    }
  }
  return m;
}

}  // namespace lemonchute::membership
