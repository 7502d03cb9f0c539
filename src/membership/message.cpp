// The header, 20 bytes: "LM", format version, kind, from, target, sequence, digest.
#include "membership/message.h"

#include <algorithm>
#include <boost/endian/conversion.hpp>

namespace lemonchute::membership {
namespace {

constexpr uint8_t kFormatVersion = 1;
constexpr size_t kHeaderBytes = 20, kSectionHeaderBytes = 2, kUpdateBytes = 17, kPartDigestBytes = 4;
constexpr uint8_t kUpdatesSection = 1, kPartDigestsSection = 2;

class Writer {
 public:
  template <typename T>
  void Put(T value) {
    size_t offset = bytes.size();
    bytes.resize(offset + sizeof(T));
    boost::endian::endian_store<T, sizeof(T), boost::endian::order::big>(bytes.data() + offset, value);
  }
  std::vector<uint8_t> bytes;
};

// Callers have to check that enough bytes remain.
class Reader {
 public:
  explicit Reader(std::span<const uint8_t> bytes) : remaining(bytes) {}
  template <typename T>
  T Read() {
    T value = boost::endian::endian_load<T, sizeof(T), boost::endian::order::big>(remaining.data());
    remaining = remaining.subspan(sizeof(T));
    return value;
  }
  std::span<const uint8_t> remaining;
};

DecodeError ReadUpdates(std::span<const uint8_t> section, std::vector<Update>* updates) {
  if (section.size() % kUpdateBytes != 0) return DecodeError::kSection;
  for (Reader reader(section); !reader.remaining.empty();) {
    Update update;
    update.member = reader.Read<uint16_t>();
    auto state = reader.Read<uint8_t>();
    update.reporter = reader.Read<uint16_t>();
    update.incarnation = reader.Read<uint32_t>();
    update.version.program = reader.Read<uint32_t>();
    update.version.config = reader.Read<uint32_t>();
    if (state > static_cast<uint8_t>(State::kLeft)) return DecodeError::kSection;
    if (update.member >= kMaxMembers || update.reporter >= kMaxMembers) return DecodeError::kNumber;
    if (update.incarnation > kMaxIncarnation) return DecodeError::kIncarnation;
    update.state = static_cast<State>(state);
    updates->push_back(update);
  }
  return DecodeError::kNone;
}

}  // namespace

const char* Name(DecodeError error) {
  switch (error) {
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

size_t UpdatesThatFit(bool with_part_digests) {
  size_t room = kMaxDatagramBytes - kHeaderBytes - kSectionHeaderBytes -
                (with_part_digests ? kSectionHeaderBytes + kViewParts * kPartDigestBytes : 0);
  return room / kUpdateBytes;
}

std::vector<uint8_t> Encode(const Message& message) {
  Writer out;
  out.bytes.reserve(kMaxDatagramBytes);
  out.Put<uint8_t>('L'), out.Put<uint8_t>('M'), out.Put<uint8_t>(kFormatVersion);
  out.Put(static_cast<uint8_t>(message.kind));
  out.Put(message.from), out.Put(message.target), out.Put(message.sequence), out.Put(message.digest);
  if (!message.part_digests.empty()) {
    out.Put(kPartDigestsSection), out.Put(static_cast<uint8_t>(kViewParts * kPartDigestBytes));
    for (size_t i = 0; i < kViewParts; ++i) out.Put(message.part_digests[i]);
  }
  size_t count = std::min(message.updates.size(), UpdatesThatFit(!message.part_digests.empty()));
  if (count > 0) {
    out.Put(kUpdatesSection), out.Put(static_cast<uint8_t>(count * kUpdateBytes));
    for (size_t i = 0; i < count; ++i) {
      const Update& update = message.updates[i];
      out.Put(update.member), out.Put(static_cast<uint8_t>(update.state)), out.Put(update.reporter),
          out.Put(update.incarnation);
      out.Put(update.version.program), out.Put(update.version.config);
    }
  }
  return std::move(out.bytes);
}

std::optional<Message> Decode(std::span<const uint8_t> bytes, size_t member_count, DecodeError* error) {
  *error = DecodeError::kNone;
  auto fail = [&](DecodeError reason) {
    *error = reason;
    return std::nullopt;
  };
  if (bytes.size() < kHeaderBytes || bytes.size() > kMaxDatagramBytes) return fail(DecodeError::kLength);
  if (bytes[0] != 'L' || bytes[1] != 'M' || bytes[2] != kFormatVersion) return fail(DecodeError::kFormat);
  Reader reader(bytes.subspan(3));
  Message message;
  auto kind = reader.Read<uint8_t>();
  if (kind < 1 || kind > static_cast<uint8_t>(Kind::kEntries)) return fail(DecodeError::kKind);
  message.kind = static_cast<Kind>(kind);
  message.from = reader.Read<uint16_t>(), message.target = reader.Read<uint16_t>();
  message.sequence = reader.Read<uint32_t>(), message.digest = reader.Read<uint64_t>();
  if (message.from >= member_count || message.target >= member_count) return fail(DecodeError::kNumber);
  while (!reader.remaining.empty()) {
    if (reader.remaining.size() < kSectionHeaderBytes) return fail(DecodeError::kSection);
    auto section = reader.Read<uint8_t>();
    auto length = reader.Read<uint8_t>();
    if (length > reader.remaining.size()) return fail(DecodeError::kSection);
    std::span<const uint8_t> content = reader.remaining.first(length);
    reader.remaining = reader.remaining.subspan(length);
    if (section == kUpdatesSection) {
      DecodeError section_error = ReadUpdates(content, &message.updates);
      if (section_error != DecodeError::kNone) return fail(section_error);
    } else if (section == kPartDigestsSection) {
      if (content.size() != kViewParts * kPartDigestBytes || !message.part_digests.empty())
        return fail(DecodeError::kSection);
      for (Reader digests(content); !digests.remaining.empty();)
        message.part_digests.push_back(digests.Read<uint32_t>());
    }
  }
  return message;
}

}  // namespace lemonchute::membership
