// Checks the top-level keys of the process: name, addresses, seed and limits.
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "config/host_port.h"
#include "config/section_checks.h"

namespace lemonchute::config {
namespace {

using nlohmann::json;

constexpr int kMinSockets = 64;
constexpr int kMinMemoryMb = 1;
constexpr int kMaxLimit = 1000000;
constexpr int kSeedBase = 16;

enum class Presence { kRequired, kOptional };

struct IntegerBound {
  const char* key;
  int min;
};
constexpr IntegerBound kLimits[] = {{"sockets", kMinSockets}, {"memory_mb", kMinMemoryMb}};

void CheckAddress(const json& document, const char* key, Presence presence, FaultReporter* reporter) {
  const std::string path = ChildPath("", key);
  auto field = document.find(key);
  if (field == document.end() || field->is_null()) {
    if (presence == Presence::kRequired) reporter->Fault(path, "is missing");
    return;
  }
  if (!field->is_string()) return reporter->WrongType(path, "an address", *field);
  const auto& text = field->get_ref<const std::string&>();
  if (!ParseHostPort(text)) reporter->Fault(path, "is no address such as 10.0.0.4:5000: " + Printable(text));
}

void CheckSeed(const json& document, FaultReporter* reporter) {
  const json* value = RequireText(document, "", "seed", reporter);
  if (value == nullptr) return;
  const auto& text = value->get_ref<const std::string&>();
  const char* text_end = text.data() + text.size();
  uint64_t seed = 0;
  auto [end, error] = std::from_chars(text.data(), text_end, seed, kSeedBase);
  if (error == std::errc() && end == text_end) return;
  reporter->Fault("/seed", "must be up to 16 hex digits, and is " + Printable(text));
}

void CheckLimits(const json& document, FaultReporter* reporter) {
  auto limits = document.find("limits");
  if (limits == document.end()) return;
  if (!limits->is_object()) return reporter->WrongType("/limits", "an object", *limits);
  for (const IntegerBound& bound : kLimits) {
    auto field = limits->find(bound.key);
    if (field == limits->end()) continue;
    if (field->is_number_integer() && *field >= bound.min && *field <= kMaxLimit) continue;
    reporter->Fault(ChildPath("/limits", bound.key),
                    "must be a whole number from " + std::to_string(bound.min) + " to 1000000");
  }
}

std::optional<HostPort> FindAddress(const json& document, const char* key) {
  auto field = document.find(key);
  if (field == document.end() || !field->is_string()) return std::nullopt;
  return ParseHostPort(field->get_ref<const std::string&>());
}

// Port 0 stands for any free port, so it conflicts with no other.
bool SameEndpoint(const std::optional<HostPort>& left, const std::optional<HostPort>& right) {
  return left && right && left->port != 0 && left->port == right->port && left->host == right->host;
}

}  // namespace

void CheckProcess(const json& document, FaultReporter* reporter) {
  RequireText(document, "", "name", reporter);
  CheckAddress(document, "listen", Presence::kRequired, reporter);
  CheckAddress(document, "discovery", Presence::kRequired, reporter);
  CheckAddress(document, "counter", Presence::kOptional, reporter);
  CheckAddress(document, "ops", Presence::kOptional, reporter);
  CheckSeed(document, reporter);
  CheckLimits(document, reporter);
}

void CheckAddressConflicts(const json& document, FaultReporter* reporter) {
  for (const char* own : {"listen", "ops"}) {
    for (const char* other : {"discovery", "counter", "ops"}) {
      if (std::string_view(own) == other) continue;
      if (!SameEndpoint(FindAddress(document, own), FindAddress(document, other))) continue;
      reporter->Questionable(ChildPath("", other),
                             std::string("is the address that this process holds as ") + own);
    }
  }
}

}  // namespace lemonchute::config
