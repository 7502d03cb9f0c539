#include "net/client_call.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <optional>
#include <string>
#include <vector>

#include "net/text.h"

namespace lemonchute::net {

using policy::Idempotency;

namespace {

// The values of all lines of a field, combined into one (RFC 9110, 5.2).
std::string CombinedField(const ClientMessage& message, const char* name, const char* separator) {
  std::string combined;
  auto [begin, end] = message.equal_range(name);
  for (auto line = begin; line != end; ++line)
    combined.append(combined.empty() ? "" : separator).append(ToStringView(line->value()));
  return combined;
}

// The client's timeout in seconds. The header must occur once and hold a positive integer of milliseconds. A
// number that overflows its type counts as the longest timeout; anything else is malformed.
std::optional<double> ParseTimeout(const ClientMessage& message) {
  constexpr const char* kName = "Request-Timeout-Ms";
  if (message.count(kName) != 1) return std::nullopt;
  std::string_view text = Trim(ToStringView(message[kName]));
  if (text.empty() || text.find_first_not_of("0123456789") != std::string_view::npos) return std::nullopt;
  uint64_t ms = 0;
  if (!ParseNumber(text, &ms)) return kMaxTimeoutS;
  if (ms == 0) return std::nullopt;
  return std::min(static_cast<double>(ms) / 1000, kMaxTimeoutS);
}

// The index of `name` in `names`, -1 if it is not among them.
int IndexOf(const std::vector<std::string>& names, std::string_view name) {
  if (name.empty()) return -1;
  for (size_t i = 0; i < names.size(); ++i) {
    if (names[i] == name) return static_cast<int>(i);
  }
  return -1;
}

// The customer is given by the cookie `client`: up to 16 hexadecimal digits, optionally quoted.
bool ParseCustomer(const ClientMessage& message, uint64_t* customer_id) {
  std::string cookies = CombinedField(message, "Cookie", "; ");
  auto customer = FindValue(cookies, ';', "client");
  if (!customer) return false;
  if (customer->size() > 1 && customer->front() == '"' && customer->back() == '"') {
    customer = customer->substr(1, customer->size() - 2);
  }
  return customer->size() <= 16 && ParseNumber(*customer, customer_id, 16);
}

bool ParseCallTerms(const ClientMessage& message, policy::Request* request) {
  std::string terms = CombinedField(message, "X-Call-Terms", ", ");
  auto units = FindValue(terms, ',', "units"), spread = FindValue(terms, ',', "spread");
  if (!units || !ParseNumber(*units, &request->units)) return false;
  if (!std::isfinite(request->units) || request->units <= 0) return false;
  if (!spread || !ParseNumber(*spread, &request->entry_gateways)) return false;
  return std::isfinite(request->entry_gateways) && request->entry_gateways >= 1;
}

}  // namespace

// Servers must also accept the absolute form http://host/path?query (RFC 9112, 3.2.2).
std::string_view OriginForm(std::string_view target) {
  constexpr std::string_view kScheme = "http://";
  if (!boost::beast::iequals({target.data(), std::min(target.size(), kScheme.size())},
                             {kScheme.data(), kScheme.size()})) {
    return target;
  }
  size_t path = target.find('/', kScheme.size());
  return path == std::string_view::npos ? std::string_view("/") : target.substr(path);
}

ClientCall ParseCall(const ClientMessage& message, const Config& config) {
  ClientCall call;
  call.status = 400;
  std::string_view target = OriginForm(ToStringView(message.target()));
  if (target.empty() || target.front() != '/') return call;
  policy::Request& request = call.request;
  std::string_view path = target.substr(1, std::min(target.find_first_of("/?#", 1), target.size()) - 1);
  request.class_index = IndexOf(config.socket_settings.classes, config::SanitizeName(PercentDecode(path)));
  request.plan_index =
      IndexOf(config.socket_settings.plans, config::SanitizeName(ToStringView(message["X-Tier"])));
  if (request.class_index < 0 || request.plan_index < 0) return call;
  if (ToStringView(message["Request-Id"]).empty()) return call;
  if (!ParseCustomer(message, &request.customer_id)) return call;
  auto timeout_s = ParseTimeout(message);
  if (!timeout_s) return call;
  const auto& settings = config.settings.classes[static_cast<size_t>(request.class_index)];
  call.timeout_s = std::min(*timeout_s, settings.deadline_s);
  if (!ParseCallTerms(message, &request)) return call;
  if (settings.idempotency == Idempotency::kWithinWindow && ToStringView(message["Idempotency-Key"]).empty())
    return call;
  call.status = 405;
  bool idempotent = settings.idempotency == Idempotency::kIdempotent;
  if (message.method() != (idempotent ? http::verb::get : http::verb::post)) return call;
  call.status = 0;
  return call;
}

}  // namespace lemonchute::net
