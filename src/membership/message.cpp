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

Fault ReadUpdates(std::span<const uint8_t> section, std::vector<Update>* updates) {
  if (section.size() % kUpdate != 0) return Fault::kSection;
  for (Reader reader(section); !reader.left.empty();) {
    Update u;
    u.member = reader.Take<uint16_t>();
    auto state = reader.Take<uint8_t>();
    u.by = reader.Take<uint16_t>();
    u.incarnation = reader.Take<uint32_t>();
    u.about.program = reader.Take<uint32_t>();
    u.about.config = reader.Take<uint32_t>();
    if (state > static_cast<uint8_t>(State::kLeft)) return Fault::kSection;
    if (u.member >= kMostMembers || u.by >= kMostMembers) return Fault::kNumber;
    if (u.incarnation > kMostIncarnation) return Fault::kIncarnation;
    u.state = static_cast<State>(state);
    updates->push_back(u);
  }
  return Fault::kNone;
}

}  // namespace

const char* Name(Fault fault) {
  switch (fault) {
    case Fault::kNone: return "";
    case Fault::kLength: return "length";
    case Fault::kFormat: return "format";
    case Fault::kKind: return "kind";
    case Fault::kNumber: return "number";
    case Fault::kIncarnation: return "incarnation";
    case Fault::kSection: return "section";
  }
  return "";
}

size_t UpdatesThatFit(bool with_parts) {
  size_t room = kMostBytes - kHead - kSectionHead - (with_parts ? kSectionHead + kParts * kPart : 0);
  return room / kUpdate;
}

std::vector<uint8_t> Write(const Message& message) {
  Writer out;
  out.bytes.reserve(kMostBytes);
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
      out.Put(u.member), out.Put(static_cast<uint8_t>(u.state)), out.Put(u.by), out.Put(u.incarnation);
      out.Put(u.about.program), out.Put(u.about.config);
    }
  }
  return std::move(out.bytes);
}

std::optional<Message> Read(std::span<const uint8_t> bytes, size_t members, Fault* fault) {
  *fault = Fault::kNone;
  auto no = [&](Fault why) {
    *fault = why;
    return std::nullopt;
  };
  if (bytes.size() < kHead || bytes.size() > kMostBytes) return no(Fault::kLength);
  if (bytes[0] != 'L' || bytes[1] != 'M' || bytes[2] != kFormat) return no(Fault::kFormat);
  Reader reader(bytes.subspan(3));
  Message m;
  auto kind = reader.Take<uint8_t>();
  if (kind < 1 || kind > static_cast<uint8_t>(Kind::kEntries)) return no(Fault::kKind);
  m.kind = static_cast<Kind>(kind);
  m.from = reader.Take<uint16_t>(), m.target = reader.Take<uint16_t>();
  m.sequence = reader.Take<uint32_t>(), m.digest = reader.Take<uint64_t>();
  if (m.from >= members || m.target >= members) return no(Fault::kNumber);
  while (!reader.left.empty()) {
    if (reader.left.size() < kSectionHead) return no(Fault::kSection);
    auto section = reader.Take<uint8_t>();
    auto length = reader.Take<uint8_t>();
    if (length > reader.left.size()) return no(Fault::kSection);
    std::span<const uint8_t> content = reader.left.first(length);
    reader.left = reader.left.subspan(length);
    if (section == kUpdates) {
      Fault wrong = ReadUpdates(content, &m.updates);
      if (wrong != Fault::kNone) return no(wrong);
    } else if (section == kPartDigests) {
      if (content.size() != kParts * kPart || !m.parts.empty()) return no(Fault::kSection);
      for (Reader digests(content); !digests.left.empty();) m.parts.push_back(digests.Take<uint32_t>());
    }
  }
  return m;
}

}  // namespace lemonchute::membership
