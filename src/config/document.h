// Parses a configuration's text as JSON. Each fault of the text is reported with its place (a JSON Pointer,
// RFC 6901) and a reason. No I/O, and the work is bounded for any text.
#ifndef LEMONCHUTE_CONFIG_DOCUMENT_H_
#define LEMONCHUTE_CONFIG_DOCUMENT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace lemonchute::config {

// `path` is a JSON Pointer; empty for the whole document.
struct Fault {
  std::string path;
  std::string message;
  bool operator==(const Fault&) const = default;
};

// Further faults are dropped, and the last one stored says so.
inline constexpr size_t kMaxFaults = 64;
void AddFault(std::vector<Fault>* faults, std::string path, std::string message);

// "/settings/zones/0: is not a text; ...", bounded in length.
std::string FormatFaults(const std::vector<Fault>& faults);

// The JSON Pointer of a child of `path`, escaped as RFC 6901 demands.
std::string ChildPath(const std::string& path, std::string_view key);
std::string ChildPath(const std::string& path, size_t index);

// The text with '?' for all but printable ASCII, cut to `max_bytes` and then followed by an ellipsis.
std::string Printable(std::string_view text, size_t max_bytes = 80);

struct Document {
  nlohmann::json value;  // null where there are faults that leave none
  std::vector<Fault> faults;
};

// Bounds the time that parsing blocks the event loop. The largest part of a file is the endpoint list in
// `known`, for which this allows about 15,000 endpoints.
inline constexpr size_t kMaxDocumentBytes = size_t{2} << 20;
inline constexpr int kMaxDepth = 32;  // levels of nesting

Document ReadDocument(std::string_view text, size_t max_bytes = kMaxDocumentBytes);

}  // namespace lemonchute::config

#endif  // LEMONCHUTE_CONFIG_DOCUMENT_H_
