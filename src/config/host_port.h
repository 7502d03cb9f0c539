/// Host and port pairs as the configuration writes them.
#ifndef LEMONCHUTE_CONFIG_HOST_PORT_H_
#define LEMONCHUTE_CONFIG_HOST_PORT_H_

#include <boost/asio/ip/address.hpp>
#include <cstdint>
#include <optional>
#include <string_view>

namespace lemonchute::config {

struct HostPort {
  boost::asio::ip::address host;
  uint16_t port = 0;
};

/// Parses "10.0.0.4:5000" or "[::1]:5000".
/// @return nothing for any other text. Host names are not resolved.
std::optional<HostPort> ParseHostPort(std::string_view text);

}  // namespace lemonchute::config

#endif  // LEMONCHUTE_CONFIG_HOST_PORT_H_
