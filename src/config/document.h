// Reads a configuration's text as JSON. Everything that is wrong with the text is named with the place (a
// JSON Pointer, RFC 6901) and a plain reason. No I/O, and bounded work whatever the text holds.
#ifndef LEMONCHUTE_CONFIG_DOCUMENT_H_
#define LEMONCHUTE_CONFIG_DOCUMENT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace lemonchute::config {

// One thing that is wrong: where, and why. An empty `at` is the whole.
struct Fault {
  std::string at;
  std::string why;
  bool operator==(const Fault&) const = default;
};

// At most so many are kept; the last one then says that there were more.
inline constexpr size_t kMostFaults = 64;
void AddFault(std::vector<Fault>* faults, std::string at, std::string why);

// "/settings/zones/0: is not a text; ...", on one line and of bounded length.
std::string OneLine(const std::vector<Fault>& faults);

// `at` with one more step, escaped as a JSON Pointer wants it.
std::string Step(const std::string& at, std::string_view key);
std::string Step(const std::string& at, size_t index);

// A text as it may be shown: printable, valid UTF-8, and not longer than `most` bytes and an ellipsis.
std::string Shown(std::string_view text, size_t most = 80);

struct Document {
  nlohmann::json value;  // null where there are faults that leave none
  std::vector<Fault> faults;
};

// Of a configuration file. What is large in one is the list in `known`: room for 15,000 backends, 75 times
// the fleet's. Reading takes 27 ms a MiB on the event loop, so the bound is no higher than that.
inline constexpr size_t kMostFile = size_t{2} << 20;
inline constexpr int kMostDepth = 32;  // four times that of what the platform sends

Document ReadDocument(std::string_view text, size_t most_bytes = kMostFile);

}  // namespace lemonchute::config

#endif  // LEMONCHUTE_CONFIG_DOCUMENT_H_
