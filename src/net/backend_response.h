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

/// What is kept of a response's header once it has been parsed.
struct BackendResponse {
  unsigned status = 0;
  bool not_started = false;  ///< The backend says that the request has had no effect.
  double actual_units = 0;   ///< See AttemptEnd.
  std::string headers;       ///< Header lines for the client.
};

/// Parses X-Cost-Units.
/// @return 0 if it is not a positive number
inline double ParseCostUnits(std::string_view text) {
  double units = 0;
  const char* end = text.data() + text.size();
  auto [parsed_to, failure] = std::from_chars(text.data(), end, units);
  bool valid = failure == std::errc() && parsed_to == end && std::isfinite(units) && units > 0;
  return valid ? std::min(units, kMaxReportedUnits) : 0;
}

/// Takes what is needed from a parsed header and frees its fields, each of which takes far more memory than
/// its text.
template <typename Header>
BackendResponse TakeBackendResponse(Header& header) {
  BackendResponse response;
  response.status = header.result_int();
  response.not_started = ToStringView(header["Not-Started"]) == "1";
  if (response.status == 200) {
    response.actual_units = ParseCostUnits(ToStringView(header["X-Cost-Units"]));
    AppendClientHeaders(header, &response.headers);
    response.headers.shrink_to_fit();
  }
  header.clear();
  return response;
}

}  // namespace lemonchute::net

#endif  // LEMONCHUTE_NET_BACKEND_RESPONSE_H_
