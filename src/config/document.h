/// Parses a configuration's text as JSON. Each fault is reported with a JSON Pointer (RFC 6901) and a
/// message. No I/O, and the work is bounded for any input.
#ifndef LEMONCHUTE_CONFIG_DOCUMENT_H_
#define LEMONCHUTE_CONFIG_DOCUMENT_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace lemonchute::config {

/// One fault or warning. `path` is a JSON Pointer; empty for the whole document.
struct Fault {
  std::string path;
  std::string message;
  bool operator==(const Fault&) const = default;
};

/// Further faults are dropped, and the last entry says so.
inline constexpr size_t kMaxFaults = 64;
/// Appends a fault unless `kMaxFaults` are stored.
void AddFault(std::vector<Fault>* faults, std::string path, std::string message);

/// Joins the faults into one line of bounded length: "/settings/zones/0: must be a text; ...".
std::string FormatFaults(const std::vector<Fault>& faults);

/// The JSON Pointer of a child of `path`, escaped as RFC 6901 requires.
std::string ChildPath(const std::string& path, std::string_view key);
std::string ChildPath(const std::string& path, size_t index);

/// The text with '?' in place of everything but printable ASCII. Text beyond `max_bytes` is replaced by
/// "...".
std::string Printable(std::string_view text, size_t max_bytes = 80);

struct Document {
  nlohmann::json value;  ///< Null if the text could not be parsed as an object.
  std::vector<Fault> faults;
};

/// Bounds the time that parsing blocks the event loop. The largest part of a file is the endpoint list in
/// `known`, for which this allows about 15,000 endpoints.
inline constexpr size_t kMaxDocumentBytes = size_t{2} << 20;
inline constexpr int kMaxDepth = 32;  ///< Levels of nesting.

/// Parses the text and reports duplicate keys, numbers out of range and nesting that is too deep.
Document ReadDocument(std::string_view text, size_t max_bytes = kMaxDocumentBytes);

}  // namespace lemonchute::config

#endif  // LEMONCHUTE_CONFIG_DOCUMENT_H_
