// Ids of requests, and the search for a free slice of the loopback network.
#include "play/real/world.h"

#include <unistd.h>

#include <charconv>

#include "play/real/real_day.h"

namespace lemonchute::lab {

std::string RequestId(const RunSpec& day, uint32_t id) {
  char text[17];
  std::snprintf(text, sizeof(text), "%08x%08x", static_cast<unsigned>(day.seed * 2654435761u),
                static_cast<unsigned>(id));
  return text;
}

std::optional<uint32_t> TryOf(const RunSpec& day, const std::string& text) {
  uint32_t id = 0;
  if (text.size() != 16) return std::nullopt;
  auto [end, error] = std::from_chars(text.data() + 8, text.data() + 16, id, 16);
  bool sound = error == std::errc() && end == text.data() + 16 && RequestId(day, id) == text;
  return sound ? std::optional(id) : std::nullopt;
}

std::string BodyOf(uint32_t id) { return "{\"answers\":" + std::to_string(id) + "}"; }

Slice::Slice(boost::asio::io_context& io) {
  constexpr int kFirst = 16,
                kSlices = 200;  // 127.16 to 127.215: away from where systems listen by themselves
  for (int i = 0; i < kSlices && !lock_; ++i) {
    slice_ = kFirst + (static_cast<int>(getpid()) + i) % kSlices;
    try {
      // Not to be shared: another lab that holds it keeps this one out.
      lock_.emplace(io, At(0, 0, 9999), false);
    } catch (const boost::system::system_error&) {
    }
  }
  if (!lock_)
    throw CannotPlay("no free addresses on loopback: every slice of 127.0.0.0/8 is held by another lab");
}

}  // namespace lemonchute::lab
