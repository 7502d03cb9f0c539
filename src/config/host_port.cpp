#include "config/host_port.h"

#include <charconv>
#include <string>

namespace lemonchute::config {

std::optional<HostPort> ParseHostPort(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  std::string host(text.substr(0, colon));
  const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) host = host.substr(1, host.size() - 2);
  HostPort parsed;
  boost::system::error_code host_error;
  parsed.host = boost::asio::ip::make_address(host, host_error);
  const char* text_end = text.data() + text.size();
  auto [port_end, port_error] = std::from_chars(text.data() + colon + 1, text_end, parsed.port);
  if (host_error || port_error != std::errc() || port_end != text_end) return std::nullopt;
  return parsed;
}

}  // namespace lemonchute::config
