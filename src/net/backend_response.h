// Fields of a backend's response that the gateway reads or passes on.
#ifndef LEMONCHUTE_NET_BACKEND_RESPONSE_H_
#define LEMONCHUTE_NET_BACKEND_RESPONSE_H_

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string>
#include <string_view>

#include "net/http.h"

namespace lemonchute::net {

inline constexpr double kMaxReportedUnits = 65535;  ///< Upper bound for X-Cost-Units.

/// Whether a response header is meant for the gateway and not for the client.
inline bool IsInternalHeader(std::string_view name) {
  return boost::beast::iequals({name.data(), name.size()}, "X-Cost-Units") ||
         boost::beast::iequals({name.data(), name.size()}, "Server-Load");
}

/// Appends the header lines that the client gets to `out`.
template <typename Fields>
void AppendClientHeaders(const Fields& fields, std::string* out) {
  AppendEndToEnd(fields, out,
                 [](const auto& field) { return IsInternalHeader(ToStringView(field.name_string())); });
}

/// Parses X-Cost-Units.
/// @return 0 if it is not a positive number
inline double ParseCostUnits(std::string_view text) {
  double units = 0;
  const char* end = text.data() + text.size();
  auto [parsed_to, failure] = std::from_chars(text.data(), end, units);
  bool valid = failure == std::errc() && parsed_to == end && std::isfinite(units) && units > 0;
  return valid ? std::min(units, kMaxReportedUnits) : 0;
}

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_BACKEND_RESPONSE_H_
